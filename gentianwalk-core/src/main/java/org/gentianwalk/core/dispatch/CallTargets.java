package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.PlacementPolicy.Candidate;
import org.gentianwalk.core.model.Location.Distance;
import org.jspecify.annotations.Nullable;

/** The upstreams of a plain service, and which one of them a call is sent to. */
final class CallTargets {
    /** Retry-after when all upstreams tried were full. */
    static final Duration FULL_RETRY = Duration.ofMillis(150);

    private static final double TIE_MILLIS = 0.5;

    /** Time for which a process is remembered whose entry has left the list. */
    private static final long UNLISTED_NANOS = Duration.ofSeconds(10).toNanos();

    private final LocationMap mLocations;
    private final UpstreamLimits mLimits;
    private final RandomGenerator mRandom;
    private final Map<String, CallTarget> mTargets = new LinkedHashMap<>();

    /** Processes whose entries have left the list lately. */
    private final Map<String, CallTarget> mUnlisted = new HashMap<>();

    private final CallDuration mDuration = new CallDuration();
    private final CallFaults mFaults;
    private final PlacementPolicy mPlacement;
    private VersionGate mGate = VersionGate.OPEN;
    private @Nullable Long mStopsAt;

    CallTargets(
            LocationMap locations,
            UpstreamLimits limits,
            PlacementPolicy placement,
            RandomGenerator random) {
        mPlacement = placement;
        mLocations = locations;
        mLimits = limits;
        mRandom = random;
        mFaults = new CallFaults(random);
    }

    /**
     * Replaces the listed upstreams; what is known of processes that remain listed, or come back
     * soon, is kept.
     */
    void replace(Collection<Upstream> upstreams, long nowNanos) {
        mUnlisted.values().removeIf(target -> target.isUnlistedSince(nowNanos - UNLISTED_NANOS));
        Map<String, CallTarget> before = new HashMap<>(mUnlisted);
        before.putAll(mTargets);
        Map<String, Long> newest = new HashMap<>();
        upstreams.forEach(
                upstream -> newest.merge(upstream.address(), upstream.incarnation(), Math::max));
        mTargets.clear();
        for (Upstream upstream : upstreams) {
            CallTarget known = before.get(upstream.id());
            if (known != null && known.upstream().isSameProcess(upstream)) {
                known.upstream(upstream);
                known.markListed();
                known.recordSuccessor(
                        newest.getOrDefault(upstream.address(), upstream.incarnation()));
                before.remove(upstream.id());
                mTargets.put(upstream.id(), known);
            } else {
                mTargets.put(upstream.id(), new CallTarget(upstream, nowNanos));
            }
        }
        for (CallTarget target : before.values()) {
            String id = target.upstream().id();
            if (mTargets.containsKey(id)) {
                target.markReplaced();
                mUnlisted.remove(id);
            } else if (mUnlisted.put(id, target) != target) {
                target.markUnlisted(nowNanos);
            }
        }
        mUnlisted.keySet().removeAll(mTargets.keySet());
    }

    /** Sets which versions of upstreams may get a call. */
    void versionGate(VersionGate gate) {
        mGate = gate;
    }

    /** Sets the time at which the instance stops. */
    void stopAt(long nanos) {
        mStopsAt = nanos;
    }

    /** Records the duration of a call that was answered. */
    void recordDuration(CallTarget target, long nanos) {
        mDuration.record(nanos);
        target.recordDuration(nanos, mLocations.distance(target.upstream().zone()));
    }

    /** Returns the time without an answer from which a call is overdue, nanoseconds. */
    long overdueNanos() {
        return mDuration.overdueNanos();
    }

    /** Returns the time within which most calls are answered, nanoseconds. */
    long usualNanos() {
        return mDuration.usualNanos();
    }

    /** Returns whether a call that is sent now will have its answer before the instance stops. */
    boolean canFinish(CallRun call, long nowNanos) {
        return canFinish(call, mDuration.boundNanos(), nowNanos);
    }

    private boolean canFinish(CallRun call, long boundNanos, long nowNanos) {
        if (mStopsAt == null) {
            return true;
        }
        long longest = Math.min(boundNanos, call.work().deadlineNanos() - nowNanos);
        return mStopsAt - nowNanos >= longest;
    }

    /**
     * Returns whether a call that is sent to an upstream now will have its answer before the
     * instance stops. A call in progress there that exceeds the usual bound shows that the upstream
     * has become slow, before any answer does; on average, half of such a call's duration has
     * passed.
     */
    boolean canFinishAt(CallTarget target, CallRun call, long nowNanos) {
        long bound = mDuration.boundNanos();
        long oldest = nowNanos - target.oldestStart(nowNanos);
        return canFinish(call, oldest > bound ? 2 * oldest : bound, nowNanos);
    }

