package org.gentianwalk.standin.platform;

import java.time.Duration;
import org.gentianwalk.core.time.Ticker;

/** A token bucket that holds at most one second's worth of operations. */
public final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker mTicker;
    private final double mPerSecond;
    private final double mBurst;
    private double mAvailable;
    private long mFilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param ticker the clock
     * @param perSecond operations a second, positive
     */
    public RateLimit(Ticker ticker, double perSecond) {
        if (perSecond <= 0) {
            throw new IllegalArgumentException("rate must be positive: " + perSecond);
        }
        mTicker = ticker;
        mPerSecond = perSecond;
        mBurst = Math.max(1, perSecond);
        mAvailable = mBurst;
        mFilledNanos = ticker.nanos();
    }

    /**
     * Takes one operation from the bucket.
     *
     * @return zero when the operation may proceed, otherwise the time until one may
     */
    public synchronized Duration take() {
        long now = mTicker.nanos();
        double added = (now - mFilledNanos) / NANOS_PER_SECOND * mPerSecond;
        mAvailable = Math.min(mBurst, mAvailable + added);
        mFilledNanos = now;
        if (mAvailable >= 1) {
            mAvailable -= 1;
            return Duration.ZERO;
        }
        double missing = 1 - mAvailable;
        return Duration.ofNanos((long) Math.ceil(missing / mPerSecond * NANOS_PER_SECOND));
    }
}
