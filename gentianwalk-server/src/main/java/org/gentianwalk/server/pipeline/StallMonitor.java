package org.gentianwalk.server.pipeline;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianwalk.core.time.Ticker;

/**
 * Derives the stall timeout of a model from the gaps between tokens of all its running generations.
 *
 * <p>A generation counts as stalled when its engine has sent no token for 20 mean gaps, but not
 * before {@link #MIN} and at the latest after {@link #MAX}.
 */
final class StallMonitor {
    /**
     * Minimum timeout; shorter pauses are common on a busy machine, for example during garbage
     * collection.
     */
    static final Duration MIN = Duration.ofMillis(1000);

    /** Maximum timeout; leaves 3 s of the 5 s recovery target for the next attempt. */
    static final Duration MAX = Duration.ofMillis(2000);

    private static final int TIMEOUT_GAPS = 20;
    private static final double SAMPLE_WEIGHT = 0.05;

    // One sample per interval is enough for the mean and avoids a map update for each token.
    private static final long SAMPLE_PERIOD_NANOS = Duration.ofMillis(5).toNanos();

    private final Map<String, Double> mMeanGapNanos = new ConcurrentHashMap<>();
    private final Ticker mTicker;
    private volatile long mNextSampleNanos;

    StallMonitor(Ticker ticker) {
        mTicker = ticker;
        mNextSampleNanos = ticker.nanos();
    }

    void recordGap(String model, long nanos) {
        long now = mTicker.nanos();
        if (now - mNextSampleNanos < 0) {
            return;
        }
        mNextSampleNanos = now + SAMPLE_PERIOD_NANOS;
        mMeanGapNanos.merge(model, (double) nanos, (old, gap) -> old + SAMPLE_WEIGHT * (gap - old));
    }

    long timeoutNanos(String model) {
        Double mean = mMeanGapNanos.get(model);
        if (mean == null) {
            return MAX.toNanos();
        }
        return Math.clamp((long) (mean * TIMEOUT_GAPS), MIN.toNanos(), MAX.toNanos());
    }
}
