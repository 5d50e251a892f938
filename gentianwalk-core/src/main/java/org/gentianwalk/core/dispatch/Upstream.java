package org.gentianwalk.core.dispatch;

/**
 * One run of an upstream as the shared list describes it.
 *
 * @param id identifier of the run; a restart may keep it
 * @param incarnation start time of the run, milliseconds since the epoch by the upstream's clock
 * @param service the service that it belongs to
 * @param address IP number and port
 * @param zone its availability zone
 * @param slots requests that it runs at once
 * @param draining true when it takes no new work
 */
public record Upstream(
        String id,
        long incarnation,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining) {
    public Upstream {
        if (id.isEmpty() || service.isEmpty()) {
            throw new IllegalArgumentException("an upstream needs an id and a service");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("upstream " + id + " has no slot");
        }
    }

    /**
     * Tells whether another entry is about the same run.
     *
     * @param other the other entry
     * @return true when identifier, start and address are equal
     */
    public boolean isSameRun(Upstream other) {
        return id.equals(other.id)
                && incarnation == other.incarnation
                && address.equals(other.address);
    }
}
