package org.gentianwalk.core.dispatch;

import java.time.Duration;

/**
 * The fleet's bounds on further attempts at a service.
 *
 * @param ratio further attempts for each request
 * @param slack further attempts in a window that are allowed besides
 * @param window length of the sliding window
 */
public record RetryBounds(double ratio, double slack, Duration window) {
    public RetryBounds {
        if (ratio < 0 || slack < 0 || window.isNegative() || window.isZero()) {
            throw new IllegalArgumentException(
                    "retry bounds need a ratio and a slack of at least 0 and a positive window");
        }
    }
}
