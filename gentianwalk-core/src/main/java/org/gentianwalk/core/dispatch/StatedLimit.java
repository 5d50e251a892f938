package org.gentianwalk.core.dispatch;

/**
 * The limit that an upstream process stated last, as instances exchange it.
 *
 * @param process identifier of the upstream process
 * @param requestsPerSecond requests a second that it accepts from all instances together; {@link
 *     #NONE} when it states no limit any more
 * @param ageMs time since the statement, milliseconds
 */
public record StatedLimit(String process, double requestsPerSecond, int ageMs) {
    /** Value that stands for the absence of a limit. */
    public static final double NONE = Double.POSITIVE_INFINITY;

    public StatedLimit {
        if (!(requestsPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "a limit of " + requestsPerSecond + " requests a second must not be negative");
        }
    }
}
