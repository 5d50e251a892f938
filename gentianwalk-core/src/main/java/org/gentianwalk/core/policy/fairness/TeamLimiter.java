package org.gentianwalk.core.policy.fairness;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.ShareRules.Share;
import org.gentianwalk.core.policy.fairness.PolicyMessage.PoolLevel;
import org.gentianwalk.core.policy.fairness.PolicyMessage.TeamTotal;
import org.gentianwalk.core.policy.fairness.UsageMeter.Account;

/**
 * Limits heavy teams at one instance to weight × level × the instance's share of the team's total
 * demand. Teams that are not listed in the level's totals are not limited by it. A level expires
 * when it is not renewed for three periods; the instance's own fair queue then divides its
 * capacity.
 */
public final class TeamLimiter {
    private static final int LEVEL_LIFETIME_PERIODS = 3;
    private static final double BURST_SECONDS = 1;
    private static final double DEBT_SECONDS = 2;
    private static final double DEBT_TOKENS = 2_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private long mPeriodNanos;
    private final int mHeavyTeams;
    private final UsageMeter mMeter;
    private final Map<Account, Bucket> mBuckets = new HashMap<>();

    /** Upper bound, by rank, on the demand of any team that is not listed in the totals. */
    private final Map<Rank, Double> mMaxUnlistedDemand = new EnumMap<>(Rank.class);

    private double mUrgentLevel = Double.POSITIVE_INFINITY;
    private double mStandardLevel = Double.POSITIVE_INFINITY;
    private long mLevelReceivedAt;

    /**
     * Creates a limiter without a level.
     *
     * @param options period and number of heavy teams
     * @param meter demand at this instance
     */
    public TeamLimiter(PolicyOptions.Fairness options, UsageMeter meter) {
        mPeriodNanos = options.period().toNanos();
        mHeavyTeams = options.heavyTeams();
        mMeter = meter;
    }

    /**
     * Replaces the levels of the pool.
     *
     * @param level levels computed by the pool's home
     * @param nowNanos time of receipt
     */
    public void updateLevel(PoolLevel level, long nowNanos) {
        mUrgentLevel = level.urgentLevel();
        mStandardLevel = level.standardLevel();
        mLevelReceivedAt = nowNanos;
        Map<Account, Bucket> previous = new HashMap<>(mBuckets);
        mBuckets.clear();
        Map<Rank, Integer> listed = new EnumMap<>(Rank.class);
        mMaxUnlistedDemand.clear();
        for (TeamTotal total : level.totals()) {
            // Fewer listed teams than the limit mean that no other team is near its level.
            int count = listed.merge(total.rank(), 1, Integer::sum);
            mMaxUnlistedDemand.put(total.rank(), count < mHeavyTeams ? 0 : total.demand());
            Account account = new Account(total.team(), total.rank());
            Bucket bucket = previous.getOrDefault(account, new Bucket(nowNanos));
            bucket.mTotalDemand = total.demand();
            mBuckets.put(account, bucket);
        }
    }

    /**
     * Changes the interval between levels.
     *
     * @param nanos the interval, nanoseconds
     */
    public void updatePeriod(long nanos) {
        mPeriodNanos = nanos;
    }

    /**
     * Returns whether a level limits the standard work of the pool.
     *
     * @param nowNanos current time
     * @return true while a finite level is valid
     */
    public boolean isContended(long nowNanos) {
        return mStandardLevel != Double.POSITIVE_INFINITY
                && nowNanos - mLevelReceivedAt <= LEVEL_LIFETIME_PERIODS * mPeriodNanos;
    }

    /**
     * Compares a team's recent usage with its level and cap.
     *
     * @param account team and rank
     * @param share the team's weight and cap
     * @param nowNanos current time
     * @return the state that decides whether its work may start
     */
    public LimitState limitState(Account account, Share share, long nowNanos) {
        if (nowNanos - mLevelReceivedAt > LEVEL_LIFETIME_PERIODS * mPeriodNanos) {
            mUrgentLevel = Double.POSITIVE_INFINITY;
            mStandardLevel = Double.POSITIVE_INFINITY;
        }
        double level = account.rank() == Rank.URGENT ? mUrgentLevel : mStandardLevel;
        boolean contended = level != Double.POSITIVE_INFINITY;
        Bucket bucket = mBuckets.get(account);
        if (bucket == null) {
            if (share.cap() == Double.POSITIVE_INFINITY) {
                boolean light =
                        contended
                                && mMaxUnlistedDemand.getOrDefault(account.rank(), 0.0) <= level
                                && mMeter.demand(account, nowNanos) <= share.weight() * level;
                return light ? LimitState.LIGHT : LimitState.WITHIN;
            }
            bucket = new Bucket(nowNanos);
            mBuckets.put(account, bucket);
        }
        double instanceShare = instanceShare(account, bucket, nowNanos);
        bucket.refill(
                share.weight() * level * instanceShare, share.cap() * instanceShare, nowNanos);
        if (bucket.mCapTokens < 0) {
            return LimitState.ABOVE_CAP;
        }
        if (bucket.mTokens < 0) {
            return LimitState.ABOVE_LEVEL;
        }
        // The total may be outdated. A team whose demand has grown since then empties its bucket,
        // and then no longer counts as light.
        boolean light = contended && bucket.mTotalDemand < share.weight() * level;
        return light ? LimitState.LIGHT : LimitState.WITHIN;
    }

    /**
     * Charges started work, or corrects its estimate.
     *
     * @param account team and rank
     * @param tokens tokens
     */
    public void charge(Account account, double tokens) {
        Bucket bucket = mBuckets.get(account);
        if (bucket != null) {
            bucket.mTokens -= tokens;
            bucket.mCapTokens -= tokens;
        }
    }

    private double instanceShare(Account account, Bucket bucket, long nowNanos) {
        double own = mMeter.demand(account, nowNanos);
        return own <= 0 ? 1 : own / Math.max(own, bucket.mTotalDemand);
    }

    /** A team's usage relative to its level and cap. */
    public enum LimitState {
        /** The pool is contended and the team's demand is below its level. */
        LIGHT,
        /** The team is within its level; its work starts in the order of the fair queue. */
        WITHIN,
        /** The team has used up its level; its work starts only on otherwise unused capacity. */
        ABOVE_LEVEL,
        /** The team has used up its cap; its work waits. */
        ABOVE_CAP
    }

    /** Token buckets for the level and the cap of one team. */
    private static final class Bucket {
        double mTotalDemand;
        double mTokens;
        double mCapTokens;
        long mUpdated;

        Bucket(long nowNanos) {
            mUpdated = nowNanos;
        }

        void refill(double rate, double capRate, long nowNanos) {
            double seconds = (nowNanos - mUpdated) / NANOS_PER_SECOND;
            mUpdated = nowNanos;
            mTokens = refilled(mTokens, rate, seconds);
            mCapTokens = refilled(mCapTokens, capRate, seconds);
        }

        private static double refilled(double tokens, double rate, double seconds) {
            if (rate == Double.POSITIVE_INFINITY) {
                return 0;
            }
            // The debt is bounded so that a team that used idle capacity is not held back for long.
            // The bound must cover several requests; otherwise each request of a team with a low
            // rate would be partly free.
            double bound = rate * BURST_SECONDS;
            double debt = Math.max(DEBT_TOKENS, rate * DEBT_SECONDS);
            return Math.max(-debt, Math.min(bound, tokens + rate * seconds));
        }
    }
}
