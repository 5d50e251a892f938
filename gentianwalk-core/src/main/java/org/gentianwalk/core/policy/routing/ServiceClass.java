package org.gentianwalk.core.policy.routing;

/**
 * Decides how far work may fill an engine and in which order it is served. The constants are
 * declared in descending priority.
 */
public enum ServiceClass {
    /** Continues an interrupted urgent generation. */
    URGENT_CONTINUATION,
    /** Urgent work within its team's level. */
    URGENT,
    /** Standard work while the rank is below its reserved share of the capacity. */
    KEPT_SHARE,
    /** Continues an interrupted standard generation. */
    STANDARD_CONTINUATION,
    /** Standard work of a team whose demand is below its level, while the pool is contended. */
    LIGHT,
    /** Standard work within its team's level. */
    STANDARD,
    /** Work above its team's level, which uses otherwise unused capacity. */
    ABOVE_LEVEL;

    /**
     * Returns the priority for the engine's own queue.
     *
     * @return the priority; lower values are served first
     */
    public int priority() {
        return ordinal();
    }

    /**
     * Returns whether the class consists of interrupted generations.
     *
     * @return true for continuations of either rank
     */
    public boolean isContinuation() {
        return this == URGENT_CONTINUATION || this == STANDARD_CONTINUATION;
    }

    /**
     * Returns whether the class may use the slots reserved for urgent work.
     *
     * @return true for urgent work and for standard work within the reserved share
     */
    public boolean usesReserve() {
        return ordinal() <= KEPT_SHARE.ordinal();
    }

    /**
     * Returns whether the class may use the link between regions when the own region has no free
     * slot.
     *
     * @return true for urgent work, standard work within the reserved share and interrupted
     *     generations
     */
    public boolean mayCrossRegions() {
        return ordinal() <= STANDARD_CONTINUATION.ordinal();
    }

    /**
     * Returns whether work of the class is limited to the instance's share of the free slots.
     * Without the limit, instances that see the same free slots would overfill the engines.
     *
     * @return true for standard work of teams whose demand is at or above their level
     */
    public boolean isLimitedToSlotShare() {
        return this == STANDARD || this == ABOVE_LEVEL;
    }
}
