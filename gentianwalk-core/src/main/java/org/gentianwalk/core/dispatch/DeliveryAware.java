package org.gentianwalk.core.dispatch;

/**
 * A scheduler that takes missing output for a sign of a failure. While the caller of a request does
 * not read its response, the output of the request's engine is not read either.
 */
public interface DeliveryAware {
    /**
     * Records that the output of a request is not read any more, or is read again.
     *
     * @param work number of the request
     * @param paused true when the output is not read
     * @param nowNanos current time
     */
    void recordDeliveryPause(long work, boolean paused, long nowNanos);
}
