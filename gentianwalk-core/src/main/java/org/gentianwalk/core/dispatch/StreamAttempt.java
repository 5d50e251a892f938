package org.gentianwalk.core.dispatch;

import org.jspecify.annotations.Nullable;

/** An attempt of a generation that is in progress at an engine. */
final class StreamAttempt {
    private final StreamRun mRun;
    private final int mNumber;
    private final EngineState mEngine;
    private final int mPrefillTokens;
    private final boolean mUncontended;
    private final long mStartedAt;
    private final long mExpectedAt;
    private @Nullable EngineState mCopyHolder;
    private long mLastOutput;
    private boolean mHasOutput;
    private LossDetector.Diagnosis mDiagnosis = LossDetector.Diagnosis.SOUND;
    private long mDiagnosedAt;
    private boolean mLossRecorded;
    private boolean mCancelled;

    /**
     * Creates an attempt and adds its load to its engine.
     *
     * @param run the generation
     * @param number number of the attempt, starting at 1
     * @param engine the engine
     * @param copyHolder engine that keeps a copy of the KV cache, or null
     * @param prefillTokens tokens to prefill before the first output
     * @param uncontended whether the engine had no prefill backlog
     * @param expectedAt estimated time of the first output
     * @param nowNanos current time
     */
    StreamAttempt(
            StreamRun run,
            int number,
            EngineState engine,
            @Nullable EngineState copyHolder,
            int prefillTokens,
            boolean uncontended,
            long expectedAt,
            long nowNanos) {
        mRun = run;
        mNumber = number;
        mEngine = engine;
        mCopyHolder = copyHolder;
        mPrefillTokens = prefillTokens;
        mUncontended = uncontended;
        mStartedAt = nowNanos;
        mExpectedAt = expectedAt;
        mLastOutput = nowNanos;
        engine.putLoad(id(), load(true));
        if (copyHolder != null) {
            copyHolder.putLoad(-id(), EngineState.Load.copy(nowNanos, run.memory()));
        }
    }

    StreamRun run() {
        return mRun;
    }

    int number() {
        return mNumber;
    }

    EngineState engine() {
        return mEngine;
    }

    @Nullable EngineState copyHolder() {
        return mCopyHolder;
    }

    boolean hasOutput() {
        return mHasOutput;
    }

    /** Returns whether the engine had no prefill backlog when the attempt started. */
    boolean isUncontended() {
        return mUncontended;
    }

    int prefillTokens() {
        return mPrefillTokens;
    }

    long startedAt() {
        return mStartedAt;
    }

    /** Returns the time of the last output, or of the start while there is none. */
    long lastOutput() {
        return mLastOutput;
    }

    /** Returns the time of the first output as estimated at the start of the attempt. */
    long expectedAt() {
        return mExpectedAt;
    }

    /** Returns the state of the attempt at the last call of the detector. */
    LossDetector.Diagnosis diagnosis() {
        return mDiagnosis;
    }

    /** Records the result of the detector and returns whether it has changed. */
    boolean recordDiagnosis(LossDetector.Diagnosis diagnosis, long nowNanos) {
        boolean changed = diagnosis != mDiagnosis;
        if (changed) {
            mDiagnosis = diagnosis;
            mDiagnosedAt = nowNanos;
        }
        return changed;
    }

    /**
     * Returns whether the engine is unresponsive, and checks have not shown yet that it stays so
     * for a time.
     */
    boolean isUnresponsiveWithin(long nanos) {
        return mDiagnosis == LossDetector.Diagnosis.UNRESPONSIVE
                && mEngine.silentAt() - mDiagnosedAt < nanos;
    }

    /** Records that the attempt is to be cancelled; returns whether that is new. */
    boolean markCancelled() {
        boolean first = !mCancelled;
        mCancelled = true;
        return first;
    }

    /** Records that the engine may be lost; returns whether that is new since the last output. */
    boolean recordPossibleLoss() {
        boolean first = !mLossRecorded;
        mLossRecorded = true;
        return first;
    }

    /** Records output and returns whether it was the first of the attempt. */
    boolean recordOutput(long atNanos) {
        mLastOutput = atNanos;
        mDiagnosis = LossDetector.Diagnosis.SOUND;
        mLossRecorded = false;
        if (mHasOutput) {
            return false;
        }
        mHasOutput = true;
        mEngine.putLoad(id(), load(false));
        return true;
    }

    /** Counts the time without output from now on. */
    void restartWait(long nowNanos) {
        mLastOutput = nowNanos;
        mDiagnosis = LossDetector.Diagnosis.SOUND;
    }

    /** Removes the load of the attempt from its engine, and that of its copy from the other. */
    void release() {
        mEngine.removeLoad(id());
        releaseCopy();
    }

    /** Removes the load of the copy, which another attempt uses up or nobody needs any more. */
    void releaseCopy() {
        if (mCopyHolder != null) {
            mCopyHolder.removeLoad(-id());
            mCopyHolder = null;
        }
    }

    GenerationLoad reportedLoad(long nowNanos) {
        EngineState copyHolder = mCopyHolder;
        return new GenerationLoad(
                mEngine.upstream().id(),
                mRun.part(),
                mPrefillTokens,
                mRun.memory(),
                (int) ((nowNanos - mStartedAt) / EngineState.NANOS_PER_MILLI),
                !mHasOutput,
                copyHolder == null ? "" : copyHolder.upstream().id(),
                mRun.isSuspect());
    }

    /** Returns the key of the load; attempts of the same generation are at different engines. */
    private long id() {
        return mRun.work().id();
    }

    private EngineState.Load load(boolean prefilling) {
        return new EngineState.Load(
                mStartedAt, mPrefillTokens, mRun.memory(), prefilling, false, mRun.isSuspect());
    }
}
