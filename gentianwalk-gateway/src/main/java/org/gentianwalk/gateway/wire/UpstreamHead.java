package org.gentianwalk.gateway.wire;

import java.time.Duration;
import org.gentianwalk.core.dispatch.MemoryCopy;
import org.jspecify.annotations.Nullable;

/**
 * Values of the headers that this instance adds to a request to an upstream.
 *
 * @param timeLeft time until the deadline of the request
 * @param upstreamId the upstream process that the request is meant for; any other one rejects it
 * @param team the team of the caller's key, or null without one
 * @param urgency rank in the engine's queue, 0 first; negative to omit it
 * @param lastEvent number of the last event that the caller has received, or 0 for the whole
 *     response
 * @param copyHolder address of the engine that keeps a backup of the KV cache, or null
 * @param copy backup of the KV cache to continue from, or null
 * @param fetchFrom address of an engine that has the prompt in its KV cache, or null
 */
public record UpstreamHead(
        Duration timeLeft,
        String upstreamId,
        @Nullable String team,
        int urgency,
        long lastEvent,
        @Nullable String copyHolder,
        @Nullable MemoryCopy copy,
        @Nullable String fetchFrom) {}
