package org.gentianwalk.gateway.http;

/** Handles the requests of callers. */
public interface RequestHandler {
    /**
     * Handles a complete request.
     *
     * @param request the request
     * @param channel writes the response
     * @return listener for events of the caller's connection until the response is complete
     */
    CallerListener handle(CallerRequest request, CallerChannel channel);

    /** Receives events of the caller's connection while the response is not complete. */
    interface CallerListener {
        /** Called when the caller has closed its connection. */
        void callerDisconnected();

        /** Called when {@link CallerChannel#isWritable} has changed. */
        void writabilityChanged();

        /**
         * Called when the process is about to end. The response must be completed during the call.
         */
        void instanceEnds();
    }
}
