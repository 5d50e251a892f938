package org.gentianwalk.core.dispatch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of one service within a sliding window, for all instances together. Instances
 * report their requests and retries to each other. Usage that has not been reported yet is covered
 * by the unused fraction of the limit.
 */
public final class FleetRetryBudget {
    /**
     * Fraction of the limit that is used. A report takes some tens of milliseconds to arrive;
     * within that time every instance may retry as many requests as it has at one engine.
     */
    private static final double USED_FRACTION = 0.75;

    /**
     * Fraction of the limit that is used for attempts that may turn out to be unnecessary. The rest
     * remains for those after a loss.
     */
    private static final double OPTIONAL_FRACTION = 0.5;

    private RetryBounds mBounds;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();
    private final Map<String, Usage> mPeerUsages = new HashMap<>();
    private int mInstances = 1;

    /**
     * Creates a budget with an empty window.
     *
     * @param bounds limits for all instances together
     */
    public FleetRetryBudget(RetryBounds bounds) {
        mBounds = bounds;
    }

    /**
     * Usage of one instance within the window.
     *
     * @param requests number of requests
     * @param retries number of retries
     */
    public record Usage(int requests, int retries) {}

    /**
     * Sets the number of instances that share the slack, whether they have reported usage or not.
     *
     * @param instances number of live instances, including this one
     */
    public void instances(int instances) {
        mInstances = Math.max(1, instances);
    }

    /**
     * Replaces the limits.
     *
     * @param bounds limits for all instances together
     */
    public void bounds(RetryBounds bounds) {
        mBounds = bounds;
    }

    /**
     * Records the usage of another instance.
     *
     * @param instance the instance
     * @param usage its usage
     */
    public void recordPeerUsage(String instance, Usage usage) {
        mPeerUsages.put(instance, usage);
    }

    /**
     * Removes the usage of instances that are no longer alive: neither their requests nor their
     * retries count any more.
     *
     * @param instances the other live instances
     */
    public void retainPeers(Collection<String> instances) {
        mPeerUsages.keySet().retainAll(instances);
    }

    /**
     * Returns the usage of this instance.
     *
     * @param nowNanos current time
     * @return usage within the window
     */
    public Usage usage(long nowNanos) {
        expire(nowNanos);
        return new Usage(mRequests.size(), mRetries.size());
    }

    /**
     * Records a request to the service.
     *
     * @param nowNanos current time
     */
    public void recordRequest(long nowNanos) {
        expire(nowNanos);
        mRequests.add(nowNanos);
    }

    /**
     * Takes a retry from the budget.
     *
     * @param nowNanos current time
     * @return false when the budget is exhausted
     */
    public boolean tryRetry(long nowNanos) {
        return tryRetry(USED_FRACTION, nowNanos);
    }

    /**
     * Takes a retry from the budget for a request whose attempt may still succeed.
     *
     * @param nowNanos current time
     * @return false when the rest of the budget is kept for requests that have lost their attempt
     */
    public boolean tryOptionalRetry(long nowNanos) {
        return tryRetry(OPTIONAL_FRACTION, nowNanos);
    }

    private boolean tryRetry(double fraction, long nowNanos) {
        expire(nowNanos);
        int requests = mRequests.size();
        int retries = mRetries.size() + 1;
        for (Usage usage : mPeerUsages.values()) {
            requests += usage.requests();
            retries += usage.retries();
        }
        // Instances that have not reported their usage keep their part of the slack.
        double reported =
                (double) (mPeerUsages.size() + 1) / Math.max(mInstances, mPeerUsages.size() + 1);
        double bound = mBounds.ratio() * requests + mBounds.slack() * reported;
        if (retries > bound * fraction) {
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
