package org.gentianwalk.gateway.wire;

import java.time.Duration;
import org.gentianwalk.core.dispatch.GenerationShape;
import org.jspecify.annotations.Nullable;

/**
 * What the head of a caller's request says.
 *
 * @param requestId the caller's identifier of this request; empty without one
 * @param patience how long the caller waits, or null when it does not say
 * @param key the caller's key, or null without one
 * @param lastEvent number of the last event that the caller has, or 0
 * @param generation size of the generation, or null for a plain call
 */
public record CallerHead(
        String requestId,
        @Nullable Duration patience,
        @Nullable String key,
        long lastEvent,
        @Nullable GenerationShape generation) {}
