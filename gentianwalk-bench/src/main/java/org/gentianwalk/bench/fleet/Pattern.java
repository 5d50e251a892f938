package org.gentianwalk.bench.fleet;

/** A pattern of load or failure. */
@FunctionalInterface
public interface Pattern {
    /**
     * Schedules what the pattern does.
     *
     * @param model the model before its start
     */
    void schedule(FleetModel model);
}
