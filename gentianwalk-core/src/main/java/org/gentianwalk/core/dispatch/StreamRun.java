package org.gentianwalk.core.dispatch;

import org.jspecify.annotations.Nullable;

/** State of a generation in the scheduler. */
final class StreamRun {
    private final Work mWork;
    private final int mPromptTokens;
    private final int mMemory;
    private final long mPart;
    private final SuspectSubject mSubject;
    private int mAttempt;
    private int mRejections;
    private int mExecutions;
    private boolean mInterrupted;
    private boolean mSuspect;
    private String mPreviousEnd = "";
    private long mCacheWaitUntil;
    private boolean mCacheWait;

    // State of the running attempt.
    private @Nullable EngineState mEngine;
    private @Nullable EngineState mCopyHolder;
    private int mPrefillTokens;
    private long mStartedAt;
    private long mExpectedAt;
    private long mLastOutput;
    private boolean mHasOutput;
    private boolean mUncontended;

    StreamRun(Work work) {
        mWork = work;
        GenerationShape shape = work.generation();
        mPromptTokens = shape == null ? 0 : shape.promptTokens();
        mMemory = shape == null ? 0 : shape.promptTokens() + shape.expectedOutputTokens();
        mPart = shape == null || shape.parts().isEmpty() ? 0 : shape.parts().getLast().id();
        mSubject = SuspectSubject.of(shape);
        mInterrupted = work.eventsSeen() > 0;
    }

    Work work() {
        return mWork;
    }

    int promptTokens() {
        return mPromptTokens;
    }

    /** Returns the expected KV cache memory at the end of the output, tokens. */
    int memory() {
        return mMemory;
    }

    /** Returns the identifier of the last part of the prompt, or 0 if there is none. */
    long part() {
        return mPart;
    }

    /** Returns what the loss of an engine may be attributed to. */
    SuspectSubject subject() {
        return mSubject;
    }

    /**
     * Returns whether an engine was lost before the output of an attempt, and no output has
     * followed.
     */
    boolean isSuspect() {
        return mSuspect;
    }

    int attempt() {
        return mAttempt;
    }

    int rejections() {
        return mRejections;
    }

    int executions() {
        return mExecutions;
    }

    /** Returns whether the caller has already received a part of the answer. */
    boolean isInterrupted() {
        return mInterrupted;
    }

    @Nullable EngineState engine() {
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

    long lastOutput() {
        return mLastOutput;
    }

    /** Returns the time of the first output as estimated at the start of the attempt. */
    long expectedAt() {
        return mExpectedAt;
    }

    void recordStart(
            EngineState engine,
            @Nullable EngineState copyHolder,
            int prefillTokens,
            boolean uncontended,
            long expectedAt,
            long nowNanos) {
        mAttempt++;
        mEngine = engine;
        mCopyHolder = copyHolder;
        mPrefillTokens = prefillTokens;
        mUncontended = uncontended;
        mStartedAt = nowNanos;
        mExpectedAt = expectedAt;
        mLastOutput = nowNanos;
        mHasOutput = false;
        engine.putLoad(mWork.id(), load(true));
        if (copyHolder != null) {
            copyHolder.putLoad(-mWork.id(), EngineState.Load.copy(nowNanos, mMemory));
        }
    }

    /** Records output and returns whether it was the first of the attempt. */
    boolean recordOutput(long atNanos) {
        mLastOutput = atNanos;
        if (mHasOutput || mEngine == null) {
            return false;
        }
        mHasOutput = true;
        mSuspect = false;
        mEngine.putLoad(mWork.id(), load(false));
        return true;
    }

    /** Removes the load of the attempt from its engine, and that of its copy from the other. */
    void release() {
        if (mEngine != null) {
            mEngine.removeLoad(mWork.id());
            mEngine = null;
        }
        if (mCopyHolder != null) {
            mCopyHolder.removeLoad(-mWork.id());
            mCopyHolder = null;
        }
    }

    /** Keeps the generation in the queue until engines have answered the cache queries. */
    void startCacheWait(long untilNanos) {
        mCacheWait = true;
        mCacheWaitUntil = untilNanos;
    }

    boolean isInCacheWait(long nowNanos) {
        return mCacheWait && nowNanos - mCacheWaitUntil < 0;
    }

    void endCacheWait() {
        mCacheWait = false;
    }

    /** Returns how the previous attempt ended, for the log; empty before the first attempt. */
    String previousEnd() {
        return mPreviousEnd;
    }

    void recordEnd(AttemptEnd end, String cause) {
        mPreviousEnd = cause;
        if (end == AttemptEnd.REJECTED) {
            mRejections++;
        } else if (!end.isNotExecuted()) {
            mExecutions++;
            mInterrupted |= mHasOutput;
            mSuspect |= !mHasOutput;
        }
    }

    GenerationLoad reportedLoad(long nowNanos) {
        EngineState engine = mEngine;
        EngineState copyHolder = mCopyHolder;
        return new GenerationLoad(
                engine == null ? "" : engine.upstream().id(),
                mPart,
                mPrefillTokens,
                mMemory,
                (int) ((nowNanos - mStartedAt) / EngineState.NANOS_PER_MILLI),
                !mHasOutput,
                copyHolder == null ? "" : copyHolder.upstream().id(),
                mSuspect);
    }

    private EngineState.Load load(boolean prefilling) {
        return new EngineState.Load(
                mStartedAt, mPrefillTokens, mMemory, prefilling, false, mSuspect);
    }
}
