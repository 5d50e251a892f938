package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * Decides when and on which upstream each request of a service runs. Implementations use no clock,
 * threads or I/O.
 */
public interface WorkScheduler {
    /** Retry-after while the instance stops; the balancer sends the retry to another one. */
    Duration STOPPING_RETRY = Duration.ofMillis(20);

    /**
     * Replaces the upstreams of the service. Running attempts at removed ones continue.
     *
     * @param upstreams all listed upstreams of the service
     * @param nowNanos current time
     */
    void replaceUpstreams(Collection<Upstream> upstreams, long nowNanos);

    /**
     * Submits a request.
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
     * @param progress output received since the last call
     */
    void recordProgress(long work, int attempt, Progress progress);

    /**
     * Records the load that an upstream reported.
     *
     * @param work number of the request that it answered
     * @param load the load
     * @param nowNanos time of receipt
     */
    void recordLoad(long work, UpstreamLoad load, long nowNanos);

    /**
     * Records the load that an upstream reported, where attempts may run beside each other.
     *
     * @param work number of the request that it answered
     * @param attempt number of the attempt
     * @param load the load
     * @param nowNanos time of receipt
     */
    default void recordLoad(long work, int attempt, UpstreamLoad load, long nowNanos) {
        recordLoad(work, load, nowNanos);
    }

    /**
     * Records the end of the running attempt.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param end how it ended
     * @param nowNanos current time
     */
    void recordAttemptEnd(long work, int attempt, AttemptEnd end, long nowNanos);

    /**
     * Removes a request whose caller has the answer or has disconnected.
     *
     * @param work number of the request
     * @param nowNanos current time
     */
    void remove(long work, long nowNanos);

    /**
     * Sets which versions of upstreams may get new attempts; all may by default.
     *
     * @param gate decides for each attempt
     */
    default void versionGate(VersionGate gate) {
        // A scheduler without attempts of its own has no use for it.
    }

    /**
     * Continues some of the streams that may be resumed at other upstreams. Must be called again
     * until none is left.
     *
     * @param from tests for the upstreams that the streams have to leave
     * @param nowNanos current time
     */
    default void moveStreams(Predicate<Upstream> from, long nowNanos) {
        // Short calls end by themselves.
    }

    /**
     * Sets the time at which the instance stops. Calls that can't be finished by then are refused,
     * and requests that are still in progress then are ended.
     *
     * @param nanos monotonic nanoseconds
     */
    void stopAt(long nanos);

    /**
     * Returns the new decisions. Must be called after every event and periodically.
     *
     * @param nowNanos current time
     * @return decisions in the order in which to execute them
     */
    List<Decision> advance(long nowNanos);
}
