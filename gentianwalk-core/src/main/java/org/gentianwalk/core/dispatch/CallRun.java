package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** State of a call: its attempts in progress, if any, and what earlier attempts have shown. */
final class CallRun {
    /** Pause before a call reaches an upstream again; doubles with each of its attempts. */
    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(150).toNanos();

    private static final long MAX_PAUSE_NANOS = Duration.ofMillis(1_200).toNanos();

    /** Minimum time between two searches for an upstream beside a silent one. */
    private static final long BESIDE_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

    private final Work mWork;
    private final SuspectSubject mSubject;

    /** Time from which the call may reach each upstream again that it has reached. */
    private final Map<String, Long> mReachableAt = new HashMap<>();

    /** Number of attempts at each upstream that may have executed the call and have failed. */
    private final Map<String, Integer> mFailures = new HashMap<>();

    /** The possible losses of upstreams under the call. */
    private final Set<LossEvidence.Outcome> mLosses = new HashSet<>();

    private final Map<Integer, CallAttempt> mAttempts = new LinkedHashMap<>();
    private int mAttempt;
    private long mEndedAt;
    private long mTriedBesideAt;
    private boolean mTriedBeside;

    /** Numbers of the attempts of whose answer a part was forwarded. */
    private final Set<Integer> mAnswering = new HashSet<>();

    private int mUnexecutedAttempts;
    private int mRejections;
    private int mExecutions;
    private boolean mRetryTaken;

    /** Upstream of the error answer that no later attempt has replaced, or null. */
    private @Nullable CallTarget mErrorTarget;

    CallRun(Work work) {
        mWork = work;
        mSubject = SuspectSubject.ofCall(work);
    }

    Work work() {
        return mWork;
    }

    SuspectSubject subject() {
        return mSubject;
    }

    /** Returns the attempts in progress, in the order of their start. */
    Collection<CallAttempt> attempts() {
        return mAttempts.values();
    }

    /** Returns an attempt in progress, or null. */
    @Nullable CallAttempt attempt(int number) {
        return mAttempts.get(number);
    }

    /** Returns whether all attempts in progress, of which there are some, are overdue. */
    boolean isOverdue(long overdueNanos, long nowNanos) {
        return !mAttempts.isEmpty()
                && mAttempts.values().stream()
                        .allMatch(attempt -> nowNanos - attempt.startedAt() >= overdueNanos);
    }

    /**
     * Records that a part of an attempt's answer was forwarded, which no other attempt can replace
     * unless it is a stream.
     *
     * @return whether it was the first part
     */
    boolean recordAnswering(int attempt) {
        return mAnswering.add(attempt);
    }

    /**
     * Returns whether a stream has begun at an upstream, so that it does not crash upstreams that
     * begin to run it.
     */
    boolean isStreamBegun(CallAttempt attempt) {
        return mWork.kind().isStream() && mAnswering.contains(attempt.number());
    }

    /** Returns whether a part of an answer was forwarded. */
    boolean isAnswering() {
        return !mAnswering.isEmpty();
    }

    /**
     * Records a search for an upstream for an attempt beside the one in progress.
     *
     * @return false when the last search is too recent
     */
    boolean tryBeside(long nowNanos) {
        if (mTriedBeside && nowNanos - mTriedBesideAt < BESIDE_INTERVAL_NANOS) {
            return false;
        }
        mTriedBeside = true;
        mTriedBesideAt = nowNanos;
        return true;
    }

    /** Returns the number of attempts that upstreams certainly did not execute. */
    int unexecutedAttempts() {
        return mUnexecutedAttempts;
    }

    /** Returns the number of attempts that upstreams rejected. */
    int rejections() {
        return mRejections;
    }

    /** Returns the number of attempts that may have been executed. */
    int executions() {
        return mExecutions;
    }

    /** Returns whether there is an error answer that no later attempt has replaced. */
    boolean isAnsweredWithError() {
        return mErrorTarget != null;
    }

    /** Returns the upstream of the error answer that no later attempt has replaced, or null. */
    @Nullable CallTarget errorTarget() {
        return mErrorTarget;
    }

