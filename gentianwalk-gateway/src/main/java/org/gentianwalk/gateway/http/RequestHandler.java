package org.gentianwalk.gateway.http;

/** Takes the requests of callers. */
public interface RequestHandler {
    /**
     * Takes a whole request.
     *
     * @param request the request
     * @param channel the way back
     * @return what to tell about the caller
     */
    Watcher handle(CallerRequest request, CallerChannel channel);

    /** Learns what becomes of the caller of a request while it has no whole answer. */
    interface Watcher {
        /** Tells that the caller has closed its connection. */
        void callerGone();

        /** Tells that the caller reads again, or has stopped reading. */
        void writabilityChanged();
    }
}
