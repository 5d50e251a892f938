package org.gentianwalk.core.dispatch;

/** Limits the engines that a generation may take while the fleet is short of capacity. */
interface PlacementBound {
    /** Permits every place, and accepts the delay that follows from the time spent waiting. */
    PlacementBound NONE = new PlacementBound() {};

    /**
     * Returns the delay at an engine that a generation accepts.
     *
     * @param run the generation
     * @param usualNanos accepted delay by the time that it has waited
     * @param nowNanos current time
     */
    default long acceptedDelayNanos(StreamRun run, long usualNanos, long nowNanos) {
        return usualNanos;
    }

    /**
     * Returns whether a generation may take a place at an engine.
     *
     * @param run the generation
     * @param place the engine with its load
     * @param nowNanos current time
     */
    default boolean permits(StreamRun run, Place place, long nowNanos) {
        return true;
    }

    /**
     * An engine with the load that decides on a place.
     *
     * @param engine identifier of the engine
     * @param backlogNanos prefill time of the prompts that wait there
     * @param freeSlots number of generations that it can still run
     * @param freeMemory KV cache memory that may still be filled, tokens
     */
    record Place(String engine, long backlogNanos, int freeSlots, int freeMemory) {}
}
