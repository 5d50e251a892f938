package org.gentianwalk.core.lease;

/**
 * One uninterrupted period of holding a lease.
 *
 * @param fencing fencing token of this term, higher than those of all earlier terms
 * @param acquiredNanos when this instance learned that it holds the lease
 * @param validUntilNanos end of the lease by this instance's monotonic clock
 */
public record LeaseTerm(long fencing, long acquiredNanos, long validUntilNanos) {
    /**
     * Returns the time until which the holder may act.
     *
     * @return reading of the monotonic clock, 2 s before the end of the lease
     */
    public long actUntilNanos() {
        return validUntilNanos - LeaseRules.ACT_MARGIN_NANOS;
    }

    /**
     * Returns whether the holder may act.
     *
     * @param nowNanos the monotonic clock
     * @return true while at least 2 s of the lease are left
     */
    public boolean mayAct(long nowNanos) {
        return nowNanos - actUntilNanos() <= 0;
    }
}
