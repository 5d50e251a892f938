package org.gentianwalk.gateway.traffic;

import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.gentianwalk.core.dispatch.Work;
import org.jspecify.annotations.Nullable;

/** What the traffic loop tells the control thread. Calls return at once. */
public interface ControlPort {
    /**
     * Tells of a new request.
     *
     * @param work the request
     * @param exchange carries out the decisions about it
     */
    void arrived(Work work, Exchange exchange);

    /**
     * Tells that the running attempt brings output.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param progress what arrived since the last call
     * @param first true for the first output of the attempt
     */
    void progress(long work, int attempt, Progress progress, boolean first);

    /**
     * Tells that an attempt has ended.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param end how it ended
     * @param cause for the log
     * @param load load that the upstream stated, or null
     */
    void ended(long work, int attempt, AttemptEnd end, String cause, @Nullable UpstreamLoad load);

    /**
     * Tells that the caller has the whole answer of an upstream.
     *
     * @param work number of the request
     * @param attempt number of the attempt
     * @param delivery how it was delivered
     * @param load load that the upstream stated, or null
     */
    void delivered(long work, int attempt, Delivery delivery, @Nullable UpstreamLoad load);

    /**
     * Tells that the caller is gone.
     *
     * @param work number of the request
     */
    void withdrawn(long work);
}
