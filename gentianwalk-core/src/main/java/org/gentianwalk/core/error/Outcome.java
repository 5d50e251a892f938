package org.gentianwalk.core.error;

/** Execution state of a request that ended in an error. */
public enum Outcome {
    /** Nothing was sent to any upstream and nothing will be. */
    NOT_RUN,
    /** The execution was started and then stopped; its only effect is the tokens delivered. */
    STOPPED,
    /** The upstream may or may not have executed the call. */
    UNKNOWN
}