    /** Returns the upstream for a call that has not run, or null when none is usable. */
    @Nullable CallTarget choose(CallRun call, long nowNanos) {
        return choose(call, target -> true, nowNanos);
    }

    /**
     * Returns the upstream for a call that may have been executed, or null while there is none: one
     * that it has not reached if possible, or one that may have recovered since. One at which it
     * has failed more than once gets no further attempt while another one is about to be usable.
     */
    @Nullable CallTarget chooseForRepeat(CallRun call, long nowNanos) {
        boolean isOtherAwaited =
                mTargets.values().stream().anyMatch(target -> isAwaited(target, call, nowNanos));
        return choose(
                call,
                target ->
                        call.mayReach(target, nowNanos)
                                && !target.isBackingOff(nowNanos)
                                && !(isOtherAwaited && call.hasFailedAgainAt(target)),
                nowNanos);
    }

    /** Returns whether a call can reach an upstream for the first time before its deadline. */
    private boolean isAwaited(CallTarget target, CallRun call, long nowNanos) {
        long usableAt = nowNanos + target.backoffNanos(nowNanos);
        return target.isUsable()
                && !call.hasReached(target)
                && usableAt + mDuration.usualNanos() - call.work().deadlineNanos() < 0
                && mGate.isPermitted(call.work(), target.upstream(), nowNanos)
                && mLimits.isPermitted(target.upstream(), nowNanos);
    }

    private @Nullable CallTarget choose(
            CallRun call, Predicate<CallTarget> isEligible, long nowNanos) {
        VersionGate preferred = mGate.preferred(call.work(), nowNanos);
        CallTarget target = choose(call, isEligible, preferred, nowNanos);
        return target != null || preferred == mGate
                ? target
                : choose(call, isEligible, mGate, nowNanos);
    }

    private @Nullable CallTarget choose(
            CallRun call, Predicate<CallTarget> isEligible, VersionGate gate, long nowNanos) {
        List<CallTarget> eligible = new ArrayList<>();
        List<Candidate> candidates = new ArrayList<>();
        Map<CallTarget, Double> faultCosts =
                mFaults.costs(call, mTargets.values(), mDuration, nowNanos);
        for (CallTarget target : mTargets.values()) {
            if (target.isUsable()
                    && isEligible.test(target)
                    && gate.isPermitted(call.work(), target.upstream(), nowNanos)
                    && mLimits.isPermitted(target.upstream(), nowNanos)) {
                eligible.add(target);
                candidates.add(candidate(target, call, faultCosts, nowNanos));
            }
        }
        return eligible.isEmpty()
                ? null
                : eligible.get(mPlacement.select(candidates, mDuration.meanMillis()));
    }

    /** Returns the likely cause of an error that an upstream answered a call with. */
    CallFaults.Cause errorCause(CallTarget target, long nowNanos) {
        return mFaults.cause(target, mTargets.values(), nowNanos);
    }

    private Candidate candidate(
            CallTarget target, CallRun call, Map<CallTarget, Double> faultCosts, long nowNanos) {
        Distance distance = mLocations.distance(target.upstream().zone());
        double meanMillis = mDuration.meanMillis();
        // Ties are broken at random.
        double cost =
                target.cost(meanMillis, distance, nowNanos) + TIE_MILLIS * mRandom.nextDouble();
        double penalty = faultCosts.getOrDefault(target, 0.0);
        if (call.hasReached(target)) {
            penalty += CallTarget.LAST_RESORT_COST_MILLIS;
        }
        if (!canFinishAt(target, call, nowNanos)) {
            penalty += CallTarget.LAST_RESORT_COST_MILLIS;
        }
        return new Candidate(
                target.upstream(),
                cost + penalty,
                penalty + target.failureCost(nowNanos),
                target.meanLoad(nowNanos),
                target.speed(meanMillis),
                distance);
    }

    /**
     * Returns the time after which a refused call should come back, or null when no upstream is
     * usable. Other instances may still have a part of the limits, so a retry need not wait for
     * this one's.
     */
    @Nullable Duration reserveRetry(long nowNanos) {
        List<Upstream> upstreams = new ArrayList<>();
        for (CallTarget target : mTargets.values()) {
            Upstream upstream = target.upstream();
            if (!target.isUsable() || mLimits.isLeaving(upstream)) {
                continue;
            }
            if (mLimits.waitNanos(upstream, nowNanos).isEmpty()) {
                return FULL_RETRY;
            }
            upstreams.add(upstream);
        }
        OptionalLong wait = mLimits.reserveRetry(upstreams, nowNanos);
        return wait.isEmpty()
                ? null
                : Duration.ofNanos(Math.max(wait.getAsLong(), FULL_RETRY.toNanos()));
    }
}
