package org.gentianwalk.core.journal;

import org.gentianwalk.proto.CallAnswer;

/**
 * The state machine of one call at one instance. It has no I/O, threads or clock: the driver
 * performs each action that it returns and passes in the resulting event, until {@link
 * CallAction.Finish}.
 *
 * <p>An attempt sends the call only once, only when its nonce is confirmed to be in the row as an
 * intent, and only within 2 s of the start of its first write. Only the attempt itself, or another
 * one to which it has answered {@code NEVER_SENT}, records that it did not run.
 *
 * <p>Example: {@code action = journal.on(new CallEvent.Submitted(), ticker.nanos())}
 */
public final class CallJournal {
    private volatile CallStep mStep;

    /**
     * Creates the state machine of one attempt.
     *
     * @param context key, digest, owner and nonce of the attempt
     */
    public CallJournal(CallContext context) {
        mStep = new StartStep(context);
    }

    /**
     * Handles the next event. Only one thread at a time may call this.
     *
     * @param event result of the last action, first {@link CallEvent.Submitted}
     * @param nowNanos the monotonic clock, nanoseconds
     * @return the action to perform next
     * @throws IllegalStateException if the event is not a result of the last action
     */
    public CallAction on(CallEvent event, long nowNanos) {
        CallStep.Transition transition = mStep.on(event, nowNanos);
        mStep = transition.next();
        return transition.action();
    }

    /**
     * Returns the state of this attempt for another instance that asks. Any thread may call this.
     *
     * @return {@code NEVER_SENT} only when the call was not sent and never will be
     */
    public CallAnswer answer() {
        return mStep.answer();
    }
}
