package org.gentianwalk.core.lease;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether the holder of a lease may send an order to an engine. An engine with fencing
 * refuses a stale token itself. For an engine without fencing, a new holder waits until the
 * previous holder can no longer act, even after a pause.
 *
 * <p>Example: {@code gate.decide(engine.supports(FENCING), holder.term(now), now)}
 */
public final class OrderGate {
    private final long mWaitNanos;

    /** Whether an order may be sent. */
    public sealed interface Decision {
        /**
         * The order may be sent.
         *
         * @param fencing token that goes with the order
         * @param notAfterNanos reading of the monotonic clock after which it must not be sent
         */
        record Send(long fencing, long notAfterNanos) implements Decision {}

        /** The order may be sent later, if the lease is still held then. */
        record Wait(long untilNanos) implements Decision {}

        /** This instance does not hold the lease. */
        record NotHolder() implements Decision {}
    }

    /** Creates a gate that waits for the duration of a lease plus the pause bound. */
    public OrderGate() {
        this(LeaseRules.DURATION.plus(LeaseRules.PAUSE_BOUND));
    }

    /**
     * Creates a gate.
     *
     * @param wait time from the start of a term to its first order to an engine without fencing
     */
    OrderGate(Duration wait) {
        mWaitNanos = wait.toNanos();
    }

    /**
     * Decides whether an order may be sent.
     *
     * @param supportsFencing true when the engine refuses stale tokens
     * @param term the current term, empty when the lease is not held
     * @param nowNanos the monotonic clock
     * @return the decision
     */
    public Decision decide(boolean supportsFencing, Optional<LeaseTerm> term, long nowNanos) {
        if (term.isEmpty() || !term.get().mayAct(nowNanos)) {
            return new Decision.NotHolder();
        }
        LeaseTerm held = term.get();
        long firstOrder = held.acquiredNanos() + (supportsFencing ? 0 : mWaitNanos);
        if (nowNanos - firstOrder < 0) {
            return new Decision.Wait(firstOrder);
        }
        return new Decision.Send(held.fencing(), held.actUntilNanos());
    }
}
