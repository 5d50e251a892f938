package org.gentianwalk.core.dispatch;

import java.util.Collection;
import java.util.List;

/**
 * Decides for the requests of one service when and where they run. Implementations have no clock,
 * threads or I/O.
 */
public interface WorkScheduler {
    /**
     * Replaces the set of upstreams of the service. Running work on removed ones is not touched.
     *
     * @param upstreams all upstreams of the service that are listed
     * @param nowNanos current time
     */
    void upstreams(Collection<Upstream> upstreams, long nowNanos);

    /**
     * Takes in a request.
     *
     * @param work the request
     * @param nowNanos current time
     */
    void offer(Work work, long nowNanos);

    /**
     * Records output of the running attempt.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param progress what arrived since the last call
     */
    void progress(long work, int attempt, Progress progress);

    /**
     * Records what an upstream said of its load.
     *
     * @param work number of the request that it answered
     * @param load the load
     * @param nowNanos time of receipt
     */
    void loadStated(long work, UpstreamLoad load, long nowNanos);

    /**
     * Records the end of the running attempt.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param end how it ended
     * @param nowNanos current time
     */
    void attemptEnded(long work, int attempt, AttemptEnd end, long nowNanos);

    /**
     * Forgets a request: its caller has the answer or is gone.
     *
     * @param work number of the request
     * @param nowNanos current time
     */
    void withdrawn(long work, long nowNanos);

    /**
     * Returns the decisions that are due. Called after every event and periodically.
     *
     * @param nowNanos current time
     * @return decisions in the order in which to carry them out
     */
    List<Decision> advance(long nowNanos);
}
