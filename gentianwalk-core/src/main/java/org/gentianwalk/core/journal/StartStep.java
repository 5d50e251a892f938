package org.gentianwalk.core.journal;

import org.gentianwalk.core.platform.Row;
import org.gentianwalk.proto.CallAnswer;

/** Initial step, before the call is submitted. */
record StartStep(CallContext context) implements CallStep {
    @Override
    public Transition on(CallEvent event, long nowNanos) {
        if (!(event instanceof CallEvent.Submitted)) {
            throw unexpected(event);
        }
        if (KeyDate.isExpired(context.key().key(), context.epochMillis())) {
            return EndStep.reply(CallAnswer.NEVER_SENT, context.keyExpired());
        }
        return ClaimStep.begin(context, Row.ABSENT, nowNanos);
    }

    @Override
    public CallAnswer answer() {
        return CallAnswer.RUNNING;
    }
}
