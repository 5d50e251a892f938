package org.gentianwalk.core.policy.fairness;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.gentianwalk.core.policy.fairness.MaxMinLevel.WeightedDemand;

class MaxMinLevelTest {
    private static final int STEPS = 200_000;

    /**
     * Guards against levels that give a team more or less than the max-min fair share, by
     * comparison with a brute-force computation.
     */
    @Property(tries = 40, seed = "17")
    void levelEqualsBruteForceDivision(
            @ForAll @Size(min = 1, max = 8) List<@DoubleRange(min = 0, max = 100) Double> demands,
            @ForAll @Size(8) List<@DoubleRange(min = 0.5, max = 4) Double> weights,
            @ForAll @DoubleRange(min = 1, max = 300) double capacity) {
        List<WeightedDemand> claims = new ArrayList<>();
        for (int i = 0; i < demands.size(); i++) {
            claims.add(new WeightedDemand(demands.get(i), weights.get(i)));
        }
        double level = MaxMinLevel.of(claims, capacity);
        double[] filled = divideInSteps(claims, capacity);
        for (int i = 0; i < filled.length; i++) {
            WeightedDemand claim = claims.get(i);
            assertThat(Math.min(claim.demand(), claim.weight() * level))
                    .isCloseTo(filled[i], within(capacity / 1_000));
        }
    }

    /** Divides the capacity in small steps among all claims that are not yet met. */
    private static double[] divideInSteps(List<WeightedDemand> claims, double capacity) {
        double[] filled = new double[claims.size()];
        double step = capacity / STEPS;
        double left = capacity;
        while (left > 0) {
            double weights = 0;
            for (int i = 0; i < filled.length; i++) {
                weights += filled[i] < claims.get(i).demand() ? claims.get(i).weight() : 0;
            }
            if (weights == 0) {
                return filled;
            }
            for (int i = 0; i < filled.length; i++) {
                if (filled[i] < claims.get(i).demand()) {
                    filled[i] += step * claims.get(i).weight() / weights;
                }
            }
            left -= step;
        }
        return filled;
    }
}
