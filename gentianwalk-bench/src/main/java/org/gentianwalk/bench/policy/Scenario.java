package org.gentianwalk.bench.policy;

import java.util.Map;

/** A benchmark scenario, run per seed and deployment with all compared policies. */
interface Scenario {
    /** Returns the name in the report. */
    String name();

    /** Returns the targets by measure. They apply to the daemon's policy only. */
    Map<String, Target> targets();

    /** Runs one seed and adds its measures to {@code measures}. */
    void run(Deployment deployment, long seed, Measures measures);

    /**
     * Bound of a measure.
     *
     * @param bound the bound
     * @param most true for an upper bound
     */
    record Target(double bound, boolean most) {
        static Target atMost(double bound) {
            return new Target(bound, true);
        }

        static Target atLeast(double bound) {
            return new Target(bound, false);
        }

        boolean isMet(double value) {
            return most ? value <= bound : value >= bound;
        }
    }

    /** Receives measures. */
    interface Measures {
        /**
         * Adds a measure of one seed.
         *
         * @param policy the policy
         * @param measure name with unit
         * @param value the value
         */
        void put(String policy, String measure, double value);

        default void put(PolicyKind policy, String measure, double value) {
            put(policy.name(), measure, value);
        }
    }
}
