package org.gentianwalk.core.journal;

import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallState;

/**
 * Waits for the service's answer to the call.
 *
 * @param context the attempt
 * @param version version of the row with this attempt's intent
 */
record SendStep(CallContext context, long version) implements CallStep {
    @Override
    public Transition on(CallEvent event, long nowNanos) {
        return switch (event) {
            case CallEvent.CallReturned returned -> onCall(returned.result());
            case CallEvent.LookupReturned returned -> onLookup(returned.result());
            default -> throw unexpected(event);
        };
    }

    @Override
    public CallAnswer answer() {
        return CallAnswer.RUNNING;
    }

    private Transition onCall(CallService.SendResult result) {
        return switch (result) {
            case CallService.SendResult.Answered answered -> done(answered.answer());
            case CallService.SendResult.NeverSent never ->
                    RecordStep.start(
                            context,
                            CallState.NOT_RUN,
                            version,
                            context.upstreamNotReached(never.cause()));
            case CallService.SendResult.Unknown unknown ->
                    new Transition(this, new CallAction.LookUp());
        };
    }

    private Transition onLookup(CallService.SendResult result) {
        if (result instanceof CallService.SendResult.Answered answered) {
            return done(answered.answer());
        }
        // A service that does not know the call yet may still receive and execute it.
        return RecordStep.start(context, CallState.UNKNOWN, version, context.outcomeUnknown());
    }

    private Transition done(CallService.Answer answer) {
        CallAction reply =
                new CallAction.Reply(new CallService.CallOutcome.Answered(answer, false));
        return RecordStep.start(context, CallRows.done(context.intent(), answer), version, reply);
    }
}
