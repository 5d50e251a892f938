package org.gentianwalk.core.route;

/** Kinds of requests, by whether they may be repeated and whether the answer is a stream. */
public enum RequestKind {
    /** A call that may be executed more than once. */
    IDEMPOTENT_CALL,
    /** A call that may be executed at most once. */
    SINGLE_CALL,
    /** A stream of events that another engine can continue after a given event. */
    RESUMABLE_STREAM,
    /** A stream of events that may be generated at most once. */
    SINGLE_STREAM;

    /**
     * Returns whether a request may be repeated after an attempt with an unknown outcome.
     *
     * @return true when another attempt is allowed
     */
    public boolean isRepeatable() {
        return this == IDEMPOTENT_CALL || this == RESUMABLE_STREAM;
    }

    /**
     * Returns whether the answer is a stream of events.
     *
     * @return true for both kinds of stream
     */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == SINGLE_STREAM;
    }
}
