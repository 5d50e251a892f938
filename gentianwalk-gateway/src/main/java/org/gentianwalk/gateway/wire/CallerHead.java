package org.gentianwalk.gateway.wire;

import java.time.Duration;
import org.gentianwalk.core.dispatch.GenerationShape;
import org.jspecify.annotations.Nullable;

/**
 * Parsed head of a caller's request.
 *
 * @param requestId the caller's identifier of this request; empty without one
 * @param timeout how long the caller waits for the response, or null when it does not state it
 * @param key the caller's API key, or null without one
 * @param lastEvent number of the last event that the caller has received, or 0
 * @param generation model, size and prompt parts of the generation, or null for a plain call
 */
public record CallerHead(
        String requestId,
        @Nullable Duration timeout,
        @Nullable String key,
        long lastEvent,
        @Nullable GenerationShape generation) {}
