package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.model.Location.Distance;
import org.jspecify.annotations.Nullable;

/**
 * Assigns short calls to the upstreams of a plain service. A call is sent immediately and never
 * queued in the instance, since the wait in an upstream's own queue is shorter than a round trip
 * between instances.
 */
public final class CallScheduler implements WorkScheduler {
    /** Maximum number of attempts for a call that no upstream has executed. */
    private static final int MAX_UNEXECUTED_ATTEMPTS = 4;

    /**
     * Retry-after while no upstream is usable; covers the time until a lost one is listed again.
     */
    private static final Duration NO_UPSTREAM_RETRY = Duration.ofMillis(500);

    /** Retry-after when all upstreams tried were full. */
    private static final Duration FULL_RETRY = Duration.ofMillis(150);

    /** Round trip time between availability zones of a region, milliseconds. */
    private static final double ZONE_ROUND_TRIP_MILLIS = 3;

    /** Round trip time between regions, milliseconds. */
    private static final double REGION_ROUND_TRIP_MILLIS = 25;

    /**
     * Cost of a full upstream as a fraction of a call's duration; spreads load before queues form.
     */
    private static final double SPREAD_FRACTION = 0.3;

    /** Time over which a load reported by an upstream decays linearly to zero. */
    private static final long REPORTED_LOAD_NANOS = Duration.ofMillis(500).toNanos();

    /** Cost of an upstream that has not answered since its last failure, milliseconds. */
    private static final double FAILURE_COST_MILLIS = 100;

    /** Cost of an upstream in backoff, or already tried for the call, milliseconds. */
    private static final double LAST_RESORT_COST_MILLIS = 10_000;

    private static final double TIE_MILLIS = 0.5;

    private final LocationMap mLocations;
    private final FleetRetryBudget mRetries;
    private final UpstreamLimits mLimits;
    private final RandomGenerator mRandom;
    private final Map<String, Target> mTargets = new LinkedHashMap<>();
    private final Map<Long, Call> mCalls = new HashMap<>();
    private List<Decision> mDecisions = new ArrayList<>();
    private final CallDuration mDuration = new CallDuration();
    private @Nullable Long mStopsAt;

    /**
     * Creates a scheduler without upstreams.
     *
     * @param locations distances from this instance
     * @param retries retry budget of the service
     * @param limits limits stated by upstreams
     * @param random source of randomness for breaking ties
     */
    public CallScheduler(
            LocationMap locations,
            FleetRetryBudget retries,
            UpstreamLimits limits,
            RandomGenerator random) {
        mLocations = locations;
        mRetries = retries;
        mLimits = limits;
        mRandom = random;
    }

    @Override
    public void replaceUpstreams(Collection<Upstream> upstreams, long nowNanos) {
        Set<String> listed = new HashSet<>();
        for (Upstream upstream : upstreams) {
            listed.add(upstream.id());
            Target known = mTargets.get(upstream.id());
            if (known != null && known.mUpstream.isSameProcess(upstream)) {
                known.mUpstream = upstream;
            } else {
                mTargets.put(upstream.id(), new Target(upstream));
            }
        }
        mTargets.keySet().retainAll(listed);
    }

    @Override
    public void offer(Work work, long nowNanos) {
        mRetries.recordRequest(nowNanos);
        Call call = new Call(work);
        mCalls.put(work.id(), call);
        start(call, nowNanos);
    }

    @Override
    public void recordProgress(long work, int attempt, Progress progress) {
        // A plain call has no output before its answer.
    }

    @Override
    public void recordLoad(long work, UpstreamLoad load, long nowNanos) {
        Call call = mCalls.get(work);
        if (call == null || call.mTarget == null) {
            return;
        }
        Target target = call.mTarget;
        target.mPeerRequests = Math.max(0, load.running() + load.waiting() - target.mRunning);
        target.mReportedAt = nowNanos;
    }

    @Override
    public void recordAttemptEnd(long work, int attempt, AttemptEnd end, long nowNanos) {
        Call call = mCalls.get(work);
        if (call == null || call.mAttempt != attempt || call.mTarget == null) {
            return;
        }
        Target target = call.mTarget;
        target.mRunning--;
        call.mTarget = null;
        switch (end) {
            case SUCCEEDED, ANSWERED_ERROR, REJECTED -> target.mReachability.recordSuccess();
            case UNREACHABLE, NOT_LISTENING, RESET, CRASHED, LOST, SILENT ->
                    target.mReachability.recordFailure(nowNanos);
            default -> target.mEnded = true;
        }
        if (end == AttemptEnd.SUCCEEDED) {
            mDuration.record(nowNanos - call.mStartedAt);
            mCalls.remove(work);
        } else if (end.isNotExecuted()) {
            handleNotExecuted(call, end, nowNanos);
        } else {
            handleExecuted(call, end, nowNanos);
        }
    }

