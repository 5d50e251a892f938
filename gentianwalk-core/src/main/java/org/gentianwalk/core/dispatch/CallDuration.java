package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.Arrays;

/**
 * Estimates the duration of the calls to a service: a moving average, and a bound that few calls
 * exceed, computed from average and mean deviation like a retransmission timeout (RFC 6298). Calls
 * that are given up without an answer are not recorded. The time from which a call counts as
 * overdue is therefore computed from a quantile, which the absence of the longest ones hardly
 * changes.
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

    /** Number of the latest durations from which the quantile is computed. */
    private static final int WINDOW = 64;

    /** Number of durations without which the bound is used in place of the quantile. */
    private static final int MIN_DURATIONS = 16;

    private static final double QUANTILE = 0.9;

    /**
     * Multiple of the quantile from which a call is overdue. For exponentially distributed
     * durations, one call in a hundred takes longer.
     */
    private static final double OVERDUE_FACTOR = 2;

    /**
     * Least time from which a call is overdue; covers the wait in the queue of an upstream and
     * scheduling delays.
     */
    private static final long MIN_OVERDUE_NANOS = Duration.ofMillis(100).toNanos();

    private static final double NANOS_PER_MILLI = 1e6;

    private final long[] mLatest = new long[WINDOW];
    private int mRecorded;
    private long mQuantile;

    private double mMeanMillis = INITIAL_MILLIS;
    private double mDeviationMillis = INITIAL_MILLIS / 2;

    /** Records the duration of a call that was answered. */
    void record(long nanos) {
        double millis = nanos / NANOS_PER_MILLI;
        double error = millis - mMeanMillis;
        mMeanMillis += MEAN_WEIGHT * error;
        mDeviationMillis += DEVIATION_WEIGHT * (Math.abs(error) - mDeviationMillis);
        mLatest[mRecorded % WINDOW] = nanos;
        mRecorded++;
        if (mRecorded >= MIN_DURATIONS) {
            long[] sorted = Arrays.copyOf(mLatest, Math.min(mRecorded, WINDOW));
            Arrays.sort(sorted);
            mQuantile = sorted[(int) (QUANTILE * sorted.length)];
        }
    }

    /** Returns the time within which most calls are answered, nanoseconds. */
    long usualNanos() {
        return mRecorded < MIN_DURATIONS ? boundNanos() : mQuantile;
    }

    /** Returns the time without an answer from which a call is overdue, nanoseconds. */
    long overdueNanos() {
        long overdue = Math.round(OVERDUE_FACTOR * usualNanos());
        return Math.max(MIN_OVERDUE_NANOS, overdue);
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
