package org.gentianwalk.core.dispatch;

import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.model.Location.Distance;

/** Selects the upstream of an attempt among those that may get it. Holds state of one service. */
public interface PlacementPolicy {
    /**
     * An upstream that may get an attempt.
     *
     * @param upstream the upstream
     * @param cost expected time until the answer compared to others, milliseconds
     * @param penalty part of the cost due to faults and refusals of the upstream, milliseconds
     * @param load requests at the upstream in relation to its slots
     * @param speed its speed in relation to other upstreams
     * @param distance distance from this instance
     */
    record Candidate(
            Upstream upstream,
            double cost,
            double penalty,
            double load,
            double speed,
            Distance distance) {}

    /**
     * Selects an upstream.
     *
     * @param candidates the upstreams that may get the attempt, at least one
     * @param meanMillis mean duration of a request
     * @return its index
     */
    int select(List<Candidate> candidates, double meanMillis);

    /** The policies that settings may name. */
    enum Kind {
        /** The upstream with the lowest cost. */
        LOWEST_COST("lowest-cost", random -> new LowestCostPlacement()),
        /** Upstreams in proportion to their free capacity. */
        BALANCED("balanced", BalancedPlacement::new);

        private final String mLabel;
        private final Function<RandomGenerator, PlacementPolicy> mFactory;

        Kind(String label, Function<RandomGenerator, PlacementPolicy> factory) {
            mLabel = label;
            mFactory = factory;
        }

        /**
         * Returns the name of the policy in the settings.
         *
         * @return its name
         */
        public String label() {
            return mLabel;
        }

        /**
         * Creates the policy of a service.
         *
         * @param random source of randomness
         * @return the policy without state
         */
        public PlacementPolicy create(RandomGenerator random) {
            return mFactory.apply(random);
        }
    }
}
