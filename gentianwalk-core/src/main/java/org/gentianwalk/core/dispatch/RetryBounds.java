package org.gentianwalk.core.dispatch;

import java.time.Duration;

/**
 * Limits on the retries of a service, for all instances together.
 *
 * @param ratio retries allowed per request
 * @param slack retries allowed in each window in addition
 * @param window length of the sliding window
 */
public record RetryBounds(double ratio, double slack, Duration window) {
    public RetryBounds {
        if (ratio < 0 || slack < 0 || window.isNegative() || window.isZero()) {
            throw new IllegalArgumentException(
                    "retry ratio and slack must not be negative, and the window must be positive");
        }
    }
}
