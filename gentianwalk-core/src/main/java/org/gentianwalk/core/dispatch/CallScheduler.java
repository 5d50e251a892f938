package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.model.Location.Distance;
import org.jspecify.annotations.Nullable;

/**
 * Places short calls on the upstreams of a plain service. A call starts at once; it never waits in
 * the instance, since an upstream's own queue is shorter than a round trip between instances.
 */
public final class CallScheduler implements WorkScheduler {
    /** Upstreams tried for a call that none of them has run. */
    private static final int MAX_UNRUN_TRIES = 4;

    /** When a caller may come back while no upstream can be used; a lost one is listed again. */
    private static final Duration NO_UPSTREAM_RETRY = Duration.ofMillis(500);

    /** When a caller may come back after every upstream was full. */
    private static final Duration FULL_RETRY = Duration.ofMillis(150);

    /** Load, in parts of an upstream's slots, that a longer path is worth. */
    private static final double REGION_COST = 1.0;

    private static final double ZONE_COST = 0.3;

    /** Load that an upstream counts as having after a failure, until it has answered. */
    private static final double DOUBT_COST = 2.0;

    private static final double TIE_COST = 0.01;

    private final LocationMap mLocations;
    private final RetryAllowance mRetries;
    private final RandomGenerator mRandom;
    private final Map<String, Target> mTargets = new LinkedHashMap<>();
    private final Map<Long, Call> mCalls = new HashMap<>();
    private List<Decision> mDue = new ArrayList<>();

    /**
     * Creates a scheduler without upstreams.
     *
     * @param locations distances from this instance
     * @param retries bound on further attempts
     * @param random breaks ties
     */
    public CallScheduler(LocationMap locations, RetryAllowance retries, RandomGenerator random) {
        mLocations = locations;
        mRetries = retries;
        mRandom = random;
    }

    @Override
    public void upstreams(Collection<Upstream> upstreams, long nowNanos) {
        Set<String> listed = new HashSet<>();
        for (Upstream upstream : upstreams) {
            listed.add(upstream.id());
            Target known = mTargets.get(upstream.id());
            if (known != null && known.mUpstream.isSameRun(upstream)) {
                known.mUpstream = upstream;
            } else {
                mTargets.put(upstream.id(), new Target(upstream));
            }
        }
        mTargets.keySet().retainAll(listed);
    }

    @Override
    public void offer(Work work, long nowNanos) {
        mRetries.requested(nowNanos);
        Call call = new Call(work);
        mCalls.put(work.id(), call);
        start(call, nowNanos);
    }

    @Override
    public void progress(long work, int attempt, Progress progress) {
        // A call has no output before its answer.
    }

    @Override
    public void attemptEnded(long work, int attempt, AttemptEnd end, long nowNanos) {
        Call call = mCalls.get(work);
        if (call == null || call.mAttempt != attempt || call.mTarget == null) {
            return;
        }
        Target target = call.mTarget;
        target.mRunning--;
        call.mTarget = null;
        switch (end) {
            case SUCCEEDED, ANSWERED_ERROR, REJECTED -> target.mReachability.succeeded();
            case UNREACHABLE, RESET, LOST -> target.mReachability.failed(nowNanos);
            default -> mTargets.remove(target.mUpstream.id(), target);
        }
        if (end == AttemptEnd.SUCCEEDED) {
            mCalls.remove(work);
        } else if (end.isNotRun()) {
            afterUnrun(call, end, nowNanos);
        } else {
            afterRun(call, end, nowNanos);
        }
    }

    @Override
    public void withdrawn(long work, long nowNanos) {
        Call call = mCalls.remove(work);
        if (call != null && call.mTarget != null) {
            call.mTarget.mRunning--;
        }
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        List<Call> late = new ArrayList<>();
        for (Call call : mCalls.values()) {
            if (nowNanos - call.mWork.deadlineNanos() >= 0) {
                late.add(call);
            }
        }
        for (Call call : late) {
            Ending ending = call.mTarget == null ? Ending.REFUSED : Ending.TIMED_OUT;
            if (call.mTarget != null) {
                call.mTarget.mReachability.failed(nowNanos);
            }
            finish(call, ending, Duration.ZERO, "the time for the request is over", nowNanos);
        }
        List<Decision> due = mDue;
        mDue = new ArrayList<>();
        return due;
    }

