package org.gentianwalk.gateway;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntConsumer;
import org.gentianwalk.server.guard.FailureGuard;

/**
 * Ends the process: begins a graceful stop, and halts after a bound when the stop has not done so.
 * Its thread exists from the start, since none can be created without memory.
 */
final class ProcessEnd {
    private final IntConsumer mStop;
    private final long mLimitMillis;
    private final IntConsumer mHalt;
    private final FailureGuard mGuard;
    private final CountDownLatch mRequested = new CountDownLatch(1);
    private volatile int mStatus;

    /**
     * Creates an end that is not requested.
     *
     * @param stop begins a graceful stop, at the end of which the process halts with the given
     *     status; must return without waiting
     * @param limit time after the request at which the process is halted in any case
     * @param halt ends the process with a status
     * @param guard runs the parts by themselves
     */
    ProcessEnd(IntConsumer stop, Duration limit, IntConsumer halt, FailureGuard guard) {
        mStop = stop;
        mLimitMillis = limit.toMillis();
        mHalt = halt;
        mGuard = guard;
    }

    /** Starts to wait for a request. */
    void start() {
        Thread.ofPlatform().daemon().name("process-end").start(this::await);
    }

    /**
     * Requests the end; the first status counts. Returns without waiting.
     *
     * @param status exit status
     */
    void request(int status) {
        synchronized (this) {
            if (mRequested.getCount() > 0) {
                mStatus = status;
                mRequested.countDown();
            }
        }
    }

    private void await() {
        try {
            mRequested.await();
            int status = mStatus;
            mGuard.run("stop of the process", () -> mStop.accept(status));
            Thread.sleep(mLimitMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mHalt.accept(mStatus);
        }
    }
}
