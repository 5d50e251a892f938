package org.gentianwalk.core.journal;

import org.gentianwalk.proto.CallAnswer;

/** A state of the call's state machine. Steps are immutable. */
sealed interface CallStep permits StartStep, ClaimStep, SendStep, RecordStep, WatchStep, EndStep {
    /** A step and the action that starts it. */
    record Transition(CallStep next, CallAction action) {}

    /**
     * Handles the result of the last action.
     *
     * @param event the event
     * @param nowNanos the monotonic clock
     * @return the next step with its action
     */
    Transition on(CallEvent event, long nowNanos);

    /** Returns the answer to other instances that ask about this attempt's nonce. */
    CallAnswer answer();

    /** Creates the exception for an event that is not a result of the last action. */
    default IllegalStateException unexpected(CallEvent event) {
        return new IllegalStateException(event + " does not answer the last action of " + this);
    }
}
