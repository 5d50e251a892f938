package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;

/**
 * Collects the engine losses that may have been caused by the generations that ran there. A closed
 * connection alone does not show that an engine was lost. A loss counts once the process is known
 * to have ended, or does not respond to a check after it.
 */
final class LossEvidence {
    /** Time after which a loss that was not confirmed is dropped. */
    private static final long MAX_CONFIRMATION_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * Minimum time between a loss and output that shows that the engine lives. Output from before
     * the loss may be reported by other instances with a delay.
     */
    private static final long REPORT_DELAY_NANOS = Duration.ofMillis(250).toNanos();

    private final SuspectTable mSuspects;
    private final List<Loss> mUnconfirmed = new ArrayList<>();

    LossEvidence(SuspectTable suspects) {
        mSuspects = suspects;
    }

    /**
     * A generation that had no output yet when its engine may have been lost.
     *
     * @param engine the engine process
     * @param subject the generation
     * @param closed true when the connection was closed, false when the engine did not respond
     * @param atNanos time of the loss
     */
    private record Loss(EngineState engine, SuspectSubject subject, boolean closed, long atNanos) {}

    /** Records that an attempt without output has lost its engine. */
    void recordLoss(EngineState engine, SuspectSubject subject, boolean closed, long nowNanos) {
        if (subject.isKnown()) {
            mUnconfirmed.add(new Loss(engine, subject, closed, nowNanos));
        }
    }

    /** Records that an attempt has produced output. */
    void recordOutput(SuspectSubject subject, long nowNanos) {
        if (!subject.isKnown()) {
            return;
        }
        mSuspects.clear(subject.request(), nowNanos);
        subject.parts().forEach(part -> mSuspects.clear(part, nowNanos));
    }

    /** Returns the engines that should be checked to confirm a loss. */
    Set<EngineState> enginesToCheck() {
        Set<EngineState> engines = new LinkedHashSet<>();
        for (Loss loss : mUnconfirmed) {
            if (loss.closed()) {
                engines.add(loss.engine());
            }
        }
        return engines;
    }

    /**
     * Records the result of a check: a response drops the losses before it, no response confirms
     * them.
     *
     * @return whether a loss was confirmed
     */
    boolean recordCheck(EngineState engine, boolean responded) {
        Predicate<Loss> isChecked =
                loss -> loss.engine() == engine && engine.isCheckedSince(loss.atNanos());
        if (responded) {
            mUnconfirmed.removeIf(isChecked);
            return false;
        }
        return confirm(isChecked.and(Loss::closed));
    }

    /**
     * Confirms the losses of engines that are known to have ended, and drops those of engines that
     * live or about which nothing becomes known.
     *
     * @return whether a loss was confirmed
     */
    boolean advance(long nowNanos) {
        if (mUnconfirmed.isEmpty()) {
            return false;
        }
        mUnconfirmed.removeIf(
                loss ->
                        loss.engine().isAliveSince(loss.atNanos() + REPORT_DELAY_NANOS)
                                || nowNanos - loss.atNanos() > MAX_CONFIRMATION_NANOS);
        return confirm(loss -> loss.engine().hasEnded());
    }

    Verdict verdict(SuspectSubject subject, long nowNanos) {
        return subject.isKnown()
                ? mSuspects.verdict(subject.request(), subject.parts(), nowNanos)
                : Verdict.UNKNOWN;
    }

    private boolean confirm(Predicate<Loss> isConfirmed) {
        List<Loss> confirmed = mUnconfirmed.stream().filter(isConfirmed).toList();
        for (Loss loss : confirmed) {
            mSuspects.recordLoss(
                    loss.subject().request(),
                    loss.subject().parts(),
                    loss.engine().upstream().process(),
                    loss.atNanos());
        }
        mUnconfirmed.removeAll(confirmed);
        return !confirmed.isEmpty();
    }
}
