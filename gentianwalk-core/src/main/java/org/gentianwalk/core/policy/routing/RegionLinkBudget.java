package org.gentianwalk.core.policy.routing;

import org.gentianwalk.core.model.Rank;

/**
 * Byte budget of the link between regions: a token bucket with a capacity of one second. Standard
 * work may not use the share reserved for urgent work. Work is admitted only when the bucket covers
 * its estimated bytes; output beyond the estimate may overdraw the bucket and delays the next use.
 */
public final class RegionLinkBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mUrgentShare;
    private double mRate;
    private double mBytes;
    private long mUpdated = Long.MAX_VALUE;

    /**
     * Creates a full bucket.
     *
     * @param bytesPerSecond this instance's share of the link, bytes per second
     * @param urgentShare share reserved for urgent work, from 0 to 1
     */
    public RegionLinkBudget(double bytesPerSecond, double urgentShare) {
        mRate = bytesPerSecond;
        mUrgentShare = urgentShare;
        mBytes = bytesPerSecond;
    }

    /**
     * Changes the rate after members joined or left.
     *
     * @param bytesPerSecond this instance's share of the link, bytes per second
     */
    public void updateRate(double bytesPerSecond) {
        mRate = bytesPerSecond;
        mBytes = Math.min(mBytes, bytesPerSecond);
    }

    /**
     * Returns whether the budget allows work to cross the link.
     *
     * @param rank its rank
     * @param bytes its estimated bytes
     * @param nowNanos current time
     * @return true when the budget covers it
     */
    public boolean isAvailable(Rank rank, double bytes, long nowNanos) {
        refill(nowNanos);
        double reserved = rank == Rank.URGENT ? 0 : mUrgentShare * mRate;
        return mBytes - reserved >= bytes;
    }

    /**
     * Charges bytes to the budget.
     *
     * @param bytes bytes sent or expected; negative after an overestimate
     * @param nowNanos current time
     */
    public void charge(double bytes, long nowNanos) {
        refill(nowNanos);
        mBytes -= bytes;
    }

    private void refill(long nowNanos) {
        if (mUpdated != Long.MAX_VALUE) {
            mBytes = Math.min(mRate, mBytes + mRate * (nowNanos - mUpdated) / NANOS_PER_SECOND);
        }
        mUpdated = nowNanos;
    }
}
