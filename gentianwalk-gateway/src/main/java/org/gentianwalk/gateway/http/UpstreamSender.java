package org.gentianwalk.gateway.http;

/** Sends requests to upstreams. It never repeats one. */
public interface UpstreamSender {
    /**
     * Sends a request.
     *
     * @param address IP number and port of the upstream
     * @param request the request
     * @param listener learns what comes back; not called before this method returns, unless the
     *     request fails at once
     * @return the call
     */
    UpstreamCall send(String address, UpstreamRequest request, UpstreamListener listener);
}
