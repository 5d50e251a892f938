package org.gentianwalk.core.dispatch;

import java.util.List;

/**
 * What an instance has at the engines of a service and in its queue. It is complete, so that a lost
 * one is made up for by the next.
 *
 * @param service the service
 * @param number rises with each share of an instance
 * @param runs generations at engines
 * @param waiting prompt tokens of the generations that wait in the instance
 * @param doubts engines that have just failed this instance
 * @param usage what counts for the retry budget
 */
public record LoadShare(
        String service,
        long number,
        List<RunShare> runs,
        int waiting,
        List<Doubt> doubts,
        RetryAllowance.Usage usage) {
    public LoadShare {
        runs = List.copyOf(runs);
        doubts = List.copyOf(doubts);
    }

    /**
     * An engine that has just failed.
     *
     * @param engine identifier of the engine
     * @param incarnation start time of the run of the engine that failed
     * @param ageMillis time since the failure, milliseconds
     * @param silent true when nothing came back from the engine, not even the end of a connection
     */
    public record Doubt(String engine, long incarnation, int ageMillis, boolean silent) {}
}
