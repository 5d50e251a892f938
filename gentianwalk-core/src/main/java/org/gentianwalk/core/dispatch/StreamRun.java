package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** State of a generation in the scheduler: its attempts in progress and those that have ended. */
final class StreamRun {
    /** Minimum time between two searches for an engine beside silent ones; each costs time. */
    private static final long SEARCH_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

    /** Number of engines that may be lost under a request that is recognized by its content. */
    private static final int MAX_LOSSES = 2;

    private final Work mWork;
    private final int mPromptTokens;
    private final int mMemory;
    private final long mPart;
    private final SuspectSubject mSubject;
    private final List<StreamAttempt> mAttempts = new ArrayList<>();

    /** Processes of engines that may have executed the request in an attempt that has ended. */
    private final Set<String> mPreviousProcesses = new HashSet<>();

    /** The possible losses of engines whose connections closed under the request. */
    private final Set<LossEvidence.Outcome> mLosses = new HashSet<>();

    private int mStarted;
    private int mRejections;
    private int mExecutions;
    private boolean mInterrupted;
    private boolean mSuspect;
    private String mPreviousEnd = "";
    private long mCacheWaitUntil;
    private boolean mCacheWait;
    private boolean mDeliveryPaused;
    private boolean mAnsweredWithError;
    private boolean mHasSearched;
    private long mSearchedAt;

