package org.gentianwalk.gateway.wire;

import java.time.Duration;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.jspecify.annotations.Nullable;

/**
 * Parsed head of an upstream's response.
 *
 * @param requestId identifier of the request that it belongs to, or null without one
 * @param status the status code
 * @param notRun true when the upstream states that it has not executed the request
 * @param misdirected true when another upstream process now has the address; implies {@code notRun}
 * @param upstreamId identifier of the upstream process that responded, or null without one
 * @param signed true when the response carries the upstream's signature
 * @param eventStream true when the body is a stream of events
 * @param load load of the upstream, or null without one
 * @param requestLimit requests a second that the upstream accepts from all instances together, or
 *     null when it states none that can be read
 * @param limitUnreadable true when the upstream states a limit that can't be read, so that the one
 *     before it still holds
 * @param leaving true when the upstream's process is about to end and wants no further requests
 * @param pause time for which the upstream wants no requests from this instance, or null
 * @param keepAlive how long the upstream keeps an idle connection open, or null without one
 */
public record ResponseHead(
        @Nullable String requestId,
        int status,
        boolean notRun,
        boolean misdirected,
        @Nullable String upstreamId,
        boolean signed,
        boolean eventStream,
        @Nullable UpstreamLoad load,
        @Nullable Double requestLimit,
        boolean limitUnreadable,
        boolean leaving,
        @Nullable Duration pause,
        @Nullable Duration keepAlive) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_AFTER_SUCCESS = 300;

    /**
     * Returns whether the status is a success.
     *
     * @return true for 2xx
     */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_AFTER_SUCCESS;
    }
}
