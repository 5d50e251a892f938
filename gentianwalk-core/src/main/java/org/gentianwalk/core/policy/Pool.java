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
    private static final long URGENT_MEMORY_NANOS = 10_000_000_000L;

    /** Lower bound of the drain rate, relative to an equal share of the pool's capacity. */
    private static final double LEAST_DRAIN_PART = 0.5;

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

    private long mLastUrgent;
    private boolean mHadUrgent;

    Pool(PoolKey key, PolicyOptions options, String instance, long nowNanos) {
        mKey = key;
        mRankShare = new RankShare(options.admission().standardShare(), SHARE_HALF_LIFE_NANOS);
        mMeter = new UsageMeter(key, instance, options.fairness().window().toNanos());
        mLimiter = new TeamLimiter(options.fairness(), mMeter);
        mDrain = new DecayingRate(RATE_WINDOW_NANOS, nowNanos);
    }

    void offered(Work work, long nowNanos) {
        mMeter.demand(work.mAccount, work.mShare.weight(), work.mEstimate, nowNanos);
        if (work.isUrgent()) {
            mLastUrgent = nowNanos;
            mHadUrgent = true;
        }
    }

    boolean isUrgentActive(long nowNanos) {
        return mHadUrgent && nowNanos - mLastUrgent < URGENT_MEMORY_NANOS;
    }

    /** Charges work that starts, or corrects an earlier charge. */
    void charge(Work work, double tokens, boolean start, long nowNanos) {
        String team = work.mItem.team();
        Rank rank = work.mItem.rank();
        double weight = work.mShare.weight();
        if (start) {
            mQueue.fresh(rank).started(team, weight, tokens);
        } else {
            mQueue.fresh(rank).correct(team, weight, tokens);
        }
        mRankShare.started(rank, tokens, nowNanos);
        mMeter.served(work.mAccount, tokens, nowNanos);
        mLimiter.charge(work.mAccount, tokens);
        mDrain.add(tokens, nowNanos);
    }

    /** Returns the rate at which this instance's queue drains, tokens per second. */
    double drainPerSecond(int members, long nowNanos) {
        double part = mCapacity / Math.max(1, members);
        return Math.max(LEAST_DRAIN_PART * part, mDrain.perSecond(nowNanos));
    }

    /** Returns the number of engines of this instance's own region that it uses. */
    double nearEngines() {
        int near = 0;
        for (EngineState engine : mEngines) {
            near += engine.distance() == Distance.OTHER_REGION ? 0 : 1;
        }
        return near;
    }
}
