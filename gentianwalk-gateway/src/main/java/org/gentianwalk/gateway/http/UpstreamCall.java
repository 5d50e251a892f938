package org.gentianwalk.gateway.http;

/** A request to an upstream that was sent or waits for its connection. */
public interface UpstreamCall {
    /**
     * Cancels the call and closes its connection, so that the upstream stops working on it. The
     * listener is not called any more.
     */
    void cancel();

    /**
     * Pauses or resumes reading the response.
     *
     * @param reading false to pause
     */
    void setReading(boolean reading);
}
