package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;
import org.gentianwalk.core.route.RequestKind;
import org.jspecify.annotations.Nullable;

/**
 * Assigns short calls to the upstreams of a plain service. A call is sent immediately and never
 * queued in the instance, since the wait in an upstream's own queue is shorter than a round trip
 * between instances. A repeatable call whose upstream was lost waits for one that can repeat it. A
 * call whose content crashes upstreams is not repeated and finally refused, at all instances. A
 * stream is a call, too, and goes on elsewhere after its last event if it may be resumed.
 */
public final class CallScheduler
        implements WorkScheduler, PeerLoadAware, EvidenceAware, LivenessAware {
    /** Maximum number of attempts for a call that no upstream has executed. */
    private static final int MAX_UNEXECUTED_ATTEMPTS = 4;

    /**
     * Retry-after while no upstream is usable; covers the time until a lost one is listed again.
     */
    private static final Duration NO_UPSTREAM_RETRY = Duration.ofMillis(500);

    /** Retry-after of a call that would crash an upstream; it has to be changed first. */
    private static final Duration CONVICTED_RETRY = Duration.ofMinutes(1);

    /** Retry-after of a call until it is settled whether upstreams crashed because of it. */
    private static final Duration PENDING_RETRY = Duration.ofSeconds(1);

    /** Number of upstreams that may be lost under one call. */
    private static final int MAX_LOSSES = 2;

    /**
     * Time for which a call waits for upstreams that may have been lost under it and do not respond
     * to checks. Sound upstreams may be silent for a second or so.
     */
    private static final long SETTLING_NANOS = Duration.ofMillis(2_000).toNanos();

    private final String mService;
    private final FleetRetryBudget mRetries;
    private final UpstreamLimits mLimits;
    private final CallEvidence mEvidence = new CallEvidence();
    private final CallTargets mTargets;
    private final CallChecks mChecks;
    private final Map<Long, CallRun> mCalls = new HashMap<>();

    /** Calls that may have been executed and wait for an upstream that can repeat them. */
    private final Set<CallRun> mWaiting = new LinkedHashSet<>();

    private List<Decision> mDecisions = new ArrayList<>();
    private VersionGate mGate = VersionGate.OPEN;
    private @Nullable Long mStopsAt;

    /**
     * Creates a scheduler without upstreams.
     *
     * @param service name of the service
     * @param locations distances from this instance
     * @param retries retry budget of the service
     * @param limits limits stated by upstreams
     * @param random source of randomness for breaking ties
     */
    public CallScheduler(
            String service,
            LocationMap locations,
            FleetRetryBudget retries,
            UpstreamLimits limits,
            RandomGenerator random) {
        this(service, locations, retries, limits, PlacementPolicy.Kind.LOWEST_COST, random);
    }

    /**
     * Creates a scheduler without upstreams.
     *
     * @param service name of the service
     * @param locations distances from this instance
     * @param retries retry budget of the service
     * @param limits limits stated by upstreams
     * @param placement how upstreams are selected
     * @param random source of randomness
     */
    public CallScheduler(
            String service,
            LocationMap locations,
            FleetRetryBudget retries,
            UpstreamLimits limits,
            PlacementPolicy.Kind placement,
            RandomGenerator random) {
        mService = service;
        mRetries = retries;
        mLimits = limits;
        mTargets = new CallTargets(locations, limits, placement.create(random), random);
        mChecks = new CallChecks(limits);
    }

    @Override
    public void replaceUpstreams(Collection<Upstream> upstreams, long nowNanos) {
        mTargets.replace(upstreams, nowNanos);
    }

    @Override
    public void offer(Work work, long nowNanos) {
        mRetries.recordRequest(nowNanos);
        CallRun call = new CallRun(work);
        mCalls.put(work.id(), call);
        startFirst(call, nowNanos);
    }

    @Override
    public void recordProgress(long work, int attempt, Progress progress) {
        CallRun call = mCalls.get(work);
        if (call != null && call.recordAnswering(attempt) && call.work().kind().isStream()) {
            mEvidence.recordOutput(call.subject(), progress.lastNanos());
        }
    }

    @Override
    public void recordLoad(long work, UpstreamLoad load, long nowNanos) {
        CallRun call = mCalls.get(work);
        if (call != null && call.attempts().size() == 1) {
            call.attempts().iterator().next().target().recordLoad(load, nowNanos);
        }
    }

    @Override
    public void recordLoad(long work, int attempt, UpstreamLoad load, long nowNanos) {
        CallRun call = mCalls.get(work);
        CallAttempt running = call == null ? null : call.attempt(attempt);
        if (running != null) {
            running.target().recordLoad(load, nowNanos);
        }
    }

    @Override
    public void recordAttemptEnd(long work, int attempt, AttemptEnd end, long nowNanos) {
        CallRun call = mCalls.get(work);
        CallAttempt ended = call == null ? null : call.attempt(attempt);
        if (call == null || ended == null) {
            return;
        }
        CallTarget target = ended.target();
        long duration = nowNanos - ended.startedAt();
        target.release(ended.startedAt());
        target.recordEnd(end, ended.startedAt(), nowNanos);
        if (end == AttemptEnd.SUPERSEDED && duration >= mTargets.overdueNanos()) {
            target.recordSilence(nowNanos);
        }
        LossEvidence.Outcome loss = null;
        if (!end.isProcessLost()) {
            mEvidence.recordAnswer(call.subject(), end, nowNanos);
        } else if (!call.isStreamBegun(ended)) {
            loss =
                    mEvidence.recordLoss(
                            call.work().requestId(),
                            call.subject(),
                            target,
                            ended.startedAt(),
                            nowNanos);
        }
        call.recordEnd(ended, end, loss, nowNanos);
        if (end.isProcessLost() && call.work().kind().isRepeatable()) {
            // Later, a process that was started in its place could answer for it.
            mChecks.request(target, nowNanos);
        }
        if (end == AttemptEnd.SUCCEEDED) {
            mTargets.recordDuration(target, duration);
            remove(work, nowNanos);
        } else if (!call.attempts().isEmpty()) {
            // The attempt beside it goes on.
            advanceOverdue(call, nowNanos);
        } else if (call.executions() == 0) {
            handleNotExecuted(call, end, nowNanos);
        } else if (call.isAnsweredWithError()) {
            handleError(call, nowNanos);
        } else if (isRepeatAllowed(call)) {
            repeat(call, nowNanos);
        } else {
            finishUnknown(call, "no further attempt is allowed", nowNanos);
        }
    }

    @Override
    public void remove(long work, long nowNanos) {
        CallRun call = mCalls.remove(work);
        if (call != null) {
            mWaiting.remove(call);
            call.release(mTargets.overdueNanos(), nowNanos);
        }
    }

    @Override
    public void versionGate(VersionGate gate) {
        mGate = gate;
        mTargets.versionGate(gate);
    }

    @Override
    public void stopAt(long nanos) {
        mStopsAt = nanos;
        mTargets.stopAt(nanos);
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        if (mStopsAt != null && nowNanos - mStopsAt >= 0) {
            List.copyOf(mCalls.values()).forEach(call -> finishStopping(call, nowNanos));
        }
        mEvidence.advance(nowNanos);
        for (CallRun call : List.copyOf(mCalls.values())) {
            if (nowNanos - call.work().deadlineNanos() < 0) {
                advanceOverdue(call, nowNanos);
                continue;
            }
            call.attempts().forEach(attempt -> attempt.target().recordTimeout(nowNanos));
            finishLate(call, nowNanos);
        }
        List.copyOf(mWaiting).forEach(call -> repeat(call, nowNanos));
        List<Decision> decisions = mDecisions;
        mDecisions = new ArrayList<>();
        return decisions;
    }

    @Override
    public boolean hasLoad(long nowNanos) {
        return !mEvidence.report(nowNanos).isEmpty();
    }

    @Override
    public InstanceLoad load(long nowNanos) {
        // The load itself is reported by the upstreams in their answers.
        return new InstanceLoad(
                mService,
                loadChanges(),
                List.of(),
                0,
                List.of(),
                new FleetRetryBudget.Usage(0, 0),
                mEvidence.report(nowNanos));
    }

    @Override
    public long loadChanges() {
        return mEvidence.changes();
    }

    @Override
    public void recordPeerLoad(String instance, InstanceLoad load, long nowNanos) {
        mEvidence.merge(load.suspects(), nowNanos);
    }

    @Override
    public void updatePeers(PeerView peers) {
        // Evidence remains valid when the instance that observed it has ended.
    }

    @Override
    public List<SuspectEntry> evidenceToKeep(long nowNanos) {
        return mEvidence.toKeep(nowNanos);
    }

    @Override
    public void restoreEvidence(List<SuspectEntry> entries, boolean own, long nowNanos) {
        mEvidence.restore(entries, own, nowNanos);
    }

    @Override
    public List<SettledLoss> takeSettledLosses() {
        return mEvidence.takeSettled();
    }

    @Override
    public List<LivenessCheck> takeLivenessChecks() {
        return mChecks.take();
    }

    @Override
    public void recordLivenessCheck(Upstream upstream, boolean responded, long nowNanos) {
        CallTarget target = mChecks.end(upstream, responded);
        // A check without a response shows nothing: the upstream may only be silent for a time.
        if (target != null && responded) {
            mEvidence.recordResponse(target, nowNanos);
        }
    }

    @Override
    public void recordProcessEnd(Upstream upstream, long nowNanos) {
        CallTarget target = mChecks.end(upstream, false);
        if (target != null) {
            target.recordProcessEnd(nowNanos);
        }
    }

    @Override
    public void recordLaterStart(Upstream upstream, long incarnation, long nowNanos) {
        CallTarget target = mChecks.checkedTarget(upstream);
        if (target == null) {
            return;
        }
        long startedBy = target.recordLaterStart(incarnation, nowNanos);
        if (mEvidence.recordLaterStart(target, startedBy, nowNanos)) {
            recordLivenessCheck(upstream, true, nowNanos);
        } else {
            recordProcessEnd(upstream, nowNanos);
        }
    }

    private void handleNotExecuted(CallRun call, AttemptEnd end, long nowNanos) {
        boolean retry = call.unexecutedAttempts() < MAX_UNEXECUTED_ATTEMPTS;
        if (!end.isNotSent()) {
            // The upstream received the request, so another attempt adds load to the service.
            retry = retry && call.takeRetry(mRetries, nowNanos);
        }
        if (retry) {
            startFirst(call, nowNanos);
            return;
        }
        Duration limitWait = mTargets.reserveRetry(nowNanos);
        Duration wait = limitWait == null ? CallTargets.FULL_RETRY : limitWait;
        finish(call, Ending.REFUSED, wait, "no upstream has capacity for the call", nowNanos);
    }

    /**
     * Repeats a call that was answered with an error where it has not been, or passes the error on.
     * The same request gets the same error elsewhere unless the upstream is the cause of it.
     */
    private void handleError(CallRun call, long nowNanos) {
        CallTarget failed = call.errorTarget();
        boolean repeat =
                isRepeatAllowed(call)
                        && failed != null
                        && mTargets.errorCause(failed, nowNanos) != CallFaults.Cause.REQUEST;
        CallTarget target = repeat ? mTargets.chooseForRepeat(call, nowNanos) : null;
        if (target != null
                && !call.hasReached(target)
                && nowNanos - call.work().deadlineNanos() < 0
                && mTargets.canFinishAt(target, call, nowNanos)
                && call.losses() < MAX_LOSSES
                && verdict(call, nowNanos) == Verdict.UNKNOWN
                && call.takeRetry(mRetries, nowNanos)) {
            send(call, target, nowNanos);
            return;
        }
        passErrorOn(call, nowNanos);
    }

    private void passErrorOn(CallRun call, long nowNanos) {
        finish(
                call,
                Ending.UPSTREAM_ERROR,
                Duration.ZERO,
                "upstream answered with an error",
                nowNanos);
    }

    /**
     * Starts an attempt beside one that has had no answer for unusually long, since an upstream may
     * never answer some calls. An error answer that is kept for the case that another attempt
     * succeeds is passed on rather than kept back for such an attempt.
     */
    private void advanceOverdue(CallRun call, long nowNanos) {
        if (call.work().kind() != RequestKind.IDEMPOTENT_CALL
                || call.isAnswering()
                || !call.isOverdue(mTargets.overdueNanos(), nowNanos)) {
            return;
        }
        if (call.isAnsweredWithError()) {
            passErrorOn(call, nowNanos);
            return;
        }
        if (call.attempts().size() > 1
                || call.executions() + 1 >= call.work().maxAttempts()
                || call.rejections() >= MAX_UNEXECUTED_ATTEMPTS
                || call.losses() > 0
                || call.work().deadlineNanos() - nowNanos < mTargets.usualNanos()
                || !call.tryBeside(nowNanos)
                || !mTargets.canFinish(call, nowNanos)
                || verdict(call, nowNanos) != Verdict.UNKNOWN) {
            return;
        }
        CallTarget target = mTargets.chooseForRepeat(call, nowNanos);
        if (target != null
                && mTargets.canFinishAt(target, call, nowNanos)
                && call.takeOptionalRetry(mRetries, nowNanos)) {
            send(call, target, nowNanos);
        }
    }

    /** Returns whether a call that may have been executed may be executed once more. */
    private static boolean isRepeatAllowed(CallRun call) {
        return call.work().kind().isRepeatable()
                && call.executions() < call.work().maxAttempts()
                && call.rejections() < MAX_UNEXECUTED_ATTEMPTS;
    }

    /**
     * Sends a call that may have been executed once more. It waits while no upstream can take it,
     * or while it is not settled whether its content crashes upstreams.
     */
    private void repeat(CallRun call, long nowNanos) {
        if (nowNanos - call.work().deadlineNanos() >= 0) {
            finishLate(call, nowNanos);
            return;
        }
        Verdict verdict = verdict(call, nowNanos);
        if (verdict == Verdict.CONVICTED) {
            refuseSuspect(call, verdict, nowNanos);
            return;
        }
        if (!mTargets.canFinish(call, nowNanos)) {
            finishStopping(call, nowNanos);
            return;
        }
        mWaiting.add(call);
        if (verdict == Verdict.PENDING || call.losses() >= MAX_LOSSES) {
            if (call.confirmedLosses() >= MAX_LOSSES) {
                finishUnknown(call, "two upstreams ended under the call", nowNanos);
                return;
            }
            Set<CallTarget> inDoubt = mEvidence.processesInDoubt(call.work().requestId());
            boolean silent =
                    call.sinceEnd(nowNanos) >= SETTLING_NANOS
                            && inDoubt.stream()
                                    .allMatch(target -> target.hasMissedCheckSince(call.endedAt()));
            if (silent) {
                finishUnknown(call, "its upstreams do not respond to checks", nowNanos);
            } else {
                inDoubt.forEach(target -> mChecks.request(target, nowNanos));
            }
            return;
        }
        CallTarget target = mTargets.chooseForRepeat(call, nowNanos);
        if (target == null) {
            return;
        }
        if (!mTargets.canFinishAt(target, call, nowNanos)) {
            finishStopping(call, nowNanos);
        } else if (call.takeRetry(mRetries, nowNanos)) {
            mWaiting.remove(call);
            send(call, target, nowNanos);
        } else {
            // A caller that comes back by itself is not limited by the retry budget.
            finishUnknown(call, "the retry budget is exhausted", nowNanos);
        }
    }

    /** Starts an attempt of a call that has not run, or finishes it when no upstream is usable. */
    private void startFirst(CallRun call, long nowNanos) {
        if (nowNanos - call.work().deadlineNanos() >= 0) {
            finishLate(call, nowNanos);
            return;
        }
        if (!mTargets.canFinish(call, nowNanos)) {
            finishStopping(call, nowNanos);
            return;
        }
        Verdict verdict = verdict(call, nowNanos);
        if (verdict == Verdict.CONVICTED || verdict == Verdict.PENDING) {
            refuseSuspect(call, verdict, nowNanos);
            return;
        }
        CallTarget target = mTargets.choose(call, nowNanos);
        if (target == null) {
            Duration limitWait = mTargets.reserveRetry(nowNanos);
            Duration wait = limitWait == null ? NO_UPSTREAM_RETRY : limitWait;
            String reason =
                    limitWait == null ? "no usable upstream" : "all upstreams want fewer requests";
            finish(call, Ending.REFUSED, wait, reason, nowNanos);
        } else if (mTargets.canFinishAt(target, call, nowNanos)) {
            send(call, target, nowNanos);
        } else {
            finishStopping(call, nowNanos);
        }
    }

    private void send(CallRun call, CallTarget target, long nowNanos) {
        Set<Integer> beside = new HashSet<>();
        call.attempts().forEach(attempt -> beside.add(attempt.number()));
        CallAttempt started = call.recordStart(target, nowNanos);
        target.recordStart(nowNanos);
        mLimits.recordSent(target.upstream(), nowNanos);
        mGate.recordStart(call.work(), started.number(), target.upstream(), nowNanos);
        mDecisions.add(
                new Decision.Start(
                        call.work(),
                        started.number(),
                        target.upstream(),
                        -1,
                        null,
                        null,
                        null,
                        beside,
                        beside.isEmpty() ? "least expected time" : "beside one without an answer"));
    }

    private void finishUnknown(CallRun call, String cause, long nowNanos) {
        finish(call, Ending.UNKNOWN, Duration.ZERO, "upstream lost, " + cause, nowNanos);
    }

    private void finishLate(CallRun call, long nowNanos) {
        Ending ending = endingWithoutAttempt(call, Ending.TIMED_OUT);
        finish(call, ending, Duration.ZERO, "deadline exceeded", nowNanos);
    }

    private void refuseSuspect(CallRun call, Verdict verdict, long nowNanos) {
        finish(
                call,
                endingWithoutAttempt(call, Ending.UNKNOWN),
                verdict == Verdict.CONVICTED ? CONVICTED_RETRY : PENDING_RETRY,
                "upstreams were lost under calls with the same content",
                nowNanos);
    }

    private void finishStopping(CallRun call, long nowNanos) {
        finish(
                call,
                endingWithoutAttempt(call, Ending.UNKNOWN),
                STOPPING_RETRY,
                "the instance is stopping",
                nowNanos);
    }

    /**
     * Returns the ending of a call that gets no further attempt: the error of its last attempt if
     * that had one, or a refusal if the call never ran.
     *
     * @param executed ending of a call that may have been executed
     */
    private static Ending endingWithoutAttempt(CallRun call, Ending executed) {
        if (call.isAnsweredWithError()) {
            return Ending.UPSTREAM_ERROR;
        }
        if (!call.attempts().isEmpty()) {
            return executed;
        }
        return call.executions() == 0 ? Ending.REFUSED : executed;
    }

    private Verdict verdict(CallRun call, long nowNanos) {
        return mEvidence.verdict(call.subject(), nowNanos);
    }

    private void finish(
            CallRun call, Ending ending, Duration retryAfter, String reason, long nowNanos) {
        mDecisions.add(new Decision.Finish(call.work(), ending, retryAfter, reason));
        remove(call.work().id(), nowNanos);
    }
}
