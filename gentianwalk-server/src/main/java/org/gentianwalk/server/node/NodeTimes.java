package org.gentianwalk.server.node;

import java.time.Duration;

/**
 * Periods of an instance's background tasks. Example: {@code NodeTimes.DEFAULT}.
 *
 * @param placement time between two steps of the placement
 * @param sweep time between two pages of the scan for expired call rows
 * @param marks time between two repetitions of the operators' drain marks
 */
public record NodeTimes(Duration placement, Duration sweep, Duration marks) {
    /**
     * Placement plans every 5 s. A page of call rows every 30 s costs the store little. Marks are
     * repeated each second, a third of the 3 s within which a drain must take effect everywhere.
     */
    public static final NodeTimes DEFAULT =
            new NodeTimes(Duration.ofSeconds(5), Duration.ofSeconds(30), Duration.ofSeconds(1));

    public NodeTimes {
        if (placement.isZero() || sweep.isZero() || marks.isZero()) {
            throw new IllegalArgumentException("periods must be positive");
        }
    }
}
