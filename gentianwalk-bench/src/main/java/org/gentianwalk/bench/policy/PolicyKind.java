package org.gentianwalk.bench.policy;

import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.policy.FairScheduler;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.RoundRobinScheduler;
import org.gentianwalk.core.policy.Scheduler;
import org.gentianwalk.core.policy.ShareRules;

/** The policies that are compared. */
public enum PolicyKind {
    /** The daemon's scheduler. */
    FAIR {
        @Override
        Scheduler create(String instance, Location location, long seed) {
            return new FairScheduler(
                    PolicyOptions.defaults(), ShareRules.EQUAL, instance, location, seed);
        }
    },
    /** Selects engines in round-robin order. */
    ROUND_ROBIN {
        @Override
        Scheduler create(String instance, Location location, long seed) {
            return new RoundRobinScheduler();
        }
    },
    /** Immediately selects the engine with the fewest generations of the same instance. */
    LEAST_OUTSTANDING {
        @Override
        Scheduler create(String instance, Location location, long seed) {
            return new BaselineScheduler(false, false, false, seed);
        }
    },
    /**
     * Queues in order of arrival until an engine has capacity, then selects the least loaded one.
     */
    FIFO {
        @Override
        Scheduler create(String instance, Location location, long seed) {
            return new BaselineScheduler(true, true, false, seed);
        }
    },
    /** Immediately selects the least loaded engine and passes the rank as priority. */
    NO_LIMITS {
        @Override
        Scheduler create(String instance, Location location, long seed) {
            return new BaselineScheduler(true, false, true, seed);
        }
    };

    abstract Scheduler create(String instance, Location location, long seed);
}
