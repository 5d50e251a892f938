package org.gentianwalk.core.dispatch;

import java.time.Duration;

/** Finds out which attempts at engines are lost although no connection has broken. */
final class LossDetector {
    /**
     * Time after which a first output is overdue. Prompts before it may be longer than other
     * instances have told yet, so it is far above the expected one; a lost engine is mostly found
     * out sooner, by what it owes to other generations.
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

    /** What is known of an attempt. */
    enum Finding {
        /** Nothing speaks for a loss. */
        SOUND,
        /** The engine has stopped to bring output: evidence against the engine and its zone. */
        SILENT,
        /** Others have found the engine or its zone silent; this adds no evidence. */
        PROBABLY_LOST,
        /** The first output is long overdue: evidence against the engine alone. */
        OVERDUE
    }

    /** Records that everything that had arrived from engines at a time has been taken in. */
    void inputTaken(long nanos) {
        mHasInput = true;
        mInputTaken = nanos;
        mAwaitsInput = false;
    }

    /** Tells whether a finding depends on input that may have arrived without being taken in. */
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
     * Tells whether nothing has arrived for a time. An instance that was held up has output waiting
     * in its connections, so the time only counts once that has been read.
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
