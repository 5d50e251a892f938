package org.gentianwalk.server.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.placement.ModelDemand;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.server.pipeline.DecisionSink;
import org.jspecify.annotations.Nullable;

/**
 * Counts queued and running work, and measures the demand for output tokens by model and rank. A
 * finished generation counts with its tokens, refused work with the mean length of its model's
 * answers, since answers rarely reach the maximum length that callers allow.
 *
 * <p>All methods but {@link #queued} and {@link #running} must be called on the control thread.
 */
final class WorkCounter implements DecisionSink {
    /** Weight of the newest answer in the moving average of the length. */
    private static final double LENGTH_WEIGHT = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;

    private final DecisionSink mNext;
    private final Map<RequestKey, OpenWork> mOpenWork = new HashMap<>();
    private final Map<String, DemandTotal> mDemandTotals = new HashMap<>();
    private final Map<String, Double> mMeanLengths = new HashMap<>();
    private long mSinceNanos;
    private volatile int mQueued;
    private volatile int mRunning;

    /** Work that has not ended. */
    private record OpenWork(String model, boolean running) {}

    /** Demand in output tokens since the last report. */
    private static final class DemandTotal {
        double mUrgent;
        double mStandard;
    }

    WorkCounter(DecisionSink next, long nowNanos) {
        mNext = next;
        mSinceNanos = nowNanos;
    }

    int queued() {
        return mQueued;
    }

    int running() {
        return mRunning;
    }

    /** Returns the demand since the last call, and resets it. */
    List<ModelDemand> takeDemand(long nowNanos) {
        double seconds = Math.max(1, nowNanos - mSinceNanos) / NANOS_PER_SECOND;
        mSinceNanos = nowNanos;
        List<ModelDemand> demand = new ArrayList<>();
        mDemandTotals.forEach(
                (model, total) ->
                        demand.add(
                                new ModelDemand(
                                        model,
                                        total.mUrgent / seconds,
                                        total.mStandard / seconds)));
        mDemandTotals.clear();
        return demand;
    }

    @Override
    public void admitted(WorkItem item, long aheadTokens) {
        put(item.id(), new OpenWork(item.model(), false));
        mNext.admitted(item, aheadTokens);
    }

    @Override
    public void refused(WorkItem item, ServeError error) {
        remove(item.id());
        double length = mMeanLengths.getOrDefault(item.model(), 0.0);
        addDemand(item.model(), item.rank(), Math.min(length, item.maxTokens()));
        mNext.refused(item, error);
    }

    @Override
    public void routed(Decision.Start start, int position) {
        put(start.item().id(), new OpenWork(start.item().model(), true));
        mNext.routed(start, position);
    }

    @Override
    public void cancelled(Decision.Cancel cancel) {
        mNext.cancelled(cancel);
    }

    @Override
    public void lost(Lost lost) {
        OpenWork open = mOpenWork.get(lost.request());
        if (open != null) {
            put(lost.request(), new OpenWork(open.model(), false));
        }
        mNext.lost(lost);
    }

    @Override
    public void ended(Ended ended) {
        OpenWork open = remove(ended.request());
        if (open != null) {
            addDemand(open.model(), ended.rank(), ended.tokens());
            mMeanLengths.merge(
                    open.model(),
                    (double) ended.tokens(),
                    (previous, now) -> previous + LENGTH_WEIGHT * (now - previous));
        }
        mNext.ended(ended);
    }

    private void addDemand(String model, Rank rank, double tokens) {
        DemandTotal total = mDemandTotals.computeIfAbsent(model, name -> new DemandTotal());
        if (rank == Rank.URGENT) {
            total.mUrgent += tokens;
        } else {
            total.mStandard += tokens;
        }
    }

    private void put(RequestKey key, OpenWork open) {
        count(mOpenWork.put(key, open), -1);
        count(open, 1);
    }

    private @Nullable OpenWork remove(RequestKey key) {
        OpenWork open = mOpenWork.remove(key);
        count(open, -1);
        return open;
    }

    private void count(@Nullable OpenWork open, int change) {
        if (open == null) {
            return;
        }
        if (open.running()) {
            mRunning = mRunning + change;
        } else {
            mQueued = mQueued + change;
        }
    }
}
