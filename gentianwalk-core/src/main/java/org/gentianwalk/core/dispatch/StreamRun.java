package org.gentianwalk.core.dispatch;

import org.jspecify.annotations.Nullable;

/** State of a generation in the scheduler. */
final class StreamRun {
    private final Work mWork;
    private final int mPromptTokens;
    private final int mMemory;
    private final long mPart;
    private int mAttempt;
    private int mRejected;
    private int mRan;
    private boolean mInterrupted;
    private String mEnded = "";
    private long mAskingUntil;
    private boolean mAsking;

    // State of the running attempt.
    private @Nullable EngineState mEngine;
    private @Nullable EngineState mKeeper;
    private int mToRead;
    private long mStartedAt;
    private long mExpectedAt;
    private long mLastOutput;
    private boolean mHasOutput;
    private boolean mAlone;

    StreamRun(Work work) {
        mWork = work;
        GenerationShape shape = work.generation();
        mPromptTokens = shape == null ? 0 : shape.promptTokens();
        mMemory = shape == null ? 0 : shape.promptTokens() + shape.expectedOutputTokens();
        mPart = shape == null || shape.parts().isEmpty() ? 0 : shape.parts().getLast().id();
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

    int attempt() {
        return mAttempt;
    }

    int rejected() {
        return mRejected;
    }

    int ran() {
        return mRan;
    }

    /** Returns whether the caller has already received a part of the answer. */
    boolean isInterrupted() {
        return mInterrupted;
    }

    @Nullable EngineState engine() {
        return mEngine;
    }

    @Nullable EngineState keeper() {
        return mKeeper;
    }

    boolean hasOutput() {
        return mHasOutput;
    }

    /** Returns whether the engine had no prefill backlog when the attempt started. */
    boolean isAlone() {
        return mAlone;
    }

    int toRead() {
        return mToRead;
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

    void started(
            EngineState engine,
            @Nullable EngineState keeper,
            int toRead,
            boolean alone,
            long expectedAt,
            long nowNanos) {
        mAttempt++;
        mEngine = engine;
        mKeeper = keeper;
        mToRead = toRead;
        mAlone = alone;
        mStartedAt = nowNanos;
        mExpectedAt = expectedAt;
        mLastOutput = nowNanos;
        mHasOutput = false;
        engine.own(mWork.id(), load(true));
        if (keeper != null) {
            keeper.own(-mWork.id(), new EngineState.Load(nowNanos, 0, mMemory, false, true));
        }
    }

    /** Records output and returns whether it was the first of the attempt. */
    boolean progressed(long atNanos) {
        mLastOutput = atNanos;
        if (mHasOutput || mEngine == null) {
            return false;
        }
        mHasOutput = true;
        mEngine.own(mWork.id(), load(false));
        return true;
    }

    /** Removes the load of the attempt from its engine and that of the copy from the keeper. */
    void released() {
        if (mEngine != null) {
            mEngine.withoutOwn(mWork.id());
            mEngine = null;
        }
        if (mKeeper != null) {
            mKeeper.withoutOwn(-mWork.id());
            mKeeper = null;
        }
    }

    /** Keeps the generation in the queue until engines have answered the cache queries. */
    void asks(long untilNanos) {
        mAsking = true;
        mAskingUntil = untilNanos;
    }

    boolean isAsking(long nowNanos) {
        return mAsking && nowNanos - mAskingUntil < 0;
    }

    void asked() {
        mAsking = false;
    }

    /** Returns how the previous attempt ended, for the log; empty before the first attempt. */
    String before() {
        return mEnded;
    }

    void ended(AttemptEnd end, String why) {
        mEnded = why;
        if (end == AttemptEnd.REJECTED) {
            mRejected++;
        } else if (!end.isNotRun()) {
            mRan++;
            mInterrupted |= mHasOutput;
        }
    }

    RunShare share(long nowNanos) {
        EngineState engine = mEngine;
        EngineState keeper = mKeeper;
        return new RunShare(
                engine == null ? "" : engine.upstream().id(),
                mPart,
                mToRead,
                mMemory,
                (int) ((nowNanos - mStartedAt) / EngineState.NANOS_PER_MILLI),
                !mHasOutput,
                keeper == null ? "" : keeper.upstream().id());
    }

    private EngineState.Load load(boolean reading) {
        return new EngineState.Load(mStartedAt, mToRead, mMemory, reading, false);
    }
}
