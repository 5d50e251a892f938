package org.gentianwalk.core.dispatch;

import java.time.Duration;

/**
 * Whether an upstream is worth a try, by the attempts at it. After a failure it rests for a time
 * that doubles with each further one; a success ends the rest.
 */
final class Reachability {
    private static final long FIRST_REST_NANOS = Duration.ofMillis(150).toNanos();
    private static final long LONGEST_REST_NANOS = Duration.ofMillis(1200).toNanos();

    private int mFailures;
    private long mRestUntil;
    private boolean mResting;

    /** Records that no connection could be made, or that one broke under a request. */
    void failed(long nowNanos) {
        if (mResting && nowNanos - mRestUntil < 0) {
            // Requests that failed together count once.
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

    /** Tells whether the last attempt failed, also after the rest. */
    boolean isDoubtful() {
        return mResting;
    }

    long restUntil() {
        return mRestUntil;
    }
}
