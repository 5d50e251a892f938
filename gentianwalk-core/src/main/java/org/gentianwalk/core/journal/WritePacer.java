package org.gentianwalk.core.journal;

import java.time.Duration;

/**
 * Limits the rate of the writes that resolve rows in the background, so that the rows left by an
 * outage do not use up the store's write rate when it has recovered. This class is thread-safe.
 */
public final class WritePacer {
    /** Keeps 350 instances together below half of the store's several hundred writes a second. */
    private static final long INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

    private long mNextNanos = Long.MIN_VALUE;

    /**
     * Reserves the time of one write.
     *
     * @param nowNanos the monotonic clock
     * @return the clock's reading at which the write may start
     */
    public synchronized long reserve(long nowNanos) {
        boolean idle = mNextNanos == Long.MIN_VALUE || mNextNanos - nowNanos < 0;
        long slot = idle ? nowNanos : mNextNanos;
        mNextNanos = slot + INTERVAL_NANOS;
        return slot;
    }
}
