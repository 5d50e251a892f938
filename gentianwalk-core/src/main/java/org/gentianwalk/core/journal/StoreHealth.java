package org.gentianwalk.core.journal;

import java.time.Duration;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.WriteResult;

/**
 * A circuit breaker that decides whether a new call may use the store. While the store does not
 * answer, each further intent would leave a row in an unknown state, to be resolved by another
 * write later. Calls are therefore refused before anything is written, apart from periodic probes.
 *
 * <p>This class is thread-safe.
 */
public final class StoreHealth {
    /** Consecutive failures after which the store counts as down; fewer may be lost answers. */
    private static final int FAILURE_THRESHOLD = 3;

    /**
     * Interval between probes; 350 instances send 70 a second, a sixth of the store's write rate.
     */
    private static final long PROBE_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    private int mFailures;
    private long mNextProbeNanos;

    /**
     * Returns whether a new call may use the store. While it is down, one call per probe interval
     * may.
     *
     * @param nowNanos the monotonic clock
     * @return true when the call may write its intent
     */
    public synchronized boolean isUsable(long nowNanos) {
        if (mFailures < FAILURE_THRESHOLD) {
            return true;
        }
        if (nowNanos - mNextProbeNanos < 0) {
            return false;
        }
        mNextProbeNanos = nowNanos + PROBE_INTERVAL_NANOS;
        return true;
    }

    /**
     * Records the result of an operation.
     *
     * @param answered false when the store did not answer
     * @param nowNanos the monotonic clock
     */
    public synchronized void report(boolean answered, long nowNanos) {
        if (answered) {
            mFailures = 0;
            return;
        }
        mFailures++;
        if (mFailures == FAILURE_THRESHOLD) {
            mNextProbeNanos = nowNanos + PROBE_INTERVAL_NANOS;
        }
    }

    /**
     * Records the result of an operation from its event.
     *
     * @param event an event; only results of reads and writes count
     * @param nowNanos the monotonic clock
     */
    public void report(CallEvent event, long nowNanos) {
        switch (event) {
            case CallEvent.WriteReturned write ->
                    report(
                            write.result() instanceof WriteResult.Written
                                    || write.result() instanceof WriteResult.Conflict,
                            nowNanos);
            case CallEvent.ReadReturned read ->
                    report(!(read.result() instanceof ReadResult.Unavailable), nowNanos);
            default -> {}
        }
    }
}
