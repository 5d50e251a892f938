package org.gentianwalk.core.journal;

import java.util.Optional;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallRecord;
import org.gentianwalk.proto.CallState;
import org.jspecify.annotations.Nullable;

/**
 * Writes this attempt's outcome to the row. The caller is answered after the first write, whether
 * it succeeded or not; a write that was not confirmed is repeated until the row has the outcome.
 *
 * <p>{@code NOT_RUN} is also written at the version that an unconfirmed intent expected: either the
 * intent took effect and is replaced, or it can't take effect any more.
 *
 * @param context the attempt
 * @param target the row to write
 * @param expected version that it replaces
 * @param reply reply to the caller, null when it has been sent
 * @param failures writes that were not confirmed
 */
record RecordStep(
        CallContext context,
        CallRecord target,
        long expected,
        @Nullable CallAction reply,
        int failures)
        implements CallStep {
    private static final int MAX_BACKOFF_SHIFT = 5;

    static Transition start(CallContext context, CallState state, long expected, CallAction reply) {
        return start(context, CallRows.withState(context.intent(), state), expected, reply);
    }

    static Transition start(
            CallContext context, CallRecord target, long expected, CallAction reply) {
        return new RecordStep(context, target, expected, reply, 0).write();
    }

    static RecordStep background(CallContext context, CallState state, long expected) {
        CallRecord target = CallRows.withState(context.intent(), state);
        return new RecordStep(context, target, expected, null, 0);
    }

    @Override
    public Transition on(CallEvent event, long nowNanos) {
        return switch (event) {
            case CallEvent.TimerFired timer -> write();
            case CallEvent.WriteReturned write -> onWrite(write.result(), nowNanos);
            default -> throw unexpected(event);
        };
    }

    @Override
    public CallAnswer answer() {
        return target.getState() == CallState.NOT_RUN ? CallAnswer.NEVER_SENT : CallAnswer.FINISHED;
    }

    /** Waits before the next write. */
    Transition pause(long nowNanos) {
        long backoff = CallRules.FIRST_BACKOFF_NANOS << Math.min(failures, MAX_BACKOFF_SHIFT);
        long wait = Math.min(backoff, CallRules.MAX_BACKOFF_NANOS);
        return new Transition(this, new CallAction.Wait(nowNanos + wait));
    }

    private Transition onWrite(WriteResult result, long nowNanos) {
        return switch (result) {
            case WriteResult.Written written -> end();
            case WriteResult.Conflict conflict -> onConflict(conflict.current());
            case WriteResult.Unknown unknown -> onUnconfirmed(nowNanos);
            case WriteResult.NotSent notSent -> onUnconfirmed(nowNanos);
        };
    }

    private Transition onConflict(@Nullable Row current) {
        Optional<CallRecord> call = current == null ? Optional.empty() : CallRows.parse(current);
        if (current == null || call.isEmpty() || !context.owns(call.get())) {
            return end();
        }
        CallState state = call.get().getState();
        boolean unresolved = state == CallState.INTENT || state == CallState.UNKNOWN;
        if (!unresolved || state == target.getState()) {
            return end();
        }
        return new RecordStep(context, target, current.version(), reply, failures).write();
    }

    private Transition onUnconfirmed(long nowNanos) {
        RecordStep next = new RecordStep(context, target, expected, null, failures + 1);
        return reply == null ? next.pause(nowNanos) : EndStep.replyThenRecord(next, reply);
    }

    private Transition end() {
        return EndStep.reply(answer(), reply == null ? new CallAction.Finish() : reply);
    }

    private Transition write() {
        return new Transition(this, new CallAction.WriteRow(context.rowKey(), expected, target));
    }
}
