package org.gentianwalk.gateway.http;

/** A request that was sent, or is about to be sent, to an upstream. */
public interface UpstreamCall {
    /**
     * Gives the call up: closes its connection, so that the upstream stops working on it. The
     * listener is told nothing more.
     */
    void cancel();

    /**
     * Pauses or goes on with reading the answer.
     *
     * @param reading false to pause
     */
    void reading(boolean reading);
}
