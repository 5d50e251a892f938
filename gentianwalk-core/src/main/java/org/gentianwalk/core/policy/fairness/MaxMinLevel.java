package org.gentianwalk.core.policy.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Weighted max-min fair division of a capacity (water-filling). */
public final class MaxMinLevel {
    private MaxMinLevel() {}

    /**
     * Returns the level L at which the sum of min(demand, weight × L) equals the capacity.
     *
     * @param claims demands with weights
     * @param capacity the capacity to divide; a negative one counts as 0
     * @return the level, or infinity when all demands fit
     */
    public static double of(List<WeightedDemand> claims, double capacity) {
        List<WeightedDemand> ordered = new ArrayList<>(claims);
        ordered.sort(Comparator.comparingDouble(WeightedDemand::saturation));
        double left = Math.max(0, capacity);
        double weights = 0;
        for (WeightedDemand claim : ordered) {
            weights += claim.weight();
        }
        for (WeightedDemand claim : ordered) {
            if (claim.demand() * weights > left * claim.weight()) {
                return left / weights;
            }
            left -= claim.demand();
            weights -= claim.weight();
        }
        return Double.POSITIVE_INFINITY;
    }

    /**
     * The demand of one team.
     *
     * @param demand requested rate, tokens per second
     * @param weight the share's weight
     */
    public record WeightedDemand(double demand, double weight) {
        public WeightedDemand {
            if (!(demand >= 0) || !(weight > 0)) {
                throw new IllegalArgumentException(
                        "demand must not be negative and weight must be positive");
            }
        }

        /** Returns the level from which the demand is met in full. */
        double saturation() {
            return demand / weight;
        }
    }
}
