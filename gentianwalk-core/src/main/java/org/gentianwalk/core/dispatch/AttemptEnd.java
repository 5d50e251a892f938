package org.gentianwalk.core.dispatch;

/** How an attempt at an upstream ended. */
public enum AttemptEnd {
    /** The complete answer arrived with a success status. */
    SUCCEEDED,
    /** The complete answer arrived with an error status; the request was executed. */
    ANSWERED_ERROR,
    /** The upstream declined the request for lack of capacity and did not execute it. */
    REJECTED,
    /** Another upstream uses the address now; the request was not executed. */
    MISDIRECTED,
    /** No connection was established in time, so nothing was sent. */
    UNREACHABLE,
    /** The connection was refused: nothing was sent, and no process listens at the address. */
    NOT_LISTENING,
    /** The deadline of the request passed before anything was sent. */
    EXPIRED,
    /** The request was sent but no complete answer arrived; it may have been executed. */
    LOST,
    /**
     * The upstream sent what is no valid answer; it may have executed the request. Its process goes
     * on, so this is no sign that the request ends processes.
     */
    GARBLED,
    /** Like {@link #LOST}, cancelled since it had no output for long at an engine that responds. */
    STALLED,
    /** Cancelled since another attempt of the request produced the next output first. */
    SUPERSEDED,
    /** Like {@link #LOST}, with a connection reset that shows that the process has ended. */
    RESET,
    /** Like {@link #RESET}, and nothing listens at the address any more. */
    CRASHED;

    /**
     * Returns whether the attempt certainly did not execute the request.
     *
     * @return true when the request can always be sent again safely
     */
    public boolean isNotExecuted() {
        return this == REJECTED || this == MISDIRECTED || isNotSent();
    }

    /**
     * Returns whether the upstream received nothing of the request.
     *
     * @return true when another attempt adds no load to the service
     */
    public boolean isNotSent() {
        return this == UNREACHABLE || this == NOT_LISTENING || this == EXPIRED;
    }

    /**
     * Returns whether the request was received by a process that has probably ended since.
     *
     * @return true when the request may have caused that
     */
    public boolean isProcessLost() {
        return this == RESET || this == CRASHED;
    }
}
