package org.gentianwalk.gateway.traffic;

import java.time.Duration;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.gentianwalk.core.dispatch.Work;
import org.jspecify.annotations.Nullable;

/** Events that the traffic loop reports to the control thread. Calls return without waiting. */
public interface ControlPort {
    /**
     * Reports a new request.
     *
     * @param work the request
     * @param exchange executes the decisions about the request
     */
    void requestArrived(Work work, Exchange exchange);

    /**
     * Reports output of the running attempt.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param progress the output since the last call
     * @param first true for the first output of the attempt
     */
    void progress(long work, int attempt, Progress progress, boolean first);

    /**
     * Reports that the output of upstreams is not read any more, since the caller does not read its
     * response, or that it is read again.
     *
     * @param work number of the request
     * @param paused true when the output is not read
     */
    void deliveryPaused(long work, boolean paused);

    /**
     * Reports that an attempt has ended without its response being delivered.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param end how it ended
     * @param cause description for the log
     * @param load load that the upstream reported, or null
     */
    void attemptEnded(
            long work, int attempt, AttemptEnd end, String cause, @Nullable UpstreamLoad load);

    /**
     * Reports that the complete response of an upstream was written to the caller.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param delivery latencies and number of events of the response
     * @param load load that the upstream reported, or null
     */
    void responseDelivered(long work, int attempt, Delivery delivery, @Nullable UpstreamLoad load);

    /**
     * Reports the limit that an upstream states in a response. Called for each response that states
     * one, or that comes from an upstream that has a limit.
     *
     * @param upstream the upstream
     * @param limit requests a second that it accepts from all instances together; null for no limit
     */
    void requestLimitStated(Upstream upstream, @Nullable Double limit);

    /**
     * Reports that an upstream wants no requests from this instance, for a time or any more.
     *
     * @param upstream the upstream
     * @param pause the time, or null when its process is about to end
     */
    void upstreamPaused(Upstream upstream, @Nullable Duration pause);

    /**
     * Returns whether an upstream has stated a limit and has not lifted it. Thread-safe.
     *
     * @param upstream the upstream
     * @return true while the limit is in force
     */
    boolean hasRequestLimit(Upstream upstream);

    /**
     * Reports that the caller has closed its connection before it had the complete response.
     *
     * @param work number of the request
     */
    void requestWithdrawn(long work);

    /**
     * Returns whether an upstream accepts requests from this instance at present, as far as the
     * control thread has recorded it. May be called on the traffic loop.
     *
     * @param upstream the upstream
     * @return false during a pause that it asked for, and after it has announced its end
     */
    boolean acceptsRequests(Upstream upstream);
}
