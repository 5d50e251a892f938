package org.gentianwalk.server.pipeline;

import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.Scheduler.Loss;

/**
 * Receives the decisions of the serving path, for example to log them. Its methods are called on
 * the control thread and must not block.
 */
public interface DecisionSink {
    /**
     * Records that work was admitted.
     *
     * @param item the work
     * @param aheadTokens queued work ahead of it, tokens
     */
    void admitted(WorkItem item, long aheadTokens);

    /**
     * Records that work was refused.
     *
     * @param item the work
     * @param error the error that the caller receives
     */
    void refused(WorkItem item, ServeError error);

    /**
     * Records where an attempt runs.
     *
     * @param start the decision
     * @param position position of the attempt's first token
     */
    void routed(Decision.Start start, int position);

    /**
     * Records that the scheduler cancelled a running attempt.
     *
     * @param cancel the decision
     */
    void cancelled(Decision.Cancel cancel);

    /**
     * Records that an attempt was lost.
     *
     * @param lost the event
     */
    void lost(Lost lost);

    /**
     * Records the end of a generation.
     *
     * @param ended the event
     */
    void ended(Ended ended);

    /**
     * A lost attempt.
     *
     * @param request the request key
     * @param rank the service class
     * @param attempt number of the lost attempt
     * @param position tokens held at the loss
     * @param upstream the engine
     * @param loss how the attempt ended, which decides whether it counts as evidence
     * @param reason the cause in words
     */
    record Lost(
            RequestKey request,
            Rank rank,
            int attempt,
            int position,
            String upstream,
            Loss loss,
            String reason) {}

    /**
     * The end of a generation.
     *
     * @param request the request key
     * @param rank the service class
     * @param attempts attempts made
     * @param tokens output tokens
     * @param reason {@code finished}, {@code caller_gone} or the code of an error
     */
    record Ended(RequestKey request, Rank rank, int attempts, int tokens, String reason) {}
}
