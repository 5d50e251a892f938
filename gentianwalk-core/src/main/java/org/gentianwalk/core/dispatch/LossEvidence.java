package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Collects the losses of upstreams that may have been caused by the requests that ran there. A
 * closed connection alone does not show that an upstream was lost. A loss counts once the process
 * is known to have ended, or does not respond to a check after it.
 *
 * @param <P> processes of upstreams
 */
final class LossEvidence<P extends LossEvidence.ObservedProcess> {
    /** Time after which a loss that was not confirmed is dropped. */
    private static final long MAX_CONFIRMATION_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * Minimum time between a loss and output that shows that the process lives. Output from before
     * the loss may be reported by other instances with a delay.
     */
    private static final long REPORT_DELAY_NANOS = Duration.ofMillis(250).toNanos();

    /**
     * Time from a loss on for which a process must not respond to checks until the loss counts.
     * Sound upstreams may be silent for a second or so.
     */
    private static final long UNRESPONSIVE_NANOS = Duration.ofMillis(2_000).toNanos();

    /** Maximum number of settled losses that wait to be logged. */
    private static final int MAX_SETTLED = 64;

    /** Maximum number of suspects that an instance keeps for each service. */
    private static final int MAX_KEPT = 32;

    private final SuspectTable mSuspects;
    private final List<Loss<P>> mUnconfirmed = new ArrayList<>();
    private List<SettledLoss> mSettled = new ArrayList<>();

    LossEvidence(SuspectTable suspects) {
        mSuspects = suspects;
    }

    /** One process of an upstream, as far as this instance has observed it. */
    interface ObservedProcess {
        /** Returns its entry on the list. */
        Upstream upstream();

        /**
         * Returns whether the process is known to have ended.
         *
         * @param lossNanos time at which a connection to it was lost
         */
        boolean hasEndedAfter(long lossNanos);

        /** Returns whether the process has shown a sign of life since a time. */
        boolean isAliveSince(long nanos);

        /** Returns whether the last liveness check started at or after a time. */
        boolean isCheckedSince(long nanos);
    }

    /**
     * A request that had no output yet when its upstream may have been lost.
     *
     * @param process the upstream's process
     * @param requestId identifier of the request
     * @param subject what the loss may be attributed to
     * @param closed true when the connection was closed, false when the upstream did not respond
     * @param startedNanos start of the attempt
     * @param atNanos time of the loss
     * @param outcome whether the loss counts
     */
    private record Loss<P>(
            P process,
            String requestId,
            SuspectSubject subject,
            boolean closed,
            long startedNanos,
            long atNanos,
            Outcome outcome) {}

    /** What has become known about a possible loss. */
    static final class Outcome {
        private SettledLoss.@Nullable Sign mSign;

        /** Returns whether it is known by now whether the loss counts. */
        boolean isSettled() {
            return mSign != null;
        }

        /** Returns whether the process has shown a sign of life since. */
        boolean isRefuted() {
            return mSign == SettledLoss.Sign.ALIVE;
        }

        /** Returns whether the process is known to be lost. */
        boolean isConfirmed() {
            SettledLoss.Sign sign = mSign;
            return sign != null && sign.isConfirmed();
        }
    }

    /**
     * Records that an attempt without output has lost its upstream.
     *
     * @param process the upstream's process
     * @param requestId identifier of the request
     * @param subject what the loss may be attributed to
     * @param closed true when the connection was closed, false when the upstream did not respond
     * @param startedNanos start of the attempt
     * @param nowNanos current time
     * @return what becomes known about the loss
     */
    Outcome recordLoss(
            P process,
            String requestId,
            SuspectSubject subject,
            boolean closed,
            long startedNanos,
            long nowNanos) {
        Outcome outcome = new Outcome();
        for (Loss<P> loss : mUnconfirmed) {
            if (loss.process() == process && loss.requestId().equals(requestId)) {
                outcome = loss.outcome();
            }
        }
        // An upstream that did not respond before it closed the connection is lost once.
        mUnconfirmed.removeIf(
                loss -> loss.process() == process && loss.requestId().equals(requestId));
        if (subject.isKnown()) {
            mSuspects.recordPossibleLoss(subject.request(), process.upstream().process(), nowNanos);
        }
        mUnconfirmed.add(
                new Loss<>(process, requestId, subject, closed, startedNanos, nowNanos, outcome));
        return outcome;
    }

    /** Returns the losses that were settled since the last call. */
    List<SettledLoss> takeSettled() {
        List<SettledLoss> settled = mSettled;
        mSettled = new ArrayList<>();
        return settled;
    }

    /**
     * Records that an attempt has produced output.
     *
     * @return whether evidence was dropped because of it
     */
    boolean recordOutput(SuspectSubject subject, long nowNanos) {
        if (!subject.isKnown()) {
            return false;
        }
        boolean dropped = mSuspects.clear(subject.request(), nowNanos);
        for (Fingerprint part : subject.parts()) {
            dropped |= mSuspects.clear(part, nowNanos);
        }
        return dropped;
    }

