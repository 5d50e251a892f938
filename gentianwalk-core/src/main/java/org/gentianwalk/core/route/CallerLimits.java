package org.gentianwalk.core.route;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of request line and headers
 * @param maxBodyBytes maximum size of a body
 * @param headerTimeout maximum time from the first byte of a request until all of it has arrived
 * @param idleTimeout time without a request after which a connection is closed
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /**
     * Values in effect until a configuration is loaded: the largest that a configuration may set.
     */
    public static final CallerLimits UNCONFIGURED =
            new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
