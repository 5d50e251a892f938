package org.gentianwalk.bench.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.model.Rank;

/** Records the measures of one run within a time window. */
final class Recorder {
    static final double PROMPT_COST = 0.05;

    /** Bytes per token on the link between regions, as estimated in the policy's options. */
    private static final int PROMPT_BYTES = 5;

    private static final int OUTPUT_BYTES = 200;
    private static final long MAX_MICROS = 600_000_000L;
    private static final long MICRO = 1_000L;

    final Histogram mUrgentFirstToken = histogram();
    final Histogram mUrgentTokenGap = histogram();
    final Histogram mStandardFirstToken = histogram();
    final Histogram mResumeTime = histogram();
    final Histogram mRefusalTime = histogram();
    final Map<String, Double> mServed = new TreeMap<>();
    final Map<String, Double> mDemand = new TreeMap<>();
    final Map<String, Double> mFinished = new TreeMap<>();
    final Map<String, Integer> mRefusals = new TreeMap<>();
    final Map<Rank, Double> mServedByRank = new HashMap<>();
    final Map<Rank, Double> mGoodput = new HashMap<>();
    final Map<Long, Histogram> mUrgentFirstTokenBySecond = new TreeMap<>();
    final Map<Long, Double> mLinkBytesBySecond = new TreeMap<>();
    long mAttempts;
    long mExtraAttempts;
    long mPrefillTokens;
    long mRepeatedPrefill;
    long mTokens;
    long mInterrupted;
    private final long mFrom;
    private final long mTo;

    Recorder(long from, long to) {
        mFrom = from;
        mTo = to;
    }

    void recordArrival(Generation generation, long now) {
        if (isMeasured(now)) {
            mDemand.merge(generation.mItem.team(), cost(generation), Double::sum);
            if (generation.isUrgent()) {
                firstTokenInSecond(now);
            }
        }
    }

    void recordStart(Generation generation, FakeInstance instance, FakeEngine engine, long now) {
        if (isMeasured(now)) {
            mAttempts++;
            mExtraAttempts += generation.mAttempt > 1 ? 1 : 0;
        }
        if (isRemote(instance, engine)) {
            mLinkBytesBySecond.merge(
                    now / VirtualClock.SECOND,
                    (double) PROMPT_BYTES * generation.mItem.promptTokens(),
                    Double::sum);
        }
    }

    void recordPrefill(Generation generation, int attempt, int tokens, long now) {
        if (isMeasured(now)) {
            mPrefillTokens += tokens;
            mRepeatedPrefill += attempt > 1 ? tokens : 0;
        }
    }

    void recordToken(Generation generation, FakeInstance instance, FakeEngine engine, long now) {
        if (isRemote(instance, engine)) {
            mLinkBytesBySecond.merge(now / VirtualClock.SECOND, (double) OUTPUT_BYTES, Double::sum);
        }
        if (generation.mInterruptedAt >= 0) {
            record(mResumeTime, now - generation.mInterruptedAt);
            mInterrupted++;
            generation.mInterruptedAt = -1;
        }
        boolean first = generation.mGenerated == 1;
        if (first && isMeasured(generation.mArrival)) {
            long wait = now - generation.mArrival;
            record(generation.isUrgent() ? mUrgentFirstToken : mStandardFirstToken, wait);
            if (generation.isUrgent()) {
                record(firstTokenInSecond(generation.mArrival), wait);
            }
        }
        if (!isMeasured(now)) {
            return;
        }
        mTokens++;
        if (!first && generation.isUrgent()) {
            record(mUrgentTokenGap, now - generation.mLastToken);
        }
        double used = 1 + (first ? PROMPT_COST * generation.mItem.promptTokens() : 0);
        mServed.merge(generation.mItem.team(), used, Double::sum);
        mServedByRank.merge(generation.mItem.rank(), used, Double::sum);
    }

    void recordCompletion(Generation generation, long now) {
        if (isMeasured(generation.mArrival)) {
            mFinished.merge(generation.mItem.team(), cost(generation), Double::sum);
            mGoodput.merge(generation.mItem.rank(), cost(generation), Double::sum);
        }
    }

    void recordRefusal(Generation generation, String kind, long now) {
        mRefusals.merge(kind, 1, Integer::sum);
        if (isMeasured(generation.mArrival) && generation.mAttempt == 0) {
            record(mRefusalTime, now - generation.mArrival);
            if (generation.isUrgent()) {
                // A refusal counts as a missed target in the second of its arrival.
                record(firstTokenInSecond(generation.mArrival), 10 * VirtualClock.SECOND);
            }
        }
    }

    double served() {
        return mServed.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    double served(Rank rank) {
        return mServedByRank.getOrDefault(rank, 0.0);
    }

    double seconds() {
        return (double) (mTo - mFrom) / VirtualClock.SECOND;
    }

    static double cost(Generation generation) {
        return generation.mOutput + PROMPT_COST * generation.mItem.promptTokens();
    }

    static double p95Millis(Histogram histogram) {
        return histogram.getValueAtPercentile(95) / 1_000.0;
    }

    private Histogram firstTokenInSecond(long at) {
        return mUrgentFirstTokenBySecond.computeIfAbsent(
                at / VirtualClock.SECOND, second -> histogram());
    }

    private boolean isMeasured(long at) {
        return at >= mFrom && at < mTo;
    }

    private static boolean isRemote(FakeInstance instance, FakeEngine engine) {
        return instance.mLocation.distanceTo(engine.mInfo.location()) == Distance.OTHER_REGION;
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.clamp(nanos / MICRO, 0, MAX_MICROS));
    }

    private static Histogram histogram() {
        Histogram histogram = new Histogram(MAX_MICROS, 2);
        histogram.setAutoResize(true);
        return histogram;
    }
}
