package org.gentianwalk.core.error;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * An error that is returned to a caller. Its message comes from {@code messages.properties} and
 * names the remedy.
 */
public sealed interface ServeError {
    /**
     * Returns the category.
     *
     * @return the category, which determines HTTP status, type and code
     */
    ErrorKind kind();

    /**
     * Returns the message for the caller.
     *
     * @return cause and remedy in one or two sentences
     */
    String message();

    /**
     * Returns whether the request was executed, as far as known.
     *
     * @return the outcome to report
     */
    Outcome outcome();

    /** An error that must be corrected in the request or in the settings. */
    record Rejected(ErrorKind kind, String message, @Nullable String parameter)
            implements ServeError {
        @Override
        public Outcome outcome() {
            return Outcome.NOT_RUN;
        }
    }

    /** A refusal for lack of capacity; the same request may succeed later. */
    record Refused(ErrorKind kind, String message, Duration retryAfter) implements ServeError {
        public Refused {
            if (retryAfter.isNegative()) {
                throw new IllegalArgumentException("retryAfter must not be negative");
            }
        }

        @Override
        public Outcome outcome() {
            return Outcome.NOT_RUN;
        }
    }

    /** An error after the execution was started. */
    record Failed(ErrorKind kind, String message, Outcome outcome) implements ServeError {}

    /**
     * Creates an error that the caller or an operator must correct.
     *
     * @param kind the category
     * @param arguments values for the category's message
     * @return the error
     */
    static ServeError rejected(ErrorKind kind, Object... arguments) {
        return new Rejected(kind, Messages.format(kind.messageKey(), arguments), null);
    }

    /**
     * Creates an error about one request parameter.
     *
     * @param parameter the parameter's name
     * @param problem what is wrong and what is accepted
     * @return the error
     */
    static ServeError invalidParameter(String parameter, String problem) {
        String text = Messages.format(ErrorKind.INVALID_REQUEST.messageKey(), problem);
        return new Rejected(ErrorKind.INVALID_REQUEST, text, parameter);
    }

    /**
     * Creates a refusal.
     *
     * @param kind the category
     * @param retryAfter delay after which the caller should retry, not negative
     * @param arguments values for the category's message
     * @return the error
     */
    static ServeError refused(ErrorKind kind, Duration retryAfter, Object... arguments) {
        return new Refused(kind, Messages.format(kind.messageKey(), arguments), retryAfter);
    }

    /**
     * Creates an error after the execution was started.
     *
     * @param kind the category
     * @param outcome whether the request was executed, as far as known
     * @param arguments values for the category's message
     * @return the error
     */
    static ServeError failed(ErrorKind kind, Outcome outcome, Object... arguments) {
        return new Failed(kind, Messages.format(kind.messageKey(), arguments), outcome);
    }
}
