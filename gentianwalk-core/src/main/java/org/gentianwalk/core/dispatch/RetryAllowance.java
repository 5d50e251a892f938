package org.gentianwalk.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds further attempts at one service within a sliding window. Every instance keeps to its own
 * requests and to its part of the fleet's fixed allowance, so that the fleet as a whole stays
 * within the bound without a message.
 */
public final class RetryAllowance {
    /**
     * Part of the bound that is used; the rest covers requests that move between instances within
     * the window.
     */
    private static final double USED_PART = 0.7;

    private RetryBounds mBounds;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();
    private int mInstances = 1;

    /**
     * Creates an allowance with an empty window.
     *
     * @param bounds the fleet's bounds
     */
    public RetryAllowance(RetryBounds bounds) {
        mBounds = bounds;
    }

    /**
     * Sets the number of instances that share the fixed allowance.
     *
     * @param instances live instances, this one included
     */
    public void instances(int instances) {
        mInstances = Math.max(1, instances);
    }

    /**
     * Replaces the bounds.
     *
     * @param bounds the fleet's bounds
     */
    public void bounds(RetryBounds bounds) {
        mBounds = bounds;
    }

    /**
     * Records a request for the service.
     *
     * @param nowNanos current time
     */
    public void requested(long nowNanos) {
        expire(nowNanos);
        mRequests.add(nowNanos);
    }

    /**
     * Takes a further attempt from the allowance.
     *
     * @param nowNanos current time
     * @return false when the allowance is used up
     */
    public boolean tryRetry(long nowNanos) {
        expire(nowNanos);
        double bound = mBounds.ratio() * mRequests.size() + mBounds.slack() / mInstances;
        if (mRetries.size() + 1 > bound * USED_PART) {
            return false;
        }
        mRetries.add(nowNanos);
        return true;
    }

    private void expire(long nowNanos) {
        long oldest = nowNanos - mBounds.window().toNanos();
        while (!mRequests.isEmpty() && mRequests.peekFirst() <= oldest) {
            mRequests.removeFirst();
        }
        while (!mRetries.isEmpty() && mRetries.peekFirst() <= oldest) {
            mRetries.removeFirst();
        }
    }
}
