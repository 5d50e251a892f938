package org.gentianwalk.standin.engine;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Faults that a test injects into a running engine stand-in. */
public final class Faults {
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mResumed = mLock.newCondition();
    private final AtomicLong mTokensUntilDeath = new AtomicLong(Long.MAX_VALUE);
    private volatile @Nullable String mCrashMarker;
    private volatile Consumer<String> mStartObserver = prompt -> {};
    private boolean mPaused;
    private volatile boolean mStalled;
    private volatile boolean mRefusing;
    private volatile boolean mDraining;
    private volatile boolean mFencingIgnored;

    Faults() {}

    /**
     * Kills the engine after a number of output tokens, counted over all its generations.
     *
     * @param tokens tokens still sent, from 0
     */
    public void dieAfterTokens(long tokens) {
        mTokensUntilDeath.set(tokens);
    }

    /**
     * Makes the engine die whenever it runs a request whose prompt contains a text.
     *
     * @param marker the text
     */
    public void crashOn(String marker) {
        mCrashMarker = marker;
    }

    /**
     * Sets what is told the prompt of each generation that starts. Called on the engine's threads.
     *
     * @param observer takes the prompt's text
     */
    public void onStart(Consumer<String> observer) {
        mStartObserver = observer;
    }

    /** Stops everything, also the answers to probes, until {@link #resume}. */
    public void pause() {
        mLock.lock();
        try {
            mPaused = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Ends a pause. */
    public void resume() {
        mLock.lock();
        try {
            mPaused = false;
            mResumed.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Keeps generations from producing tokens while probes are still answered.
     *
     * @param stalled true to stop the output
     */
    public void stall(boolean stalled) {
        mStalled = stalled;
    }

    /**
     * Makes the engine refuse new generations with 503.
     *
     * @param refusing true to refuse
     */
    public void refuse(boolean refusing) {
        mRefusing = refusing;
    }

    /**
     * Announces that the engine is leaving: it refuses new generations and finishes running ones.
     *
     * @param draining true to announce it
     */
    public void drain(boolean draining) {
        mDraining = draining;
    }

    /**
     * Makes the engine accept orders with old fencing numbers.
     *
     * @param ignored true to ignore the number
     */
    public void ignoreFencing(boolean ignored) {
        mFencingIgnored = ignored;
    }

    boolean isStalled() {
        return mStalled;
    }

    boolean isRefusing() {
        return mRefusing || mDraining;
    }

    boolean isDraining() {
        return mDraining;
    }

    boolean isFencingIgnored() {
        return mFencingIgnored;
    }

    void clear() {
        mTokensUntilDeath.set(Long.MAX_VALUE);
        mStalled = false;
        mRefusing = false;
        mDraining = false;
        resume();
    }

    /** Tells the observer of a start; true when the request kills the engine. */
    boolean starts(String prompt) {
        mStartObserver.accept(prompt);
        String marker = mCrashMarker;
        return marker != null && prompt.contains(marker);
    }

    /** Counts tokens about to be sent; true when the engine dies before sending them. */
    boolean diesBefore(int tokens) {
        return mTokensUntilDeath.addAndGet(-tokens) < 0;
    }

    void awaitRunning() throws InterruptedException {
        mLock.lock();
        try {
            while (mPaused) {
                mResumed.await();
            }
        } finally {
            mLock.unlock();
        }
    }
}
