package org.gentianwalk.gateway.store;

/**
 * Point in the history of the shared store. A store that comes back from a copy gives versions out
 * again, so that versions of two eras can't be compared. Ordered by era, then by version.
 *
 * @param era number of times that the store has come back from a copy; 0 when it does not state it
 * @param version version within the era; -1 before the first one
 */
public record StoreVersion(long era, long version) implements Comparable<StoreVersion> {
    /** Precedes all versions of a store. */
    public static final StoreVersion NONE = new StoreVersion(0, -1);

    /** Checks the components. */
    public StoreVersion {
        if (era < 0 || version < -1) {
            throw new IllegalArgumentException("era " + era + ", version " + version);
        }
    }

    @Override
    public int compareTo(StoreVersion other) {
        int eras = Long.compare(era, other.era);
        return eras == 0 ? Long.compare(version, other.version) : eras;
    }

    /**
     * Returns whether this point precedes another one.
     *
     * @param other the other point
     * @return true when this one is of an earlier era, or of an earlier version of the same era
     */
    public boolean isBefore(StoreVersion other) {
        return compareTo(other) < 0;
    }

    /**
     * Returns the later of two points.
     *
     * @param other the other point
     * @return this point or the other one
     */
    public StoreVersion max(StoreVersion other) {
        return isBefore(other) ? other : this;
    }
}
