package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;

/** Evidence of this and other instances on which calls crash the upstreams of a service. */
final class CallEvidence {
    /** Time for which evidence is reported; covers the repetition of lost reports. */
    private static final long REPORT_NANOS = Duration.ofMillis(2_500).toNanos();

    private static final int MAX_REPORTED = 16;

    private final SuspectTable mSuspects =
            new SuspectTable(
                    PolicyOptions.defaults().retry(), SuspectTable.CONVICTING_CONTENT_LOSSES);
    private final LossEvidence<CallTarget> mLosses = new LossEvidence<>(mSuspects);
    private long mChanges;

    /**
     * Records that an attempt has lost its upstream.
     *
     * @return what becomes known about the loss
     */
    LossEvidence.Outcome recordLoss(
            String requestId,
            SuspectSubject subject,
            CallTarget target,
            long startedNanos,
            long nowNanos) {
        return mLosses.recordLoss(target, requestId, subject, true, startedNanos, nowNanos);
    }

    /** Records the end of an attempt whose upstream was not lost. */
    void recordAnswer(SuspectSubject subject, AttemptEnd end, long nowNanos) {
        if (end == AttemptEnd.SUCCEEDED || end == AttemptEnd.ANSWERED_ERROR) {
            recordOutput(subject, nowNanos);
        }
    }

    /** Records that an upstream has run a call, or has begun a stream. */
    void recordOutput(SuspectSubject subject, long nowNanos) {
        mChanges += mLosses.recordOutput(subject, nowNanos) ? 1 : 0;
    }

    /** Returns the processes whose loss under a request is not settled. */
    Set<CallTarget> processesInDoubt(String requestId) {
        return mLosses.processesInDoubt(requestId);
    }

    /** Records that a process has responded to a check, which drops the losses before it. */
    void recordResponse(CallTarget target, long nowNanos) {
        mLosses.recordCheck(target, true, nowNanos);
    }

    /**
     * Records that a check was answered by a process that was started later at the address.
     *
     * @param startedByNanos time by which that process had started
     * @return whether that refutes all losses before the check, of which there are some
     */
    boolean recordLaterStart(CallTarget target, long startedByNanos, long nowNanos) {
        return mLosses.recordLaterStart(target, startedByNanos, nowNanos);
    }

    void advance(long nowNanos) {
        if (mLosses.advance(nowNanos)) {
            mChanges++;
        }
    }

    List<SettledLoss> takeSettled() {
        return mLosses.takeSettled();
    }

    Verdict verdict(SuspectSubject subject, long nowNanos) {
        return mLosses.verdict(subject, nowNanos);
    }

    /** Returns a counter that increases with each change that other instances should know. */
    long changes() {
        return mChanges;
    }

    /** Returns the evidence to report to other instances; usually none. */
    List<SuspectEntry> report(long nowNanos) {
        return mSuspects.entries(REPORT_NANOS, MAX_REPORTED, nowNanos);
    }

    /** Returns the evidence that this instance has to keep beyond its life. */
    List<SuspectEntry> toKeep(long nowNanos) {
        return mLosses.toKeep(nowNanos);
    }

    void restore(List<SuspectEntry> entries, boolean own, long nowNanos) {
        mSuspects.restore(entries, own, nowNanos);
    }

    void merge(List<SuspectEntry> entries, long nowNanos) {
        mChanges += mSuspects.merge(entries, nowNanos) ? 1 : 0;
    }
}