    private void afterUnrun(Call call, AttemptEnd end, long nowNanos) {
        call.mUnrun++;
        boolean further = call.mUnrun < MAX_UNRUN_TRIES;
        if (end != AttemptEnd.UNREACHABLE) {
            // The upstream has received the request, so sending it again is a further arrival.
            further = further && mRetries.tryRetry(nowNanos);
        }
        if (further && start(call, nowNanos)) {
            return;
        }
        if (!further) {
            Ending ending = call.mRan == 0 ? Ending.REFUSED : Ending.UNKNOWN;
            finish(call, ending, FULL_RETRY, "no upstream has room for the call", nowNanos);
        }
    }

    private void afterRun(Call call, AttemptEnd end, long nowNanos) {
        call.mRan++;
        boolean answered = end == AttemptEnd.ANSWERED_ERROR;
        boolean further =
                call.mWork.kind().isRepeatable()
                        && call.mRan < call.mWork.maxAttempts()
                        && hasOther(call, nowNanos)
                        && mRetries.tryRetry(nowNanos);
        if (further) {
            start(call, nowNanos);
            return;
        }
        Ending ending = answered ? Ending.UPSTREAM_ERROR : Ending.UNKNOWN;
        String reason = answered ? "the upstream answered with an error" : "the upstream was lost";
        finish(call, ending, Duration.ZERO, reason, nowNanos);
    }

    private boolean hasOther(Call call, long nowNanos) {
        Target best = choose(call, nowNanos);
        return best != null && !call.mTried.contains(best.mUpstream.id());
    }

    /**
     * Starts an attempt, or finishes the call when there is no upstream; returns whether started.
     */
    private boolean start(Call call, long nowNanos) {
        Target target = choose(call, nowNanos);
        if (target == null) {
            Ending ending = call.mRan == 0 ? Ending.REFUSED : Ending.UNKNOWN;
            finish(call, ending, NO_UPSTREAM_RETRY, "no upstream can be used", nowNanos);
            return false;
        }
        call.mAttempt++;
        call.mTarget = target;
        call.mTried.add(target.mUpstream.id());
        target.mRunning++;
        mDue.add(
                new Decision.Start(
                        call.mWork,
                        call.mAttempt,
                        target.mUpstream,
                        -1,
                        null,
                        null,
                        "lowest load"));
        return true;
    }

    private @Nullable Target choose(Call call, long nowNanos) {
        Target best = null;
        double bestCost = 0;
        for (Target target : mTargets.values()) {
            if (target.mUpstream.draining()) {
                continue;
            }
            double cost = cost(target, call, nowNanos);
            if (best == null || cost < bestCost) {
                best = target;
                bestCost = cost;
            }
        }
        return best;
    }

    private double cost(Target target, Call call, long nowNanos) {
        double cost = (double) target.mRunning / target.mUpstream.slots();
        cost += distanceCost(mLocations.distance(target.mUpstream.zone()));
        cost += TIE_COST * mRandom.nextDouble();
        if (target.mReachability.isResting(nowNanos)) {
            // Used only when all others rest as well.
            cost += 10 * DOUBT_COST;
        } else if (target.mReachability.isDoubtful()) {
            cost += DOUBT_COST;
        }
        if (call.mTried.contains(target.mUpstream.id())) {
            cost += 100 * DOUBT_COST;
        }
        return cost;
    }

    private static double distanceCost(Distance distance) {
        return switch (distance) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> ZONE_COST;
            case OTHER_REGION -> REGION_COST;
        };
    }

    private void finish(
            Call call, Ending ending, Duration retryAfter, String reason, long nowNanos) {
        mDue.add(new Decision.Finish(call.mWork, ending, retryAfter, reason));
        withdrawn(call.mWork.id(), nowNanos);
    }

    /** State of an upstream. */
    private static final class Target {
        Upstream mUpstream;
        int mRunning;
        final Reachability mReachability = new Reachability();

        Target(Upstream upstream) {
            mUpstream = upstream;
        }
    }

    /** State of a call. */
    private static final class Call {
        final Work mWork;
        final Set<String> mTried = new HashSet<>();
        int mAttempt;
        int mUnrun;
        int mRan;
        @Nullable Target mTarget;

        Call(Work work) {
            mWork = work;
        }
    }
}
