package org.gentianwalk.server;

import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.policy.Scheduler;

/** Creates the scheduler of an instance. */
@FunctionalInterface
public interface SchedulerFactory {
    /**
     * Creates a scheduler.
     *
     * @param settings the instance
     * @param rules the configuration in force
     * @return a new scheduler, used by one control thread only
     */
    Scheduler create(InstanceSettings settings, Supplier<ServingRules> rules);
}
