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
 * @param oldAttempts attempts of the instance that run at upstreams of other versions, plus {@link
 *     #MAY_START_OLD} while it may start further ones
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
    /** Added to the number of old attempts until all new attempts go to the new version. */
    public static final int MAY_START_OLD = 1_000_000;

    public RolloutReport {
        counters = List.copyOf(counters);
    }

    /**
     * Returns whether all new attempts of the instance go to the new version.
     *
     * @return true while it is moving, and when the rollout is completed
     */
    public boolean hasMoved() {
        return oldAttempts < MAY_START_OLD;
    }
}
