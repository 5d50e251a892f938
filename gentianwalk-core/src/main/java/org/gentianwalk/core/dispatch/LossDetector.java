package org.gentianwalk.core.dispatch;

import java.time.Duration;

/** Detects attempts that are lost although their connections are still open. */
final class LossDetector {
    /**
     * Margin after which the first output is overdue. It is large, since the backlog of other
     * instances may not have been reported yet. A lost engine is usually detected earlier, by the
     * missing output of its decoding generations.
     */
    private static final long OVERDUE_MARGIN_NANOS = Duration.ofMillis(1_500).toNanos();

    private static final double OVERDUE_FACTOR = 2.5;

    private final EngineView mEngineView;
    private final EngineSpeed mSpeed;
    private boolean mAwaitsInput;
    private boolean mHasInput;
    private long mInputProcessedAt;

    LossDetector(EngineView engineView, EngineSpeed speed) {
        mEngineView = engineView;
        mSpeed = speed;
    }

    /** State of an attempt. */
    enum Diagnosis {
        /** There is no sign of a loss. */
        SOUND,
        /** The engine stopped producing output: evidence against the engine and its zone. */
        SILENT,
        /** Other attempts show that the engine or its zone is silent; this adds no evidence. */
        PROBABLY_LOST,
        /** The first output is long overdue: evidence against the engine alone. */
        OVERDUE
    }

    /** Records that all data received from engines up to a time has been processed. */
    void recordProcessedInput(long nanos) {
        mHasInput = true;
        mInputProcessedAt = nanos;
        mAwaitsInput = false;
    }

    /** Returns whether a diagnosis depends on input that may be received but unprocessed. */
    boolean awaitsInput() {
        return mAwaitsInput;
    }

    Diagnosis diagnose(StreamRun run, long nowNanos) {
        EngineState engine = run.engine();
        if (engine == null || !run.work().kind().isRepeatable()) {
            return Diagnosis.SOUND;
        }
        if (run.hasOutput()) {
            return isSilent(run.lastOutput(), mSpeed.silenceTimeoutNanos(), nowNanos)
                    ? Diagnosis.SILENT
                    : Diagnosis.SOUND;
        }
        if (mEngineView.isProbablyLost(engine, run.startedAt(), nowNanos)) {
            return Diagnosis.PROBABLY_LOST;
        }
        long expected = run.expectedAt() - run.startedAt();
        long timeout = Math.round(expected * OVERDUE_FACTOR) + OVERDUE_MARGIN_NANOS;
        boolean late =
                isSilent(run.startedAt(), timeout, nowNanos)
                        && !engine.hasOutputSince(nowNanos - timeout / 2);
        return late ? Diagnosis.OVERDUE : Diagnosis.SOUND;
    }

    /**
     * Returns whether no output has arrived for a time. An instance that was stalled has unread
     * output in its connections, so the time only counts once that has been processed.
     */
    private boolean isSilent(long sinceNanos, long timeoutNanos, long nowNanos) {
        if (nowNanos - sinceNanos <= timeoutNanos) {
            return false;
        }
        if (mHasInput && mInputProcessedAt - sinceNanos > timeoutNanos) {
            return true;
        }
        mAwaitsInput = true;
        return false;
    }
}
