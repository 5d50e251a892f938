package org.gentianwalk.core.dispatch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds further attempts at one service within a sliding window, for the fleet as a whole.
 * Instances tell each other how many requests and further attempts they had. What others have not
 * yet told of is covered by the part of the bound that is left unused.
 */
public final class RetryAllowance {
    /**
     * Part of the bound that is used. A notice takes some tens of milliseconds; within that time
     * every instance may take as many further attempts as it has requests at one engine.
     */
    private static final double USED_PART = 0.75;

    private RetryBounds mBounds;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();
    private final Map<String, Usage> mOthers = new HashMap<>();
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
     * What an instance had within the window.
     *
     * @param requests requests for the service
     * @param retries further attempts at it
     */
    public record Usage(int requests, int retries) {}

    /**
     * Sets the number of instances, told or not, that share the fixed allowance.
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
     * Takes in what another instance had.
     *
     * @param instance the instance
     * @param usage its usage
     */
    public void others(String instance, Usage usage) {
        mOthers.put(instance, usage);
    }

    /**
     * Forgets instances that are gone. Their further attempts then no longer count, nor do their
     * requests.
     *
     * @param instances the other instances that live
     */
    public void retainOthers(Collection<String> instances) {
        mOthers.keySet().retainAll(instances);
    }

    /**
     * Returns what this instance had.
     *
     * @param nowNanos current time
     * @return usage within the window
     */
    public Usage own(long nowNanos) {
        expire(nowNanos);
        return new Usage(mRequests.size(), mRetries.size());
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
        int requests = mRequests.size();
        int retries = mRetries.size() + 1;
        for (Usage usage : mOthers.values()) {
            requests += usage.requests();
            retries += usage.retries();
        }
        // Instances that have not told of their usage keep their part of the fixed allowance.
        double told = (double) (mOthers.size() + 1) / Math.max(mInstances, mOthers.size() + 1);
        double bound = mBounds.ratio() * requests + mBounds.slack() * told;
        if (retries > bound * USED_PART) {
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
