package org.gentianwalk.core.policy;

import java.util.List;
import java.util.Set;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.policy.admission.DecayingRate;
import org.gentianwalk.core.policy.admission.RankShare;
import org.gentianwalk.core.policy.fairness.PoolKey;
import org.gentianwalk.core.policy.fairness.TeamLimiter;
import org.gentianwalk.core.policy.fairness.UsageMeter;
import org.gentianwalk.core.policy.routing.EngineState;

/** State of one model's engines at one instance: queue, demand, limits and drain rate. */
final class Pool {
    private static final long RATE_WINDOW_NANOS = 5_000_000_000L;
    private static final long SHARE_HALF_LIFE_NANOS = 5_000_000_000L;

    /** Time for which slots stay reserved for urgent work after its last arrival. */
    private static final long URGENT_RESERVE_NANOS = 10_000_000_000L;

    /** Lower bound of the drain rate, relative to an equal share of the pool's capacity. */
    private static final double MIN_DRAIN_SHARE = 0.5;

    final PoolKey mKey;
    final PoolQueue mQueue = new PoolQueue();
    final RankShare mRankShare;
    final UsageMeter mMeter;
    final TeamLimiter mLimiter;
    final DecayingRate mDrain;
    List<EngineState> mEngines = List.of();
    Set<String> mSuspectEngines = Set.of();

    /**
     * Nominal capacity of the whole pool in the region, including engines outside of the subset,
     * tokens per second.
     */
    double mCapacity;

    /** Average number of instances that use the same engine. */
    int mSharers = 1;

    private long mLastUrgentAt;
    private boolean mHadUrgent;

    Pool(PoolKey key, PolicyOptions options, String instance, long nowNanos) {
        mKey = key;
        mRankShare = new RankShare(options.admission().standardShare(), SHARE_HALF_LIFE_NANOS);
        mMeter = new UsageMeter(key, instance, options.fairness().window().toNanos());
        mLimiter = new TeamLimiter(options.fairness(), mMeter);
        mDrain = new DecayingRate(RATE_WINDOW_NANOS, nowNanos);
    }

    void recordOffer(ScheduledWork work, long nowNanos) {
        mMeter.recordDemand(work.mAccount, work.mShare.weight(), work.mEstimate, nowNanos);
        if (work.isUrgent()) {
            mLastUrgentAt = nowNanos;
            mHadUrgent = true;
        }
    }

    boolean isUrgentActive(long nowNanos) {
        return mHadUrgent && nowNanos - mLastUrgentAt < URGENT_RESERVE_NANOS;
    }

    /** Charges work that starts, or corrects an earlier charge. */
    void charge(ScheduledWork work, double tokens, boolean start, long nowNanos) {
        String team = work.mItem.team();
        Rank rank = work.mItem.rank();
        double weight = work.mShare.weight();
        if (start) {
            mQueue.newWork(rank).charge(team, weight, tokens);
        } else {
            mQueue.newWork(rank).adjustCharge(team, weight, tokens);
        }
        mRankShare.recordStarted(rank, tokens, nowNanos);
        mMeter.recordServed(work.mAccount, tokens, nowNanos);
        mLimiter.charge(work.mAccount, tokens);
        mDrain.add(tokens, nowNanos);
    }

    /** Returns the rate at which this instance's queue drains, tokens per second. */
    double drainPerSecond(int members, long nowNanos) {
        double equalShare = mCapacity / Math.max(1, members);
        return Math.max(MIN_DRAIN_SHARE * equalShare, mDrain.perSecond(nowNanos));
    }

    /** Returns the number of engines of this instance's own region that it uses. */
    double regionEngineCount() {
        int near = 0;
        for (EngineState engine : mEngines) {
            near += engine.distance() == Distance.OTHER_REGION ? 0 : 1;
        }
        return near;
    }
}
