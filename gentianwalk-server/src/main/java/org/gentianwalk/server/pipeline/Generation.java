package org.gentianwalk.server.pipeline;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.GenerationState.LineageEntry;
import org.gentianwalk.core.replica.GenerationState.Token;
import org.gentianwalk.core.replica.ReplicaService;
import org.jspecify.annotations.Nullable;

/**
 * A generation that this instance runs or has run: its output, its current attempt and the number
 * of its readers, which are callers' connections. A token is held once an engine has sent it, and
 * released once the replica service allows it; readers see only released tokens.
 */
public final class Generation {
    /** Result of appending an attempt's tokens. */
    enum AppendResult {
        OK,
        /** The tokens belong to an older attempt or an ended generation. */
        STALE,
        /** The engine skipped a position. */
        GAP,
        /** The engine sent a different token, or the end, at a position that is already held. */
        DIVERGED,
        /** The engine sent more tokens than the maximum; the excess is dropped. */
        FULL
    }

    // Serializes the calls of the replica session; acquired before mLock.
    private final ReentrantLock mSessionLock = new ReentrantLock();
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final AtomicInteger mUnreportedTokens = new AtomicInteger();
    private final String mInstance;
    private final long mCreatedEpochSeconds = System.currentTimeMillis() / 1000;

    private volatile GenerationRequest mRequest;
    private TokenLog mLog;
    private int mReleased;
    private boolean mRestored;
    private boolean mSent;
    private @Nullable GenerationEnd mEnd;
    private @Nullable String mFinishReason;
    private ReplicaService.@Nullable Session mSession;
    private @Nullable AttemptRunner mRunner;
    private int mReaders;
    private long mUnreadSinceNanos;

    Generation(GenerationRequest request, String instance, long nowNanos) {
        mRequest = request;
        mInstance = instance;
        mUnreadSinceNanos = nowNanos;
        mLog = new TokenLog(List.of(), request.initialState(instance).lineage());
    }

    GenerationRequest request() {
        return mRequest;
    }

    long createdEpochSeconds() {
        return mCreatedEpochSeconds;
    }

    /** Restores the state of a generation that was taken over from another instance. */
    void restore(GenerationRequest request, GenerationState state) {
        withLock(
                () -> {
                    mRequest = request;
                    mLog = new TokenLog(state.tokens(), state.lineage());
                    mReleased = state.tokens().size();
                    mRestored = true;
                    mSent = true;
                    if (state.finishReason() != null) {
                        mFinishReason = state.finishReason();
                        mEnd = new GenerationEnd.Finished(state.finishReason());
                    }
                    mChanged.signalAll();
                });
    }

