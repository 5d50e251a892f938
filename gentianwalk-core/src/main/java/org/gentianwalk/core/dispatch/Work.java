package org.gentianwalk.core.dispatch;

import org.gentianwalk.core.route.RequestKind;
import org.jspecify.annotations.Nullable;

/**
 * A request as the schedulers see it.
 *
 * @param id number of the request, unique in the instance
 * @param requestId the caller's identifier of the request
 * @param service the service that runs it
 * @param team the team that it is accounted to; empty without one
 * @param kind what may be repeated
 * @param priority rank, 0 first
 * @param generation size of the generation, or null for a plain call
 * @param arrivedNanos arrival
 * @param targetNanos latest time at which the answer or its first event is on time
 * @param deadlineNanos time of the final answer at the latest
 * @param maxPauseNanos longest pause between events that is on time; 0 for calls
 * @param maxAttempts upstreams that it may be sent to
 * @param eventsSeen events that the caller already has; more than 0 for the rest of a stream
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
        long eventsSeen) {}
