package org.gentianwalk.core.dispatch;

import java.time.Duration;

/**
 * Tracks failed attempts at an upstream. After a failure the upstream is avoided for a backoff time
 * that doubles with each further failure; a success ends the backoff.
 */
final class Reachability {
    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(150).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofMillis(1200).toNanos();

    private int mFailures;
    private long mBackoffUntil;
    private boolean mFailing;

    /** Records that a connection could not be established or broke during a request. */
    void recordFailure(long nowNanos) {
        if (mFailing && nowNanos - mBackoffUntil < 0) {
            // Requests that fail at the same time count as one failure.
            return;
        }
        long backoff = INITIAL_BACKOFF_NANOS << Math.min(mFailures, 8);
        mFailures++;
        mBackoffUntil = nowNanos + Math.min(backoff, MAX_BACKOFF_NANOS);
        mFailing = true;
    }

    void recordSuccess() {
        mFailures = 0;
        mFailing = false;
    }

    boolean isBackingOff(long nowNanos) {
        return mFailing && nowNanos - mBackoffUntil < 0;
    }

    /** Returns whether the last attempt failed, even if the backoff time has passed. */
    boolean isFailing() {
        return mFailing;
    }

    long backoffUntil() {
        return mBackoffUntil;
    }
}