    @Override
    public void remove(long work, long nowNanos) {
        Call call = mCalls.remove(work);
        if (call != null && call.mTarget != null) {
            call.mTarget.mRunning--;
        }
    }

    @Override
    public void stopAt(long nanos) {
        mStopsAt = nanos;
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        if (mStopsAt != null && nowNanos - mStopsAt >= 0) {
            List.copyOf(mCalls.values()).forEach(call -> finishStopping(call, nowNanos));
        }
        List<Call> expired = new ArrayList<>();
        for (Call call : mCalls.values()) {
            if (nowNanos - call.mWork.deadlineNanos() >= 0) {
                expired.add(call);
            }
        }
        for (Call call : expired) {
            Ending ending = call.mTarget == null ? Ending.REFUSED : Ending.TIMED_OUT;
            if (call.mTarget != null) {
                call.mTarget.mReachability.recordFailure(nowNanos);
            }
            finish(call, ending, Duration.ZERO, "deadline exceeded", nowNanos);
        }
        List<Decision> decisions = mDecisions;
        mDecisions = new ArrayList<>();
        return decisions;
    }

    private void handleNotExecuted(Call call, AttemptEnd end, long nowNanos) {
        call.mUnexecutedAttempts++;
        boolean retry = call.mUnexecutedAttempts < MAX_UNEXECUTED_ATTEMPTS;
        if (!end.isNotSent()) {
            // The upstream received the request, so another attempt adds load to the service.
            retry = retry && mRetries.tryRetry(nowNanos);
        }
        if (retry && start(call, nowNanos)) {
            return;
        }
        if (!retry) {
            Ending ending = call.mExecutions == 0 ? Ending.REFUSED : Ending.UNKNOWN;
            finish(call, ending, FULL_RETRY, "no upstream has capacity for the call", nowNanos);
        }
    }

    private void handleExecuted(Call call, AttemptEnd end, long nowNanos) {
        call.mExecutions++;
        boolean answered = end == AttemptEnd.ANSWERED_ERROR;
        boolean retry =
                call.mWork.kind().isRepeatable()
                        && call.mExecutions < call.mWork.maxAttempts()
                        && hasUntriedTarget(call, nowNanos)
                        && mRetries.tryRetry(nowNanos);
        if (retry) {
            start(call, nowNanos);
            return;
        }
        Ending ending = answered ? Ending.UPSTREAM_ERROR : Ending.UNKNOWN;
        String reason = answered ? "upstream answered with an error" : "upstream lost or timed out";
        finish(call, ending, Duration.ZERO, reason, nowNanos);
    }

    private boolean hasUntriedTarget(Call call, long nowNanos) {
        Target best = chooseTarget(call, nowNanos);
        return best != null && !call.mTried.contains(best.mUpstream.id());
    }

    /**
     * Starts an attempt, or finishes the call when no upstream is usable.
     *
     * @return whether an attempt was started
     */
    private boolean start(Call call, long nowNanos) {
        if (!canFinish(call, nowNanos)) {
            finishStopping(call, nowNanos);
            return false;
        }
        Target target = chooseTarget(call, nowNanos);
        if (target == null) {
            Ending ending = call.mExecutions == 0 ? Ending.REFUSED : Ending.UNKNOWN;
            Duration limitWait = shortestLimitWait(nowNanos);
            if (limitWait == null) {
                finish(call, ending, NO_UPSTREAM_RETRY, "no usable upstream", nowNanos);
            } else {
                finish(call, ending, limitWait, "all upstreams are at their limits", nowNanos);
            }
            return false;
        }
        call.mAttempt++;
        call.mTarget = target;
        call.mStartedAt = nowNanos;
        call.mTried.add(target.mUpstream.id());
        target.mRunning++;
        mLimits.recordSent(target.mUpstream, nowNanos);
        mDecisions.add(
                new Decision.Start(
                        call.mWork,
                        call.mAttempt,
                        target.mUpstream,
                        -1,
                        null,
                        null,
                        null,
                        "least expected time"));
        return true;
    }

