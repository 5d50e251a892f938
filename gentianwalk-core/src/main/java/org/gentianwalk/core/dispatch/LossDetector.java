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

    private final EngineBoard mBoard;
    private final EnginePace mPace;
    private boolean mAwaitsInput;
    private boolean mHasInput;
    private long mInputTaken;

    LossDetector(EngineBoard board, EnginePace pace) {
        mBoard = board;
        mPace = pace;
    }

    /** State of an attempt. */
    enum Finding {
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
    void inputTaken(long nanos) {
        mHasInput = true;
        mInputTaken = nanos;
        mAwaitsInput = false;
    }

    /** Returns whether a diagnosis depends on input that may be received but unprocessed. */
    boolean awaitsInput() {
        return mAwaitsInput;
    }

    Finding judge(StreamRun run, long nowNanos) {
        EngineState engine = run.engine();
        if (engine == null || !run.work().kind().isRepeatable()) {
            return Finding.SOUND;
        }
        if (run.hasOutput()) {
            return isSilent(run.lastOutput(), mPace.silenceNanos(), nowNanos)
                    ? Finding.SILENT
                    : Finding.SOUND;
        }
        if (mBoard.isProbablyLost(engine, run.startedAt(), nowNanos)) {
            return Finding.PROBABLY_LOST;
        }
        long expected = run.expectedAt() - run.startedAt();
        long overdue = Math.round(expected * OVERDUE_FACTOR) + OVERDUE_MARGIN_NANOS;
        boolean late =
                isSilent(run.startedAt(), overdue, nowNanos)
                        && !engine.hasOutputSince(nowNanos - overdue / 2);
        return late ? Finding.OVERDUE : Finding.SOUND;
    }

    /**
     * Returns whether no output has arrived for a time. An instance that was stalled has unread
     * output in its connections, so the time only counts once that has been processed.
     */
    private boolean isSilent(long sinceNanos, long boundNanos, long nowNanos) {
        if (nowNanos - sinceNanos <= boundNanos) {
            return false;
        }
        if (mHasInput && mInputTaken - sinceNanos > boundNanos) {
            return true;
        }
        mAwaitsInput = true;
        return false;
    }
}
