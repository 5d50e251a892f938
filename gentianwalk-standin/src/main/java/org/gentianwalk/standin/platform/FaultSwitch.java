package org.gentianwalk.standin.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A fault hook that a test sets while the stand-in is running.
 *
 * <p>Example: {@code switch.nextWrite(new Fault.ResponseLost())} loses the answer to the next
 * write.
 */
public final class FaultSwitch implements FaultHook {
    private final ConcurrentLinkedQueue<Fault> mNextWrites = new ConcurrentLinkedQueue<>();
    private volatile Fault mAll = Fault.NONE;

    /**
     * Makes every operation fail, or ends that.
     *
     * @param down true while the services do not answer
     */
    public void down(boolean down) {
        mAll = down ? new Fault.Down() : Fault.NONE;
    }

    /**
     * Delays every operation.
     *
     * @param delay the delay, zero for none
     */
    public void slow(Duration delay) {
        mAll = delay.isZero() ? Fault.NONE : new Fault.Slow(delay);
    }

    /**
     * Adds a fault for one write that has none yet.
     *
     * @param fault the fault of the next such write
     */
    public void nextWrite(Fault fault) {
        mNextWrites.add(fault);
    }

    @Override
    public Fault next(Operation operation, String key) {
        if (!(mAll instanceof Fault.None) || !operation.writes()) {
            return mAll;
        }
        return Optional.ofNullable(mNextWrites.poll()).orElse(Fault.NONE);
    }
}
