package org.gentianwalk.core.dispatch;

/**
 * One process of an upstream as described in the shared list.
 *
 * @param id identifier; may stay the same after a restart
 * @param incarnation start time of the process, milliseconds since the epoch by the upstream's
 *     clock
 * @param service the service that it belongs to
 * @param address IP address and port
 * @param zone its availability zone
 * @param slots maximum number of concurrent requests
 * @param draining true when it accepts no new requests
 * @param version version of its software; empty when it is not known
 */
public record Upstream(
        String id,
        long incarnation,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        String version) {
    public Upstream {
        if (id.isEmpty() || service.isEmpty()) {
            throw new IllegalArgumentException("id and service of an upstream must not be empty");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots of upstream " + id + " must be positive");
        }
    }

    /**
     * Creates an upstream whose version is not known.
     *
     * @param id identifier; may stay the same after a restart
     * @param incarnation start time of the process, milliseconds since the epoch
     * @param service the service that it belongs to
     * @param address IP address and port
     * @param zone its availability zone
     * @param slots maximum number of concurrent requests
     * @param draining true when it accepts no new requests
     */
    public Upstream(
            String id,
            long incarnation,
            String service,
            String address,
            String zone,
            int slots,
            boolean draining) {
        this(id, incarnation, service, address, zone, slots, draining, "");
    }

    /**
     * Returns an identifier of the process, which changes with each restart.
     *
     * @return identifier and incarnation
     */
    public String process() {
        return id + '@' + incarnation;
    }

    /**
     * Returns whether another entry describes the same process.
     *
     * @param other the other entry
     * @return true when identifier, incarnation and address are equal
     */
    public boolean isSameProcess(Upstream other) {
        return id.equals(other.id)
                && incarnation == other.incarnation
                && address.equals(other.address);
    }
}
