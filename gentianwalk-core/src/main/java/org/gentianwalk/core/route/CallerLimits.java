package org.gentianwalk.core.route;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes longest request line with headers
 * @param maxBodyBytes longest body
 * @param headerTimeout longest time for a request to arrive once it has begun
 * @param idleTimeout time without a request after which a connection is closed
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Values in force until a configuration is known; as generous as a configuration may be. */
    public static final CallerLimits UNCONFIGURED =
            new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