    /** Waits for released tokens beyond a position, or for the end. */
    GenerationBatch next(int position, long timeoutNanos) throws InterruptedException {
        mLock.lockInterruptibly();
        try {
            long left = timeoutNanos;
            while (mReleased <= position && mEnd == null && left > 0) {
                left = mChanged.awaitNanos(left);
            }
            int from = Math.min(position, mReleased);
            return new GenerationBatch(
                    from, mLog.copy(from, mReleased), mLog.attemptBefore(mReleased), mEnd);
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether a caller's last event belongs to this output. */
    boolean covers(int attempt, int position) {
        mLock.lock();
        try {
            return position <= mReleased && mLog.covers(attempt, position);
        } finally {
            mLock.unlock();
        }
    }

    /** Opens the replica session if there is none, and makes the attempt the current one. */
    AttemptStart begin(int attempt, AttemptRunner runner, ReplicaService replicas) {
        mSessionLock.lock();
        try {
            if (isEnded()) {
                return new AttemptStart(List.of(), false);
            }
            ReplicaService.Session session = mSession;
            if (session == null) {
                session = replicas.open(state(), new ReleaseListener(this));
                mSession = session;
            }
            int start = intWithLock(() -> mLog.size());
            if (attempt > intWithLock(() -> mLog.attempt())) {
                session.nextAttempt(attempt, start);
                withLock(() -> mLog.addAttempt(new LineageEntry(attempt, start, mInstance)));
            }
            mLock.lock();
            try {
                mSent = true;
                mRunner = runner;
                return new AttemptStart(mLog.copy(0, start), mEnd == null);
            } finally {
                mLock.unlock();
            }
        } finally {
            mSessionLock.unlock();
        }
    }

    /** Appends tokens of an attempt, starting at a position. */
    AppendResult append(int attempt, int position, List<Token> tokens) {
        mSessionLock.lock();
        try {
            int held;
            List<Token> added;
            boolean full;
            mLock.lock();
            try {
                held = mLog.size();
                if (mEnd != null || mFinishReason != null || attempt != mLog.attempt()) {
                    return AppendResult.STALE;
                }
                if (position > held) {
                    return AppendResult.GAP;
                }
                int overlap = Math.min(held - position, tokens.size());
                for (int i = 0; i < overlap; i++) {
                    if (mLog.tokenAt(position + i).id() != tokens.get(i).id()) {
                        return AppendResult.DIVERGED;
                    }
                }
                int end = Math.min(tokens.size(), mRequest.maxTokens() - position);
                added = overlap >= end ? List.of() : List.copyOf(tokens.subList(overlap, end));
                mLog.add(added);
                full = position + tokens.size() > mRequest.maxTokens();
            } finally {
                mLock.unlock();
            }
            if (!added.isEmpty() && mSession != null) {
                mUnreportedTokens.addAndGet(added.size());
                mSession.append(held, added);
            }
            return full ? AppendResult.FULL : AppendResult.OK;
        } finally {
            mSessionLock.unlock();
        }
    }

    /**
     * Ends the generation after its last token, unless the attempt is not the current one, or ends
     * before tokens that an earlier attempt has sent.
     *
     * @param attempt the attempt
     * @param position number of tokens at the end of its output
     * @param reason the finish reason
     */
    AppendResult finish(int attempt, int position, String reason) {
        mSessionLock.lock();
        try {
            mLock.lock();
            try {
                if (mEnd != null || mFinishReason != null || attempt != mLog.attempt()) {
                    return AppendResult.STALE;
                }
                if (position < mLog.size()) {
                    return AppendResult.DIVERGED;
                }
                mFinishReason = reason;
                mRunner = null;
            } finally {
                mLock.unlock();
            }
            if (mSession != null) {
                mSession.finish(reason);
            }
            return AppendResult.OK;
        } finally {
            mSessionLock.unlock();
        }
    }

    /** Ends the generation with an error, stops its attempt and abandons its replicas. */
    boolean fail(ServeError error) {
        ReplicaService.Session session;
        AttemptRunner runner;
        mLock.lock();
        try {
            if (mEnd != null) {
                return false;
            }
            mEnd = new GenerationEnd.Failed(adjustOutcome(error));
            session = mSession;
            runner = mRunner;
            mRunner = null;
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
        if (runner != null) {
            runner.abort();
        }
        if (session != null) {
            session.abandon();
        }
        return true;
    }

    /** Stops the current attempt without ending the generation. */
    void stopAttempt() {
        mLock.lock();
        AttemptRunner runner = mRunner;
        mRunner = null;
        mLock.unlock();
        if (runner != null) {
            runner.abort();
        }
    }

    void release(int position, boolean finished) {
        withLock(
                () -> {
                    mReleased = Math.max(mReleased, Math.min(position, mLog.size()));
                    if (finished && mEnd == null && mFinishReason != null) {
                        mEnd = new GenerationEnd.Finished(mFinishReason);
                    }
                    mChanged.signalAll();
                });
    }

    void markTakenOver() {
        withLock(
                () -> {
                    if (mEnd == null) {
                        mEnd = new GenerationEnd.TakenOver();
                    }
                    mChanged.signalAll();
                });
        stopAttempt();
    }

    void attachReader() {
        withLock(() -> mReaders++);
    }

    /** Removes a reader; returns whether it was the last one of a generation that has not ended. */
    boolean detachReader(long nowNanos) {
        mLock.lock();
        try {
            mReaders--;
            mUnreadSinceNanos = nowNanos;
            return mReaders == 0 && mEnd == null;
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether the generation has had no reader for a time. */
    boolean isUnreadFor(long nanos, long nowNanos) {
        mLock.lock();
        try {
            return mReaders == 0 && nowNanos - mUnreadSinceNanos >= nanos;
        } finally {
            mLock.unlock();
        }
    }

    boolean isEnded() {
        return end() != null;
    }

    @Nullable GenerationEnd end() {
        mLock.lock();
        try {
            return mEnd;
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether the request was sent to an engine. */
    boolean isSent() {
        mLock.lock();
        try {
            return mSent;
        } finally {
            mLock.unlock();
        }
    }

    boolean isRestored() {
        mLock.lock();
        try {
            return mRestored;
        } finally {
            mLock.unlock();
        }
    }

    @Nullable AttemptRunner runner() {
        mLock.lock();
        try {
            return mRunner;
        } finally {
            mLock.unlock();
        }
    }

    /** Makes an attempt the current one before it starts; its thread calls {@link #begin}. */
    void runner(AttemptRunner runner) {
        withLock(() -> mRunner = runner);
    }

    int attempt() {
        return intWithLock(() -> mLog.attempt());
    }

    int attempts() {
        return intWithLock(() -> mLog.attempts());
    }

    int tokens() {
        return intWithLock(() -> mLog.size());
    }

    int releasedTokens() {
        return intWithLock(() -> mReleased);
    }

    /** Returns the approximate heap use of the generation, in bytes. */
    long bytes() {
        mLock.lock();
        try {
            // A token takes about 64 bytes of heap in addition to its text.
            return 2L * mRequest.body().length + 64L * mLog.size() + mLog.textChars();
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the number of tokens appended since the last call. */
    int takeUnreportedTokens() {
        return mUnreportedTokens.getAndSet(0);
    }

    private GenerationState state() {
        mLock.lock();
        try {
            GenerationState initial = mRequest.initialState(mInstance);
            return new GenerationState(
                    initial.key(),
                    initial.requestDigest(),
                    initial.request(),
                    initial.model(),
                    initial.kind(),
                    initial.rank(),
                    initial.seed(),
                    initial.deadlineEpochMillis(),
                    mLog.lineage(),
                    mLog.copy(0, mLog.size()),
                    null);
        } finally {
            mLock.unlock();
        }
    }

    // Work that was sent to an engine must not be reported as not run.
    private ServeError adjustOutcome(ServeError error) {
        if (!mSent || error.outcome() != Outcome.NOT_RUN) {
            return error;
        }
        if (error instanceof ServeError.Refused && error.kind() != ErrorKind.CRASHING_REQUEST) {
            return ServeError.failed(
                    ErrorKind.UPSTREAM_FAILED, Outcome.STOPPED, error.kind().code());
        }
        return new ServeError.Failed(error.kind(), error.message(), Outcome.STOPPED);
    }

    private void withLock(Runnable action) {
        mLock.lock();
        try {
            action.run();
        } finally {
            mLock.unlock();
        }
    }

    private int intWithLock(java.util.function.IntSupplier supplier) {
        mLock.lock();
        try {
            return supplier.getAsInt();
        } finally {
            mLock.unlock();
        }
    }
}