    /** Returns the processes that should be checked to confirm a loss. */
    Set<P> processesToCheck() {
        Set<P> processes = new LinkedHashSet<>();
        for (Loss<P> loss : mUnconfirmed) {
            if (loss.closed()) {
                processes.add(loss.process());
            }
        }
        return processes;
    }

    /** Returns the processes whose loss under a request is not settled. */
    Set<P> processesInDoubt(String requestId) {
        Set<P> processes = new LinkedHashSet<>();
        for (Loss<P> loss : mUnconfirmed) {
            if (loss.requestId().equals(requestId)) {
                processes.add(loss.process());
            }
        }
        return processes;
    }

    /**
     * Records the result of a check: a response drops the losses before it, and a process that does
     * not respond for long confirms them.
     *
     * @return whether a loss was confirmed
     */
    boolean recordCheck(P process, boolean responded, long nowNanos) {
        Predicate<Loss<P>> isChecked =
                loss -> loss.process() == process && process.isCheckedSince(loss.atNanos());
        if (responded) {
            drop(isChecked, SettledLoss.Sign.ALIVE, nowNanos);
            return false;
        }
        return confirm(
                isChecked
                        .and(Loss::closed)
                        .and(loss -> nowNanos - loss.atNanos() >= UNRESPONSIVE_NANOS),
                SettledLoss.Sign.UNRESPONSIVE,
                nowNanos);
    }

    /**
     * Records that a check has shown that a process has ended.
     *
     * @return whether a loss was confirmed
     */
    boolean recordProcessEnd(P process, long nowNanos) {
        return confirm(
                loss ->
                        loss.process() == process
                                && loss.closed()
                                && process.isCheckedSince(loss.atNanos()),
                SettledLoss.Sign.ENDED,
                nowNanos);
    }

    /**
     * Records that a check was answered by a process that was started later at the address. It goes
     * on, so it was not lost under attempts that began after its start.
     *
     * @param startedByNanos time by which that process had started
     * @return whether the check refutes all losses before it, of which there are some
     */
    boolean recordLaterStart(P process, long startedByNanos, long nowNanos) {
        Predicate<Loss<P>> isChecked =
                loss -> loss.process() == process && process.isCheckedSince(loss.atNanos());
        List<Loss<P>> refuted =
                drop(
                        isChecked.and(loss -> loss.startedNanos() - startedByNanos >= 0),
                        SettledLoss.Sign.ALIVE,
                        nowNanos);
        return !refuted.isEmpty() && mUnconfirmed.stream().noneMatch(isChecked);
    }

    /**
     * Confirms the losses of processes that are known to have ended, and drops those of processes
     * that live or about which nothing becomes known.
     *
     * @return whether a loss was confirmed
     */
    boolean advance(long nowNanos) {
        if (mUnconfirmed.isEmpty()) {
            return false;
        }
        drop(
                loss -> loss.process().isAliveSince(loss.atNanos() + REPORT_DELAY_NANOS),
                SettledLoss.Sign.ALIVE,
                nowNanos);
        // A sign that arrives together with the end of the time still counts.
        boolean confirmed =
                confirm(
                        loss -> loss.process().hasEndedAfter(loss.atNanos()),
                        SettledLoss.Sign.ENDED,
                        nowNanos);
        drop(
                loss -> nowNanos - loss.atNanos() > MAX_CONFIRMATION_NANOS,
                SettledLoss.Sign.EXPIRED,
                nowNanos);
        return confirmed;
    }

    /** Returns the evidence that this instance has to keep beyond its life. */
    List<SuspectEntry> toKeep(long nowNanos) {
        mSuspects.expire(nowNanos);
        return mSuspects.entriesToKeep(MAX_KEPT, nowNanos);
    }

    Verdict verdict(SuspectSubject subject, long nowNanos) {
        return subject.isKnown()
                ? mSuspects.verdict(subject.request(), subject.parts(), nowNanos)
                : Verdict.UNKNOWN;
    }

    private boolean confirm(Predicate<Loss<P>> isConfirmed, SettledLoss.Sign sign, long nowNanos) {
        List<Loss<P>> confirmed = drop(isConfirmed, sign, nowNanos);
        for (Loss<P> loss : confirmed) {
            if (!loss.subject().isKnown()) {
                continue;
            }
            mSuspects.recordLoss(
                    loss.subject().request(),
                    loss.subject().parts(),
                    loss.process().upstream().process(),
                    loss.atNanos(),
                    nowNanos);
        }
        return !confirmed.isEmpty();
    }

    /** Removes losses from the unconfirmed ones, and returns them. */
    private List<Loss<P>> drop(Predicate<Loss<P>> isSettled, SettledLoss.Sign sign, long nowNanos) {
        List<Loss<P>> dropped = mUnconfirmed.stream().filter(isSettled).toList();
        mUnconfirmed.removeAll(dropped);
        for (Loss<P> loss : dropped) {
            loss.outcome().mSign = sign;
            if (mSettled.size() < MAX_SETTLED) {
                mSettled.add(
                        new SettledLoss(
                                loss.process().upstream().process(),
                                loss.requestId(),
                                sign,
                                Duration.ofNanos(nowNanos - loss.atNanos()),
                                loss.subject().isKnown()));
            }
        }
        return dropped;
    }
}
