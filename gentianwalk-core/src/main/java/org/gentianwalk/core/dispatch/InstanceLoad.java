package org.gentianwalk.core.dispatch;

import java.util.List;
import org.gentianwalk.core.policy.suspect.SuspectEntry;

/**
 * Load of one instance at the engines of a service and in its own queue. Each report is complete,
 * so a lost one is superseded by the next.
 *
 * @param service the service
 * @param number sequence number, which increases with each report of an instance
 * @param runs generations at engines
 * @param waiting prompt tokens of the generations queued in the instance
 * @param failures engines that recently failed a request of this instance
 * @param usage requests and retries of the instance, for the retry budget
 * @param suspects requests and prompt parts under which engines were lost
 */
public record InstanceLoad(
        String service,
        long number,
        List<GenerationLoad> runs,
        int waiting,
        List<EngineFailure> failures,
        FleetRetryBudget.Usage usage,
        List<SuspectEntry> suspects) {
    public InstanceLoad {
        runs = List.copyOf(runs);
        failures = List.copyOf(failures);
        suspects = List.copyOf(suspects);
    }

    /**
     * A recent failure of an engine.
     *
     * @param engine identifier of the engine
     * @param incarnation start time of the engine process that failed, milliseconds since the epoch
     * @param ageMillis time since the failure, milliseconds
     * @param silent true when there was no response at all, not even a closed connection
     */
    public record EngineFailure(String engine, long incarnation, int ageMillis, boolean silent) {}
}