    /** Records the start of an attempt, beside those in progress. */
    CallAttempt recordStart(CallTarget target, long nowNanos) {
        // The error answer of an earlier attempt is kept only while another one goes on.
        mErrorTarget = mAttempts.isEmpty() ? null : mErrorTarget;
        mAttempt++;
        CallAttempt attempt = new CallAttempt(mAttempt, target, nowNanos);
        mAttempts.put(mAttempt, attempt);
        return attempt;
    }

    /** Records the end of an attempt in progress. */
    void recordEnd(
            CallAttempt attempt,
            AttemptEnd end,
            LossEvidence.@Nullable Outcome loss,
            long nowNanos) {
        mAttempts.remove(attempt.number());
        mEndedAt = nowNanos;
        long pause = FIRST_PAUSE_NANOS << Math.min(attempt.number() - 1, 8);
        mReachableAt.put(
                attempt.target().upstream().id(), nowNanos + Math.min(pause, MAX_PAUSE_NANOS));
        if (loss != null) {
            mLosses.add(loss);
        }
        mRetryTaken &= end.isNotSent();
        mUnexecutedAttempts += end.isNotExecuted() ? 1 : 0;
        mRejections += end == AttemptEnd.REJECTED ? 1 : 0;
        if (!end.isNotExecuted()) {
            mExecutions++;
            mFailures.merge(attempt.target().upstream().id(), 1, Integer::sum);
        }
        if (end == AttemptEnd.ANSWERED_ERROR) {
            mErrorTarget = attempt.target();
        }
    }

    /**
     * Gives up the attempts in progress.
     *
     * @param overdueNanos time from which an attempt counts as one that was not answered
     */
    void release(long overdueNanos, long nowNanos) {
        for (CallAttempt attempt : mAttempts.values()) {
            attempt.target().release(attempt.startedAt());
            if (mAnswering.isEmpty() && nowNanos - attempt.startedAt() >= overdueNanos) {
                attempt.target().recordSilence(nowNanos);
            }
        }
        mAttempts.clear();
    }

    private boolean isAt(CallTarget target) {
        return mAttempts.values().stream()
                .anyMatch(
                        attempt -> attempt.target().upstream().id().equals(target.upstream().id()));
    }

    /** Returns whether the call has reached an upstream, whatever became of it. */
    boolean hasReached(CallTarget target) {
        return isAt(target) || mReachableAt.containsKey(target.upstream().id());
    }

    /** Returns whether the call has failed at an upstream more than once. */
    boolean hasFailedAgainAt(CallTarget target) {
        return mFailures.getOrDefault(target.upstream().id(), 0) > 1;
    }

    /** Returns whether the call may reach an upstream now, for the first time or again. */
    boolean mayReach(CallTarget target, long nowNanos) {
        Long at = mReachableAt.get(target.upstream().id());
        return !isAt(target) && (at == null || nowNanos - at >= 0);
    }

    /** Returns the number of processes that may have been lost under the call. */
    int losses() {
        return (int) mLosses.stream().filter(loss -> !loss.isRefuted()).count();
    }

    /** Returns the number of processes that are known to have been lost under the call. */
    int confirmedLosses() {
        return (int) mLosses.stream().filter(LossEvidence.Outcome::isConfirmed).count();
    }

    /** Returns the end of the last attempt. */
    long endedAt() {
        return mEndedAt;
    }

    /** Returns the time since the end of the last attempt, nanoseconds. */
    long sinceEnd(long nowNanos) {
        return nowNanos - mEndedAt;
    }

    /**
     * Takes a retry from the budget for the next attempt. One that has reached no upstream leaves
     * its retry to the next one.
     *
     * @return false when the budget is exhausted
     */
    boolean takeRetry(FleetRetryBudget retries, long nowNanos) {
        mRetryTaken = mRetryTaken || retries.tryRetry(nowNanos);
        return mRetryTaken;
    }

    /**
     * Takes a retry from the budget for an attempt beside one that may still be answered.
     *
     * @return false when the rest of the budget is kept for other calls
     */
    boolean takeOptionalRetry(FleetRetryBudget retries, long nowNanos) {
        mRetryTaken = mRetryTaken || retries.tryOptionalRetry(nowNanos);
        return mRetryTaken;
    }
}
