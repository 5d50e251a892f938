package org.gentianwalk.server.upstream;

import java.util.List;
import org.gentianwalk.core.policy.Scheduler.Availability;
import org.gentianwalk.core.policy.Scheduler.LoadReport;

/** Receives the availability, load reports and cache events of engines. Called from any thread. */
public interface EngineObserver {
    /**
     * Called with the availability of an engine after each poll.
     *
     * @param upstream the engine
     * @param availability the current state
     */
    void onAvailability(String upstream, Availability availability);

    /**
     * Called with a load report.
     *
     * @param report the report
     */
    void onLoadReport(LoadReport report);

    /**
     * Called with changes of an engine's prefix cache.
     *
     * @param upstream the engine
     * @param stored hashes of stored blocks
     * @param evicted hashes of evicted blocks
     */
    void onCacheEvents(String upstream, List<Long> stored, List<Long> evicted);
}
