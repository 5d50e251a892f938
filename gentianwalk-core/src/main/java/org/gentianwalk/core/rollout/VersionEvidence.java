package org.gentianwalk.core.rollout;

/** Running sums of the observations of one version on one route. */
final class VersionEvidence {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Least time that is told apart, 1 microsecond, since 0 has no logarithm. */
    private static final double MIN_MILLIS = 1e-3;

    private long mStarted;
    private long mAnswered;
    private long mFailed;
    private long mTimed;
    private double mSumLogFirst;
    private double mSumSquaredLogFirst;
    private double mSumLogTotal;
    private double mSumSquaredLogTotal;

    void start() {
        mStarted++;
    }

    /** Adds a time to the first output. */
    void first(long nanos) {
        double value = logMillis(nanos);
        mTimed++;
        mSumLogFirst += value;
        mSumSquaredLogFirst += value * value;
    }

    void fail() {
        mAnswered++;
        mFailed++;
    }

    /**
     * Adds a success. An unknown duration counts as the mean of the known ones, so that the number
     * of durations is the number of successes.
     *
     * @param nanos duration; negative when not known
     * @return false when the duration is not known and no other one is; nothing is added then
     */
    boolean succeed(long nanos) {
        long known = mAnswered - mFailed;
        if (nanos < 0 && known == 0) {
            return false;
        }
        double value = nanos >= 0 ? logMillis(nanos) : mSumLogTotal / known;
        double square = nanos >= 0 ? value * value : mSumSquaredLogTotal / known;
        mAnswered++;
        mSumLogTotal += value;
        mSumSquaredLogTotal += square;
        return true;
    }

    /**
     * Adds or subtracts counters.
     *
     * @param counters the counters
     * @param sign 1 or -1
     */
    void add(VersionCounters counters, int sign) {
        mStarted += sign * counters.started();
        mAnswered += sign * counters.answered();
        mFailed += sign * counters.failed();
        mTimed += sign * counters.timed();
        mSumLogFirst += sign * counters.sumLogFirst();
        mSumSquaredLogFirst += sign * counters.sumSquaredLogFirst();
        mSumLogTotal += sign * counters.sumLogTotal();
        mSumSquaredLogTotal += sign * counters.sumSquaredLogTotal();
    }

    /** Returns the sums as counters; a difference that is not valid counts as 0. */
    VersionCounters counters(String route, boolean newVersion) {
        long ends = Math.max(0, mAnswered);
        return new VersionCounters(
                route,
                newVersion,
                Math.max(0, mStarted),
                ends,
                Math.clamp(mFailed, 0, ends),
                Math.max(0, mTimed),
                mSumLogFirst,
                mSumSquaredLogFirst,
                mSumLogTotal,
                mSumSquaredLogTotal);
    }

    private static double logMillis(long nanos) {
        return Math.log(Math.max(MIN_MILLIS, nanos / NANOS_PER_MILLI));
    }
}
