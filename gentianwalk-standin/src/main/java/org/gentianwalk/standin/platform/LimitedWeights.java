package org.gentianwalk.standin.platform;

import java.time.Duration;
import org.gentianwalk.core.platform.WeightStore;

/** The weight store in memory with its rate limit. */
public final class LimitedWeights implements WeightStore {
    private final RateLimit mRate;

    /**
     * Creates a store.
     *
     * @param rate limit of requests
     */
    public LimitedWeights(RateLimit rate) {
        mRate = rate;
    }

    @Override
    public Grant request(String model) {
        Duration wait = mRate.take();
        return wait.isZero() ? new Grant.Granted() : new Grant.Throttled(wait);
    }
}
