package org.gentianwalk.bench.fleet;

/** A pattern of load or failure. */
@FunctionalInterface
public interface Pattern {
    /**
     * Schedules the events of the pattern on the model's clock.
     *
     * @param model the model, not started yet
     */
    void schedule(FleetModel model);
}
