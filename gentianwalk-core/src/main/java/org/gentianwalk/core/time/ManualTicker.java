package org.gentianwalk.core.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A ticker that is advanced explicitly, for virtual time in tests and simulations. */
public final class ManualTicker implements Ticker {
    private final AtomicLong mNanos = new AtomicLong();

    @Override
    public long nanos() {
        return mNanos.get();
    }

    /**
     * Advances the clock.
     *
     * @param step the duration to add, not negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("a monotonic clock can't go back by " + step);
        }
        mNanos.addAndGet(step.toNanos());
    }

    /**
     * Advances the clock to a reading.
     *
     * @param nanos the new reading, not less than the current one
     */
    public void advanceTo(long nanos) {
        if (nanos < mNanos.get()) {
            throw new IllegalArgumentException("a monotonic clock can't go back to " + nanos);
        }
        mNanos.set(nanos);
    }
}
