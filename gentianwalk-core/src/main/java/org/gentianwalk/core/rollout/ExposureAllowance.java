package org.gentianwalk.core.rollout;

import org.gentianwalk.core.dispatch.PeerView;

/**
 * Attempts that one instance may start on a version under observation. The allowances of all
 * instances add up to no more than the bound, without any message between them.
 */
final class ExposureAllowance {
    /** A fifth of the allowance is kept for retries. */
    private static final int RETRY_PART = 5;

    /**
     * Part of the slack that is available from the start. The other half follows evenly, since some
     * versions turn bad later.
     */
    private static final double INITIAL_SLACK = 0.5;

    /** Part of the time limit after which all of the slack is available. */
    private static final double SLACK_RELEASED_AT = 0.5;

    /**
     * An instance that first sees the order later than this has no slack: it may have used it up
     * before a restart, or the others may have been given it.
     */
    private static final long MAX_SLACK_DELAY_NANOS = 1_000_000_000L;

    private final RolloutOrder mOrder;
    private final ExposureLimits mLimits;
    private long mRequests;
    private long mStarted;
    private int mInstances;
    private int mPosition;
    private long mFirstSeenNanos;
    private boolean mSeen;

    ExposureAllowance(RolloutOrder order, ExposureLimits limits) {
        mOrder = order;
        mLimits = limits;
    }

    /**
     * Sets this instance's place among the live ones. The part of the slack never grows, since an
     * instance that is gone, or not reachable, may have used its part.
     */
    void updatePeers(PeerView peers) {
        if (mInstances == 0
                || slackParts(peers.instances(), peers.position())
                        <= slackParts(mInstances, mPosition)) {
            mInstances = peers.instances();
            mPosition = peers.position();
        }
    }

    /** Notes the first time that this instance knows the order. */
    void observe(long nowNanos) {
        if (!mSeen) {
            mSeen = true;
            mFirstSeenNanos = nowNanos;
        }
    }

    void recordRequest() {
        mRequests++;
    }

    void recordStart() {
        mStarted++;
    }

    long requests() {
        return mRequests;
    }

    /** Returns whether one more attempt on the new version stays within the allowance. */
    boolean permits(boolean retry, long nowNanos) {
        long allowed = (long) Math.floor(mLimits.share() * mRequests + 1e-9) + slack(nowNanos);
        long reserved = retry ? 0 : allowed / RETRY_PART;
        return mStarted + reserved < allowed;
    }

    /** Returns the part of the slack that is available to this instance by now. */
    private int slack(long nowNanos) {
        long delay = (mSeen ? mFirstSeenNanos : nowNanos) - mOrder.startedNanos();
        if (mInstances == 0 || delay > MAX_SLACK_DELAY_NANOS) {
            return 0;
        }
        double elapsed = (nowNanos - mOrder.startedNanos()) / (double) mOrder.durationNanos();
        double released =
                INITIAL_SLACK + (1 - INITIAL_SLACK) * Math.min(1, elapsed / SLACK_RELEASED_AT);
        int parts = 0;
        while (parts < slackParts(mInstances, mPosition)) {
            // The parts of all instances are numbered in turn and released in this order.
            long number = mPosition + (long) parts * mInstances;
            if (number >= released * mLimits.slack()) {
                break;
            }
            parts++;
        }
        return parts;
    }

    private int slackParts(int count, int place) {
        return mLimits.slack() / count + (place < mLimits.slack() % count ? 1 : 0);
    }
}
