package org.gentianwalk.core.rollout;

/**
 * An operator's order to move a service to another version of its upstreams.
 *
 * @param service the service
 * @param version the version to move to
 * @param era era of the store in which the order was written
 * @param revision version of the store at which the order was written; with the era, it identifies
 *     the order
 * @param startedNanos time from which the duration counts
 * @param durationNanos time within which the rollout has to end, nanoseconds
 */
public record RolloutOrder(
        String service,
        String version,
        long era,
        long revision,
        long startedNanos,
        long durationNanos) {
    public RolloutOrder {
        if (service.isEmpty() || version.isEmpty()) {
            throw new IllegalArgumentException("service and version of an order must not be empty");
        }
        if (durationNanos < 0) {
            throw new IllegalArgumentException("the duration of an order must not be negative");
        }
    }

    /**
     * Returns whether another order is the same one.
     *
     * @param other the other order
     * @return true when service, era and revision are equal
     */
    public boolean isSame(RolloutOrder other) {
        return service.equals(other.service) && era == other.era && revision == other.revision;
    }

    /**
     * Returns the end of the time limit.
     *
     * @return monotonic time, nanoseconds
     */
    public long deadlineNanos() {
        return startedNanos + durationNanos;
    }
}
