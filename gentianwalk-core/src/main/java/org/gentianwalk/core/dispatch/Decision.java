package org.gentianwalk.core.dispatch;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** What a scheduler wants done with a request. */
public sealed interface Decision {
    /**
     * Returns the request concerned.
     *
     * @return the request
     */
    Work work();

    /**
     * Send the request to an upstream. A running attempt of it is cancelled first.
     *
     * @param work the request
     * @param attempt number of the attempt, from 1
     * @param upstream where to send it
     * @param urgency rank for the engine's own queue, 0 first; negative for plain calls
     * @param copyKeeper engine that keeps a copy of the generation's memory, or null for none
     * @param copy copy of an earlier attempt's memory to continue from, or null to read all anew
     * @param fetchFrom engine that keeps the prompt and that the upstream fetches it from, or null
     * @param reason why this upstream, for the log
     */
    record Start(
            Work work,
            int attempt,
            Upstream upstream,
            int urgency,
            @Nullable Upstream copyKeeper,
            @Nullable MemoryCopy copy,
            @Nullable Upstream fetchFrom,
            String reason)
            implements Decision {}

    /**
     * Give the caller its final answer.
     *
     * @param work the request
     * @param ending which answer
     * @param retryAfter when a refused caller should come back
     * @param reason why, for the log
     */
    record Finish(Work work, Ending ending, Duration retryAfter, String reason)
            implements Decision {}

    /** Kinds of final answers that are not an upstream's own. */
    enum Ending {
        /** The request has not run and never will; the caller may come back. */
        REFUSED,
        /** An attempt was sent and its outcome is unknown. */
        UNKNOWN,
        /** As {@link #UNKNOWN}, at the end of the time that the request has. */
        TIMED_OUT,
        /** An upstream's own error answer, which was kept. */
        UPSTREAM_ERROR
    }
}
