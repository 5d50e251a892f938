package org.gentianwalk.standin.platform;

import java.time.Duration;
import java.util.Random;
import org.gentianwalk.core.time.Ticker;

/**
 * Faults of every kind with a given probability, and outages. With the same random source and the
 * same operations the faults are the same.
 *
 * <p>Example: {@code new RandomFaults(new Random(seed), 0.03, ticker)}
 */
public final class RandomFaults implements FaultHook {
    /** Longest delay of a late write: twice the wait for an owner or a lease. */
    private static final Duration MAX_DELAY = Duration.ofSeconds(20);

    private static final int KINDS = 4;

    private final Random mRandom;
    private final double mProbability;
    private final Ticker mTicker;
    private long mDownFromNanos;
    private long mDownToNanos;

    /**
     * Creates the hook.
     *
     * @param random the random source
     * @param probability share of operations that have a fault, outages aside
     * @param ticker the clock of outages
     */
    public RandomFaults(Random random, double probability, Ticker ticker) {
        mRandom = random;
        mProbability = probability;
        mTicker = ticker;
        mDownFromNanos = ticker.nanos();
        mDownToNanos = ticker.nanos();
    }

    /**
     * Sets the outage, in place of the one before.
     *
     * @param fromNanos its start on the clock
     * @param toNanos its end on the clock
     */
    public synchronized void outage(long fromNanos, long toNanos) {
        mDownFromNanos = fromNanos;
        mDownToNanos = toNanos;
    }

    /**
     * Tells whether there is an outage now.
     *
     * @return true while no operation succeeds
     */
    public synchronized boolean isDown() {
        long now = mTicker.nanos();
        return now - mDownFromNanos >= 0 && now - mDownToNanos < 0;
    }

    @Override
    public synchronized Fault next(Operation operation, String key) {
        if (isDown()) {
            return mRandom.nextBoolean() ? new Fault.Down() : new Fault.Refused();
        }
        if (mRandom.nextDouble() >= mProbability) {
            return Fault.NONE;
        }
        return switch (mRandom.nextInt(KINDS)) {
            case 0 -> new Fault.Down();
            case 1 -> new Fault.Refused();
            case 2 ->
                    new Fault.Late(Duration.ofMillis(mRandom.nextInt((int) MAX_DELAY.toMillis())));
            default -> new Fault.ResponseLost();
        };
    }
}
