package org.gentianwalk.core.dispatch;

import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.route.RequestKind;
import org.jspecify.annotations.Nullable;

/**
 * The properties of a request that schedulers need.
 *
 * @param id number of the request, unique in the instance
 * @param requestId the caller's identifier of the request
 * @param service the service that runs it
 * @param team the team that it is accounted to; empty for none
 * @param kind whether the request may be repeated, and whether its answer is a stream
 * @param priority rank, 0 first
 * @param generation size of the generation, or null for a plain call
 * @param arrivedNanos arrival time
 * @param targetNanos time by which the answer or its first event should arrive
 * @param deadlineNanos time by which the final answer must be sent
 * @param maxPauseNanos target for the longest pause between events, nanoseconds; 0 for calls
 * @param maxAttempts maximum number of attempts that may execute it
 * @param eventsSeen number of events that the caller already has; positive for a resumed stream
 * @param content fingerprint of team, method, path and body, or null when it is not needed
 * @param route name of its route; empty when it is not known
 */
public record Work(
        long id,
        String requestId,
        String service,
        String team,
        RequestKind kind,
        int priority,
        @Nullable GenerationShape generation,
        long arrivedNanos,
        long targetNanos,
        long deadlineNanos,
        long maxPauseNanos,
        int maxAttempts,
        long eventsSeen,
        @Nullable Fingerprint content,
        String route) {
    /**
     * Creates a request whose route is not known.
     *
     * @param id number of the request, unique in the instance
     * @param requestId the caller's identifier of the request
     * @param service the service that runs it
     * @param team the team that it is accounted to; empty for none
     * @param kind whether the request may be repeated, and whether its answer is a stream
     * @param priority rank, 0 first
     * @param generation size of the generation, or null for a plain call
     * @param arrivedNanos arrival time
     * @param targetNanos time by which the answer or its first event should arrive
     * @param deadlineNanos time by which the final answer must be sent
     * @param maxPauseNanos target for the longest pause between events, nanoseconds; 0 for calls
     * @param maxAttempts maximum number of attempts that may execute it
     * @param eventsSeen number of events that the caller already has
     * @param content fingerprint of team, method, path and body, or null when it is not known
     */
    public Work(
            long id,
            String requestId,
            String service,
            String team,
            RequestKind kind,
            int priority,
            @Nullable GenerationShape generation,
            long arrivedNanos,
            long targetNanos,
            long deadlineNanos,
            long maxPauseNanos,
            int maxAttempts,
            long eventsSeen,
            @Nullable Fingerprint content) {
        this(
                id,
                requestId,
                service,
                team,
                kind,
                priority,
                generation,
                arrivedNanos,
                targetNanos,
                deadlineNanos,
                maxPauseNanos,
                maxAttempts,
                eventsSeen,
                content,
                "");
    }
}
