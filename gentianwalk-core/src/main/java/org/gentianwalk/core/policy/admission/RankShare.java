package org.gentianwalk.core.policy.admission;

import org.gentianwalk.core.model.Rank;

/**
 * Decides which rank is served next: urgent work first, except when standard work received less
 * than its reserved share of the recently started work. Example: {@code
 * share.isStandardBelowShare()}.
 */
public final class RankShare {
    private final double mStandardShare;
    private final double mHalfLifeNanos;
    private double mUrgentTokens;
    private double mStandardTokens;
    private long mUpdated = Long.MIN_VALUE;

    /**
     * Creates a share without started work.
     *
     * @param standardShare share reserved for standard work, from 0 to 1
     * @param halfLifeNanos time after which started work counts half
     */
    public RankShare(double standardShare, long halfLifeNanos) {
        mStandardShare = standardShare;
        mHalfLifeNanos = halfLifeNanos;
    }

    /**
     * Records started work.
     *
     * @param rank its rank
     * @param tokens its tokens; negative for a correction
     * @param nowNanos current time
     */
    public void recordStarted(Rank rank, double tokens, long nowNanos) {
        if (mUpdated != Long.MIN_VALUE) {
            double factor = Math.pow(0.5, (nowNanos - mUpdated) / mHalfLifeNanos);
            mUrgentTokens *= factor;
            mStandardTokens *= factor;
        }
        mUpdated = nowNanos;
        if (rank == Rank.URGENT) {
            mUrgentTokens = Math.max(0, mUrgentTokens + tokens);
        } else {
            mStandardTokens = Math.max(0, mStandardTokens + tokens);
        }
    }

    /**
     * Returns whether standard work is below its reserved share.
     *
     * @return true when standard work goes first
     */
    public boolean isStandardBelowShare() {
        return isStandardBelow(1);
    }

    /**
     * Returns whether standard work is below a multiple of its reserved share.
     *
     * @param multiple the multiple
     * @return true when it received less
     */
    public boolean isStandardBelow(double multiple) {
        return mStandardTokens < multiple * mStandardShare * (mUrgentTokens + mStandardTokens);
    }
}
