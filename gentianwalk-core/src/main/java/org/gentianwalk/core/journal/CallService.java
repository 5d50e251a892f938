package org.gentianwalk.core.journal;

import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.RequestKey;

/** Executes non-idempotent calls at most once. Methods block a traffic thread. */
public interface CallService {
    /**
     * Executes a call, or returns the stored answer of an earlier execution under the same key.
     *
     * @param key team and idempotency key
     * @param bodyDigest SHA-256 over method, path and body
     * @param sender sends the call; invoked at most once
     * @return the outcome
     */
    CallOutcome execute(RequestKey key, byte[] bodyDigest, Sender sender);

    /** Sends a call to a plain service. */
    interface Sender {
        /**
         * Sends the call once and waits for its answer.
         *
         * @return what is known about the execution
         */
        SendResult send();

        /**
         * Asks the service for the outcome of the call by its key.
         *
         * @return the answer, or {@link SendResult.Unknown} when it can't be looked up
         */
        SendResult lookup();
    }

    /** What is known about the execution of a call. */
    sealed interface SendResult {
        /** The service answered. */
        record Answered(Answer answer) implements SendResult {}

        /** The connection was refused, so the service did not receive the call. */
        record NeverSent(String cause) implements SendResult {}

        /** The service may have executed the call. */
        record Unknown(String cause) implements SendResult {}
    }

    /** Outcome for the caller. */
    sealed interface CallOutcome {
        /** The service's answer, from this or an earlier attempt. */
        record Answered(Answer answer, boolean repeated) implements CallOutcome {}

        /** No answer; the error states whether the call was executed. */
        record Failed(ServeError error) implements CallOutcome {}
    }

    /**
     * An answer of a plain service.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body content
     */
    record Answer(int status, String contentType, byte[] body) {}
}
