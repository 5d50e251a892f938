package org.gentianwalk.core.policy;

import java.util.List;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.WorkItem;

/** A decision of the scheduler, carried out by its caller. */
public sealed interface Decision {
    /**
     * Returns the work that the decision applies to.
     *
     * @return the work
     */
    WorkItem item();

    /**
     * Starts an attempt.
     *
     * @param item the work
     * @param attempt number of the attempt, from 1
     * @param upstream the chosen upstream
     * @param priority priority in the engine's own queue; lower values are served first
     * @param candidates the upstreams compared, best first
     * @param reason why the first one was chosen, for the log
     */
    record Start(
            WorkItem item,
            int attempt,
            String upstream,
            int priority,
            List<Candidate> candidates,
            String reason)
            implements Decision {
        public Start {
            if (attempt < 1) {
                throw new IllegalArgumentException("attempt must be at least 1");
            }
            candidates = List.copyOf(candidates);
        }
    }

    /**
     * Answers the caller with an error. The scheduler no longer tracks the work.
     *
     * @param item the work
     * @param error the error for the caller
     */
    record Refuse(WorkItem item, ServeError error) implements Decision {}

    /**
     * Cancels the running attempt. With an error the generation ends; without one the scheduler has
     * requeued it and retries it later.
     *
     * @param item the work
     * @param reason why the attempt is cancelled, for the log
     * @param error the error for the caller, or null when the generation is requeued
     */
    record Cancel(WorkItem item, String reason, @org.jspecify.annotations.Nullable ServeError error)
            implements Decision {}

    /**
     * An upstream that was considered for an attempt.
     *
     * @param upstream its identifier
     * @param cost expected delay in milliseconds by the policy's estimate; lower is better
     */
    record Candidate(String upstream, double cost) {}
}
