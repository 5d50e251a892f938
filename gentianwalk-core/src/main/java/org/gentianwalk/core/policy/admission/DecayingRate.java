package org.gentianwalk.core.policy.admission;

/** An exponentially weighted rate. Example: {@code rate.add(300, now); rate.perSecond(now)}. */
public final class DecayingRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mWindowNanos;
    private final long mStart;
    private double mSum;
    private long mUpdated;

    /**
     * Creates a rate of zero.
     *
     * @param windowNanos averaging window
     * @param nowNanos current time
     */
    public DecayingRate(long windowNanos, long nowNanos) {
        mWindowNanos = windowNanos;
        mStart = nowNanos;
        mUpdated = nowNanos;
    }

    /**
     * Adds an amount.
     *
     * @param amount the amount; negative for a correction
     * @param nowNanos current time
     */
    public void add(double amount, long nowNanos) {
        decay(nowNanos);
        mSum = Math.max(0, mSum + amount);
    }

    /**
     * Returns the rate. Before a whole window has passed, the sum is divided by the elapsed part of
     * the window, at least a quarter.
     *
     * @param nowNanos current time
     * @return amount per second
     */
    public double perSecond(long nowNanos) {
        decay(nowNanos);
        double elapsedPart = 1 - Math.exp(-(nowNanos - mStart) / mWindowNanos);
        return mSum / (mWindowNanos / NANOS_PER_SECOND * Math.max(0.25, elapsedPart));
    }

    private void decay(long nowNanos) {
        if (nowNanos > mUpdated) {
            mSum *= Math.exp(-(nowNanos - mUpdated) / mWindowNanos);
            mUpdated = nowNanos;
        }
    }
}
