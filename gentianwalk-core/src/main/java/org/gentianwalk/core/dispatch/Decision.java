package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** An action that a scheduler requests for a request. */
public sealed interface Decision {
    /**
     * Returns the request concerned.
     *
     * @return the request
     */
    Work work();

    /**
     * Sends the request to an upstream. Attempts in progress go on beside the new one if they are
     * listed, and are cancelled otherwise; the first one with the next output ends the others.
     *
     * @param work the request
     * @param attempt number of the attempt, starting at 1
     * @param upstream destination
     * @param urgency priority in the engine's own queue, 0 is served first; negative for plain
     *     calls
     * @param copyHolder engine that keeps a copy of the generation's KV cache, or null for none
     * @param copy KV cache copy of an earlier attempt to continue from, or null to prefill again
     * @param fetchFrom engine from which the upstream fetches the cached prompt, or null
     * @param beside numbers of the attempts in progress that go on
     * @param reason why this upstream was chosen, for the log
     */
    record Start(
            Work work,
            int attempt,
            Upstream upstream,
            int urgency,
            @Nullable Upstream copyHolder,
            @Nullable MemoryCopy copy,
            @Nullable Upstream fetchFrom,
            Set<Integer> beside,
            String reason)
            implements Decision {
        /** Copies the set of attempts. */
        public Start {
            beside = Set.copyOf(beside);
        }
    }

    /**
     * Cancels one of several attempts; nothing happens when it is the only one in progress.
     *
     * @param work the request
     * @param attempt number of the attempt
     * @param reason cause, for the log
     */
    record Cancel(Work work, int attempt, String reason) implements Decision {}

    /**
     * Sends the final answer to the caller.
     *
     * @param work the request
     * @param ending kind of answer
     * @param retryAfter delay after which a refused caller should retry
     * @param reason cause, for the log
     */
    record Finish(Work work, Ending ending, Duration retryAfter, String reason)
            implements Decision {}

    /** Kinds of final answers other than a successful one. */
    enum Ending {
        /** The request was not executed and will not be; the caller may retry. */
        REFUSED,
        /** An attempt was sent and its outcome is unknown. */
        UNKNOWN,
        /** Like {@link #UNKNOWN}, at the deadline of the request. */
        TIMED_OUT,
        /** The stored error answer of an upstream is forwarded. */
        UPSTREAM_ERROR
    }
}
