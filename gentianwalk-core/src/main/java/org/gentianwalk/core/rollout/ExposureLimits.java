package org.gentianwalk.core.rollout;

/**
 * Bounds on the requests that a version under observation may get.
 *
 * @param share fraction of all requests for the service
 * @param slack further requests, summed over all instances
 * @param rollbackNanos time after a sufficient number of bad answers from which no request may be
 *     sent to the version, nanoseconds
 */
public record ExposureLimits(double share, int slack, long rollbackNanos) {
    public ExposureLimits {
        if (!(share >= 0 && share <= 1) || slack < 0 || rollbackNanos < 0) {
            throw new IllegalArgumentException(
                    "share must be from 0 to 1, slack and rollback time not negative");
        }
    }
}
