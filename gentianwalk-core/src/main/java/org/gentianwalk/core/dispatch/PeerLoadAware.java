package org.gentianwalk.core.dispatch;

/** A scheduler that takes the load of other instances at its engines into account. */
public interface PeerLoadAware {
    /**
     * Number of other instances from which on load reports are sent to other regions at intervals
     * only, so that engines of other regions are used as a last resort.
     */
    int WIDE_FLEET = 24;

    /**
     * Returns whether there is a load to report. An empty one is reported, too, where it replaces
     * an earlier one.
     *
     * @param nowNanos current time
     * @return false when a report would change nothing at other instances
     */
    default boolean hasLoad(long nowNanos) {
        return true;
    }

    /**
     * Returns the load of this instance.
     *
     * @param nowNanos current time
     * @return a complete report
     */
    InstanceLoad load(long nowNanos);

    /**
     * Returns a counter that increases with each change of {@link #load}.
     *
     * @return the counter
     */
    long loadChanges();

    /**
     * Records the load of another instance, which replaces its previous report.
     *
     * @param instance the instance
     * @param load its report
     * @param nowNanos time of receipt
     */
    void recordPeerLoad(String instance, InstanceLoad load, long nowNanos);

    /**
     * Updates the live instances; reports of others are discarded.
     *
     * @param peers the live instances
     */
    void updatePeers(PeerView peers);
}
