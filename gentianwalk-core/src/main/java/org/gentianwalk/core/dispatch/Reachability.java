package org.gentianwalk.core.dispatch;

import java.time.Duration;

/**
 * Tracks failed attempts at an upstream. After a failure the upstream is avoided for a backoff time
 * that doubles with each further failure; a success ends the backoff.
 */
final class Reachability {
    private static final long FIRST_REST_NANOS = Duration.ofMillis(150).toNanos();
    private static final long LONGEST_REST_NANOS = Duration.ofMillis(1200).toNanos();

    private int mFailures;
    private long mRestUntil;
    private boolean mResting;

    /** Records that a connection could not be established or broke during a request. */
    void failed(long nowNanos) {
        if (mResting && nowNanos - mRestUntil < 0) {
            // Requests that fail at the same time count as one failure.
            return;
        }
        long rest = FIRST_REST_NANOS << Math.min(mFailures, 8);
        mFailures++;
        mRestUntil = nowNanos + Math.min(rest, LONGEST_REST_NANOS);
        mResting = true;
    }

    void succeeded() {
        mFailures = 0;
        mResting = false;
    }

    boolean isResting(long nowNanos) {
        return mResting && nowNanos - mRestUntil < 0;
    }

    /** Returns whether the last attempt failed, even if the backoff time has passed. */
    boolean isDoubtful() {
        return mResting;
    }

    long restUntil() {
        return mRestUntil;
    }
}
