package org.gentianwalk.core.dispatch;

import java.time.Duration;

/**
 * Estimates the duration of the calls to a service: a moving average, and a bound that few calls
 * exceed, computed from average and mean deviation like a retransmission timeout (RFC 6298).
 */
final class CallDuration {
    /** Estimated duration before the first answer, milliseconds. */
    private static final double INITIAL_MILLIS = 30;

    private static final double MEAN_WEIGHT = 0.05;
    private static final double DEVIATION_WEIGHT = 0.1;

    /** Mean deviations between the average and the bound. */
    private static final double BOUND_DEVIATIONS = 4;

    /** Least bound; covers a new connection to another region and scheduling delays. */
    private static final Duration MIN_BOUND = Duration.ofMillis(200);

    private static final double NANOS_PER_MILLI = 1e6;

    private double mMeanMillis = INITIAL_MILLIS;
    private double mDeviationMillis = INITIAL_MILLIS / 2;

    /** Records the duration of a call that was answered. */
    void record(long nanos) {
        double millis = nanos / NANOS_PER_MILLI;
        double error = millis - mMeanMillis;
        mMeanMillis += MEAN_WEIGHT * error;
        mDeviationMillis += DEVIATION_WEIGHT * (Math.abs(error) - mDeviationMillis);
    }

    /** Returns the average duration, milliseconds. */
    double meanMillis() {
        return mMeanMillis;
    }

    /** Returns the bound on the duration, nanoseconds. */
    long boundNanos() {
        double millis = mMeanMillis + BOUND_DEVIATIONS * mDeviationMillis;
        return Math.max(MIN_BOUND.toNanos(), Math.round(millis * NANOS_PER_MILLI));
    }
}