    StreamRun(Work work) {
        mWork = work;
        GenerationShape shape = work.generation();
        mPromptTokens = shape == null ? 0 : shape.promptTokens();
        mMemory = shape == null ? 0 : shape.promptTokens() + shape.expectedOutputTokens();
        mPart = shape == null || shape.parts().isEmpty() ? 0 : shape.parts().getLast().id();
        mSubject = SuspectSubject.ofGeneration(work);
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
     * Returns whether an engine was lost or silent before the output of an attempt, and no output
     * has followed.
     */
    boolean isSuspect() {
        return mSuspect;
    }

    void markSuspect() {
        mSuspect = true;
    }

    /** Records that the connection to an engine has closed before output of the request. */
    void recordLoss(LossEvidence.Outcome loss) {
        mLosses.add(loss);
    }

    /**
     * Returns whether the request waits until it is known whether two engines have ended under it,
     * since a further attempt could end a third one. A request with prompt parts does not wait: if
     * the engines ended for another reason, the output of its next attempt shows that it is sound.
     */
    boolean awaitsSettlement() {
        GenerationShape shape = mWork.generation();
        if (shape != null && !shape.parts().isEmpty()) {
            return false;
        }
        return mLosses.stream().filter(loss -> !loss.isRefuted()).count() >= MAX_LOSSES
                && mLosses.stream().anyMatch(loss -> !loss.isSettled());
    }

    /** Returns the attempts in progress, the oldest first. */
    List<StreamAttempt> attempts() {
        return mAttempts;
    }

    /** Returns the attempt in progress with a number, or null. */
    @Nullable StreamAttempt attempt(int number) {
        for (StreamAttempt attempt : mAttempts) {
            if (attempt.number() == number) {
                return attempt;
            }
        }
        return null;
    }

    boolean hasAttempts() {
        return !mAttempts.isEmpty();
    }

    int rejections() {
        return mRejections;
    }

    /** Returns the number of attempts that may have executed the request and were lost. */
    int executions() {
        return mExecutions;
    }

    /** Returns whether an engine may have executed the request, or executes it. */
    boolean mayHaveRun() {
        return hasAttempts() || !mPreviousProcesses.isEmpty();
    }

    /** Returns whether this is not the first attempt: one was lost, or one is without output. */
    boolean isRepeat() {
        return mayHaveRun();
    }

    /** Returns whether the caller has already received a part of the answer. */
    boolean isInterrupted() {
        return mInterrupted || hasOutput();
    }

    /** Returns whether an attempt in progress has produced output. */
    boolean hasOutput() {
        return mAttempts.stream().anyMatch(StreamAttempt::hasOutput);
    }

    /** Returns the time of the last output of the attempts in progress. */
    long lastOutput() {
        long last = mAttempts.getFirst().lastOutput();
        for (StreamAttempt attempt : mAttempts) {
            last = attempt.lastOutput() - last > 0 ? attempt.lastOutput() : last;
        }
        return last;
    }

    /** Returns whether no attempt in progress is sound. */
    boolean isUnattended() {
        return mAttempts.stream()
                .noneMatch(attempt -> attempt.diagnosis() == LossDetector.Diagnosis.SOUND);
    }

    /**
     * Returns whether the next attempt may go to an engine: none is in progress there, and the
     * request has not reached too many others.
     *
     * @param engine the engine
     * @param reserved number of engines to keep for attempts after a loss
     */
    boolean mayUse(EngineState engine, int reserved) {
        Set<String> processes = new HashSet<>(mPreviousProcesses);
        for (StreamAttempt attempt : mAttempts) {
            processes.add(attempt.engine().upstream().process());
            if (attempt.engine().upstream().process().equals(engine.upstream().process())) {
                return false;
            }
        }
        return processes.contains(engine.upstream().process())
                || processes.size() + reserved < Math.max(1, mWork.maxAttempts());
    }

    /** Returns whether a request without attempts in progress may reach a further engine. */
    boolean mayUseFurtherEngines() {
        return mPreviousProcesses.size() < Math.max(1, mWork.maxAttempts());
    }

    /**
     * Returns whether another attempt may start beside those in progress, which count as well as
     * those that were lost.
     *
     * @param maxRejections number of rejections by engines after which none may start
     */
    boolean mayStartBeside(int maxRejections) {
        return mRejections < maxRejections && mExecutions + mAttempts.size() < mWork.maxAttempts();
    }

    /** Starts a search for a further engine unless the last one was a short time ago. */
    boolean startSearch(long nowNanos) {
        if (mHasSearched && nowNanos - mSearchedAt < SEARCH_INTERVAL_NANOS) {
            return false;
        }
        mHasSearched = true;
        mSearchedAt = nowNanos;
        return true;
    }

    /** Returns whether the last attempt that has ended was answered with an error. */
    boolean isAnsweredWithError() {
        return mAnsweredWithError;
    }

    /** Returns whether an engine keeps a copy for an attempt in progress. */
    boolean hasCopyAt(EngineState engine) {
        return mAttempts.stream().anyMatch(attempt -> attempt.copyHolder() == engine);
    }

    /** Returns the number of the next attempt. */
    int nextAttempt() {
        return mStarted + 1;
    }

    void recordStart(StreamAttempt attempt) {
        mStarted = attempt.number();
        mAttempts.add(attempt);
    }

    /** Records output of an attempt and returns whether it was its first. */
    boolean recordOutput(StreamAttempt attempt, long atNanos) {
        mSuspect = false;
        return attempt.recordOutput(atNanos);
    }

    /** Returns whether the output of the attempts is not read, so that its absence is no sign. */
    boolean isDeliveryPaused() {
        return mDeliveryPaused;
    }

    /** Records a change of {@link #isDeliveryPaused}; after it, output is expected as before. */
    void recordDeliveryPause(boolean paused, long nowNanos) {
        mDeliveryPaused = paused;
        mAttempts.forEach(attempt -> attempt.restartWait(nowNanos));
    }

    /** Ends all attempts in progress. */
    void release() {
        mAttempts.forEach(StreamAttempt::release);
        mAttempts.clear();
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

    void recordEnd(StreamAttempt attempt, AttemptEnd end, String cause) {
        attempt.release();
        mAttempts.remove(attempt);
        mPreviousEnd = cause;
        mAnsweredWithError =
                end == AttemptEnd.ANSWERED_ERROR || mAnsweredWithError && hasAttempts();
        if (end == AttemptEnd.REJECTED) {
            mRejections++;
        } else if (!end.isNotExecuted()) {
            mPreviousProcesses.add(attempt.engine().upstream().process());
            mInterrupted |= attempt.hasOutput();
            if (end != AttemptEnd.SUPERSEDED) {
                mExecutions++;
                mSuspect |= end != AttemptEnd.GARBLED && !attempt.hasOutput();
            }
        }
    }
}
