package org.gentianwalk.core.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Exponential moving averages of the demand for each model, so that noise does not move engines.
 */
final class DemandAverage {
    /** Averages below this many tokens per second are dropped. */
    private static final double NEGLIGIBLE_RATE = 0.01;

    private final double mTimeConstantNanos;
    private final double mUrgentFactor;
    private final Map<String, Double> mWeightedDemand = new HashMap<>();
    private long mUpdatedNanos;
    private boolean mStarted;

    DemandAverage(Duration smoothing, double urgentFactor) {
        mTimeConstantNanos = smoothing.toNanos();
        mUrgentFactor = urgentFactor;
    }

    void update(Collection<ModelDemand> demand, long nowNanos) {
        Map<String, Double> current = new HashMap<>();
        for (ModelDemand one : demand) {
            double weighted =
                    one.urgentTokensPerSecond() * mUrgentFactor + one.standardTokensPerSecond();
            current.merge(one.model(), weighted, Double::sum);
        }
        double weight =
                mStarted ? 1 - Math.exp(-(nowNanos - mUpdatedNanos) / mTimeConstantNanos) : 1;
        Set<String> models = new HashSet<>(mWeightedDemand.keySet());
        models.addAll(current.keySet());
        for (String model : models) {
            double before = mWeightedDemand.getOrDefault(model, 0.0);
            double next = before + weight * (current.getOrDefault(model, 0.0) - before);
            if (next < NEGLIGIBLE_RATE) {
                mWeightedDemand.remove(model);
            } else {
                mWeightedDemand.put(model, next);
            }
        }
        mUpdatedNanos = nowNanos;
        mStarted = true;
    }

    double weightedDemand(String model) {
        return mWeightedDemand.getOrDefault(model, 0.0);
    }

    Set<String> models() {
        return mWeightedDemand.keySet();
    }
}
