package org.gentianwalk.scenario;

import java.time.Duration;

/** Time since the start of a run, on the observer's monotonic clock. */
final class RunClock {
    private final long mStart = System.nanoTime();

    long nanos() {
        return System.nanoTime() - mStart;
    }

    void sleepUntil(Duration time) throws InterruptedException {
        long left = time.toNanos() - nanos();
        if (left > 0) {
            Thread.sleep(Duration.ofNanos(left));
        }
    }
}
