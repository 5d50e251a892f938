package org.gentianwalk.core.policy.fairness;

import java.util.List;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.policy.suspect.SuspectEntry;

/** A message between the schedulers of two instances. Messages may be lost or duplicated. */
public sealed interface PolicyMessage {
    /**
     * Demand and load of one pool at one instance, sent to the pool's home instance.
     *
     * @param pool the pool
     * @param instance the reporting instance
     * @param period sequence number of the report; reports with a lower number are outdated
     * @param heavy the teams with the highest demand
     * @param restUrgentDemand urgent demand of all other teams, tokens per second
     * @param restStandardDemand standard demand of all other teams, tokens per second
     * @param served rate of served work, tokens per second
     * @param capacity estimated capacity of the whole pool, tokens per second
     * @param queuedWork tokens in the reporter's queue
     */
    record UsageReport(
            PoolKey pool,
            String instance,
            long period,
            List<TeamDemand> heavy,
            double restUrgentDemand,
            double restStandardDemand,
            double served,
            double capacity,
            double queuedWork)
            implements PolicyMessage {
        public UsageReport {
            heavy = List.copyOf(heavy);
        }
    }

    /**
     * Fair levels of a pool, computed by its home instance.
     *
     * @param pool the pool
     * @param period sequence number of the level
     * @param urgentLevel urgent tokens per second for each unit of weight, or infinity when the
     *     pool is not contended
     * @param standardLevel the level of standard work, in the same unit
     * @param totals total demand of the heaviest teams over all instances
     * @param reporters number of instances whose reports were summed
     */
    record PoolLevel(
            PoolKey pool,
            long period,
            double urgentLevel,
            double standardLevel,
            List<TeamTotal> totals,
            int reporters)
            implements PolicyMessage {
        public PoolLevel {
            totals = List.copyOf(totals);
        }
    }

    /**
     * Changes of suspect requests.
     *
     * @param entries state of each changed suspect
     */
    record SuspectNotice(List<SuspectEntry> entries) implements PolicyMessage {
        public SuspectNotice {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Demand of a team over all instances.
     *
     * @param team the team
     * @param rank the service class
     * @param demand tokens per second
     */
    record TeamTotal(String team, Rank rank, double demand) {}

    /**
     * A message with its receiver.
     *
     * @param instance the receiving instance
     * @param message the message
     */
    record Addressed(String instance, PolicyMessage message) {}
}
