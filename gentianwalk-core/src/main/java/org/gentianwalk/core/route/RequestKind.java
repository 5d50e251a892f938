package org.gentianwalk.core.route;

/** What may be repeated, and how the answer arrives. */
public enum RequestKind {
    /** A call that may run more than once. */
    IDEMPOTENT_CALL,
    /** A call that may run at most once for each request. */
    SINGLE_CALL,
    /** A stream of events that another engine can continue after a given event. */
    RESUMABLE_STREAM,
    /** A stream of events that may run at most once. */
    SINGLE_STREAM;

    /**
     * Tells whether a request may run again after an attempt with an unknown outcome.
     *
     * @return true when a further attempt is allowed
     */
    public boolean isRepeatable() {
        return this == IDEMPOTENT_CALL || this == RESUMABLE_STREAM;
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return true for both kinds of stream
     */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == SINGLE_STREAM;
    }
}
