package org.gentianwalk.gateway.http;

/** Sends requests to upstreams. It never retries a request. */
public interface UpstreamSender {
    /**
     * Sends a request.
     *
     * @param address IP number and port of the upstream
     * @param request the request
     * @param listener receives the response; not called before this method returns, unless the
     *     request fails at once
     * @return the call
     */
    UpstreamCall send(String address, UpstreamRequest request, UpstreamListener listener);
}