    /** Returns whether a call that is sent now will have its answer before the instance stops. */
    private boolean canFinish(Call call, long nowNanos) {
        if (mStopsAt == null) {
            return true;
        }
        long longest = Math.min(mDuration.boundNanos(), call.mWork.deadlineNanos() - nowNanos);
        return mStopsAt - nowNanos >= longest;
    }

    private void finishStopping(Call call, long nowNanos) {
        boolean notExecuted = call.mTarget == null && call.mExecutions == 0;
        finish(
                call,
                notExecuted ? Ending.REFUSED : Ending.UNKNOWN,
                STOPPING_RETRY,
                "the instance is stopping",
                nowNanos);
    }

    private @Nullable Target chooseTarget(Call call, long nowNanos) {
        Target best = null;
        double bestCost = 0;
        for (Target target : mTargets.values()) {
            if (!target.isUsable() || !mLimits.isPermitted(target.mUpstream, nowNanos)) {
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

    /**
     * Returns the time until an upstream may get another call, or null when none is usable. Other
     * instances may still have a part of the limits, so a retry need not wait for this one's.
     */
    private @Nullable Duration shortestLimitWait(long nowNanos) {
        Duration shortest = null;
        for (Target target : mTargets.values()) {
            if (!target.isUsable()) {
                continue;
            }
            OptionalLong wait = mLimits.waitNanos(target.mUpstream, nowNanos);
            Duration retry = wait.isEmpty() ? FULL_RETRY : Duration.ofNanos(wait.getAsLong());
            if (shortest == null || retry.compareTo(shortest) < 0) {
                shortest = retry;
            }
        }
        return shortest == null || shortest.compareTo(FULL_RETRY) > 0 ? shortest : FULL_RETRY;
    }

    /** Returns the expected wait of a call on top of its own duration, milliseconds. */
    private double cost(Target target, Call call, long nowNanos) {
        int slots = target.mUpstream.slots();
        double load = target.mRunning + target.peerRequests(nowNanos);
        double callMillis = mDuration.meanMillis();
        double wait = Math.max(0, load + 1 - slots) / slots * callMillis;
        double cost = wait + SPREAD_FRACTION * callMillis * load / slots;
        cost += roundTripMillis(mLocations.distance(target.mUpstream.zone()));
        cost += TIE_MILLIS * mRandom.nextDouble();
        if (target.mReachability.isFailing()) {
            cost += FAILURE_COST_MILLIS;
        }
        if (target.mReachability.isBackingOff(nowNanos)) {
            cost += LAST_RESORT_COST_MILLIS;
        }
        if (call.mTried.contains(target.mUpstream.id())) {
            cost += LAST_RESORT_COST_MILLIS;
        }
        return cost;
    }

    private static double roundTripMillis(Distance distance) {
        return switch (distance) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> ZONE_ROUND_TRIP_MILLIS;
            case OTHER_REGION -> REGION_ROUND_TRIP_MILLIS;
        };
    }

    private void finish(
            Call call, Ending ending, Duration retryAfter, String reason, long nowNanos) {
        mDecisions.add(new Decision.Finish(call.mWork, ending, retryAfter, reason));
        remove(call.mWork.id(), nowNanos);
    }

    /** State of an upstream. */
    private static final class Target {
        Upstream mUpstream;
        int mRunning;
        int mPeerRequests;
        long mReportedAt;

        /** Whether the process has ended although it is still listed. */
        boolean mEnded;

        final Reachability mReachability = new Reachability();

        Target(Upstream upstream) {
            mUpstream = upstream;
        }

        boolean isUsable() {
            return !mEnded && !mUpstream.draining();
        }

        /** Returns the estimated number of requests from other instances. */
        double peerRequests(long nowNanos) {
            double left = 1 - (double) (nowNanos - mReportedAt) / REPORTED_LOAD_NANOS;
            return mPeerRequests * Math.max(0, left);
        }
    }

    /** State of a call. */
    private static final class Call {
        final Work mWork;
        final Set<String> mTried = new HashSet<>();
        int mAttempt;
        long mStartedAt;
        int mUnexecutedAttempts;
        int mExecutions;
        @Nullable Target mTarget;

        Call(Work work) {
            mWork = work;
        }
    }
}
