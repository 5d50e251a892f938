package org.gentianwalk.core.rollout;

import java.util.List;

/**
 * What one instance has observed of a rollout. Each report is complete, so a lost one is superseded
 * by the next.
 *
 * @param service the service
 * @param era era of the store in which the order was written
 * @param revision version of the store at which the order was written
 * @param requests requests for the service that the instance has received since the order
 * @param oldAttempts attempts of the instance that run at upstreams of other versions
 * @param rejected true when the instance has found the new version to be bad
 * @param counters observations by route and version
 */
public record RolloutReport(
        String service,
        long era,
        long revision,
        long requests,
        int oldAttempts,
        boolean rejected,
        List<VersionCounters> counters) {
    public RolloutReport {
        counters = List.copyOf(counters);
    }
}
