package org.gentianwalk.core.journal;

import org.gentianwalk.proto.CallAnswer;
import org.jspecify.annotations.Nullable;

/** The caller has been answered; the outcome may still have to be written to the row. */
record EndStep(CallAnswer answer, @Nullable RecordStep cleanup) implements CallStep {
    static Transition reply(CallAnswer answer, CallAction reply) {
        return new Transition(new EndStep(answer, null), reply);
    }

    /** Replies now and writes the outcome later. */
    static Transition replyThenRecord(RecordStep cleanup, CallAction reply) {
        return new Transition(new EndStep(cleanup.answer(), cleanup), reply);
    }

    @Override
    public Transition on(CallEvent event, long nowNanos) {
        if (!(event instanceof CallEvent.Replied)) {
            throw unexpected(event);
        }
        return cleanup == null
                ? new Transition(this, new CallAction.Finish())
                : cleanup.pause(nowNanos);
    }
}
