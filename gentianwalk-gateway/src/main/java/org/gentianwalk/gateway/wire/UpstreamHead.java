package org.gentianwalk.gateway.wire;

import java.time.Duration;
import org.gentianwalk.core.dispatch.MemoryCopy;
import org.jspecify.annotations.Nullable;

/**
 * What an upstream is told with a request.
 *
 * @param timeLeft time until the answer is of no use any more
 * @param upstreamId the run that the request is meant for; any other one declines it
 * @param team the team of the caller's key, or null without one
 * @param urgency rank in the engine's queue, 0 first; negative to leave it out
 * @param lastEvent number of the last event that exists, or 0 for the whole answer
 * @param copyKeeper address of the engine that keeps a copy of the memory, or null
 * @param copy copy of the memory to continue from, or null
 * @param fetchFrom address of an engine that keeps the prompt, or null
 */
public record UpstreamHead(
        Duration timeLeft,
        String upstreamId,
        @Nullable String team,
        int urgency,
        long lastEvent,
        @Nullable String copyKeeper,
        @Nullable MemoryCopy copy,
        @Nullable String fetchFrom) {}
