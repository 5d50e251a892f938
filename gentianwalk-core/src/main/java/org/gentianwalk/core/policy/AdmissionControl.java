package org.gentianwalk.core.policy;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.admission.CostEstimator;
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;
import org.jspecify.annotations.Nullable;

/** Admission control: decides whether offered work is queued or refused. */
final class AdmissionControl {
    private static final double NANOS = 1e9;

    private final PolicyOptions mOptions;
    private final SuspectTable mSuspects;
    private final CostEstimator mCosts;
    private final PeerExchange mPeers;

    AdmissionControl(
            PolicyOptions options, SuspectTable suspects, CostEstimator costs, PeerExchange peers) {
        mOptions = options;
        mSuspects = suspects;
        mCosts = costs;
        mPeers = peers;
    }

    /**
     * Returns the error for a convicted request and for work that could not meet its deadline even
     * on an idle engine, or null when the work may be queued.
     */
    @Nullable ServeError refusal(Pool pool, ScheduledWork work, long nowNanos) {
        WorkItem item = work.mItem;
        if (mSuspects.verdict(item.fingerprint(), nowNanos) == Verdict.CONVICTED) {
            return Refusals.convicted(work);
        }
        if (item.deadlineNanos() != WorkItem.NO_DEADLINE && !pool.mEngines.isEmpty()) {
            UpstreamInfo engine = pool.mEngines.getFirst().info();
            double seconds =
                    item.promptTokens() / engine.prefillTokensPerSecond()
                            + mCosts.estimateOutput(item) / engine.tokensPerSecond();
            if (nowNanos + (long) (seconds * NANOS) > item.deadlineNanos()) {
                return Refusals.deadline(work);
            }
        }
        return null;
    }

    /**
     * Removes and returns the work by which the queue exceeds its bound after an addition. The
     * bound is the work that drains within the queue timeout.
     */
    List<ScheduledWork> removeExcess(Pool pool, ScheduledWork added, long nowNanos) {
        double seconds = mOptions.admission().queueTimeout().toNanos() / NANOS;
        double drain = pool.drainPerSecond(mPeers.regionMembers().size(), nowNanos);
        double bound = Math.max(added.mEstimate, drain * seconds);
        List<ScheduledWork> removed = new ArrayList<>();
        ScheduledWork excess = pool.mQueue.dropCandidate(added.mItem.rank(), bound);
        while (excess != null) {
            pool.mQueue.remove(excess);
            removed.add(excess);
            if (excess == added) {
                return removed;
            }
            excess = pool.mQueue.dropCandidate(added.mItem.rank(), bound);
        }
        return removed;
    }
}
