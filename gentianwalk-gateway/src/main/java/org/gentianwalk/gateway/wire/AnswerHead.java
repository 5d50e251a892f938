package org.gentianwalk.gateway.wire;

import java.time.Duration;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.jspecify.annotations.Nullable;

/**
 * What the head of an upstream's answer says.
 *
 * @param requestId the request that it answers, or null when it does not say
 * @param status the status code
 * @param notRun true when the upstream states that it has not run the request
 * @param misdirected true when another run has the address; implies {@code notRun}
 * @param upstreamId the run that answered, or null when it does not say
 * @param signed true when the answer carries the upstream's signature
 * @param eventStream true when the body is a stream of events
 * @param load load of the upstream, or null when it does not say
 * @param keepAlive how long the upstream keeps the connection when idle, or null when it does not
 *     say
 */
public record AnswerHead(
        @Nullable String requestId,
        int status,
        boolean notRun,
        boolean misdirected,
        @Nullable String upstreamId,
        boolean signed,
        boolean eventStream,
        @Nullable UpstreamLoad load,
        @Nullable Duration keepAlive) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_AFTER_SUCCESS = 300;

    /**
     * Tells whether the status is a success.
     *
     * @return true for 2xx
     */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_AFTER_SUCCESS;
    }
}
