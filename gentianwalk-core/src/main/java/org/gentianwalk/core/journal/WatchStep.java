package org.gentianwalk.core.journal;

import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallRecord;
import org.gentianwalk.proto.CallState;
import org.jspecify.annotations.Nullable;

/**
 * Watches a row that another attempt owns: waits for its outcome, polls its owner, and resolves the
 * row when the owner stays unreachable.
 *
 * @param context this attempt
 * @param seen the other attempt's row
 * @param version the row's version
 * @param deadlineNanos end of the wait for the owner
 * @param lastAnswer the owner's last answer
 * @param target outcome that is being written on the owner's behalf, or null
 */
record WatchStep(
        CallContext context,
        CallRecord seen,
        long version,
        long deadlineNanos,
        CallAnswer lastAnswer,
        @Nullable CallRecord target)
        implements CallStep {
    /** Chooses the step that follows from the content of another attempt's row. */
    static Transition inspect(
            CallContext context, Row row, @Nullable WatchStep previous, long nowNanos) {
        CallRecord seen = CallRows.parse(row).orElse(null);
        if (seen == null) {
            return EndStep.reply(CallAnswer.NEVER_SENT, context.outcomeUnknown());
        }
        if (!seen.getBodyDigest().equals(context.bodyDigest())) {
            return EndStep.reply(CallAnswer.NEVER_SENT, context.keyReused());
        }
        WatchStep same =
                previous != null && previous.seen.getNonce().equals(seen.getNonce())
                        ? previous
                        : null;
        WatchStep step =
                new WatchStep(
                        context,
                        seen,
                        row.version(),
                        same == null
                                ? nowNanos + CallRules.OWNER_TIMEOUT_NANOS
                                : same.deadlineNanos,
                        same == null ? CallAnswer.NOT_KNOWN : same.lastAnswer,
                        null);
        return switch (seen.getState()) {
            case DONE -> EndStep.reply(CallAnswer.NEVER_SENT, new CallAction.ReplyStored(seen));
            case NOT_RUN -> ClaimStep.begin(context, row.version(), nowNanos);
            case UNKNOWN -> new Transition(step, new CallAction.LookUp());
            case INTENT -> step.waitForOwner(nowNanos);
            default -> EndStep.reply(CallAnswer.NEVER_SENT, context.outcomeUnknown());
        };
    }

    @Override
    public Transition on(CallEvent event, long nowNanos) {
        return switch (event) {
            case CallEvent.OwnerAnswered peer -> onOwnerAnswer(peer.answer(), nowNanos);
            case CallEvent.TimerFired timer ->
                    lastAnswer == CallAnswer.RUNNING
                            ? askOwner()
                            : new Transition(this, new CallAction.ReadRow(context.rowKey()));
            case CallEvent.ReadReturned read -> onRead(read.result(), nowNanos);
            case CallEvent.LookupReturned lookup -> onLookup(lookup.result());
            case CallEvent.WriteReturned write -> onWrite(write.result(), nowNanos);
            default -> throw unexpected(event);
        };
    }

    /** This attempt's nonce is in no row, or no call was sent under it. */
    @Override
    public CallAnswer answer() {
        return CallAnswer.NOT_KNOWN;
    }

    private Transition waitForOwner(long nowNanos) {
        if (!hasDeadlinePassed(nowNanos)) {
            return askOwner();
        }
        return isOwnerAlive()
                ? EndStep.reply(CallAnswer.NEVER_SENT, context.inProgress())
                : new Transition(this, new CallAction.LookUp());
    }

    private Transition onOwnerAnswer(CallAnswer answer, long nowNanos) {
        if (answer == CallAnswer.NEVER_SENT) {
            return resolve(CallRows.withState(seen, CallState.NOT_RUN));
        }
        if (seen.getState() == CallState.UNKNOWN) {
            return EndStep.reply(CallAnswer.NEVER_SENT, context.outcomeUnknown());
        }
        WatchStep next = withAnswer(answer);
        if (next.isOwnerAlive() && hasDeadlinePassed(nowNanos)) {
            return EndStep.reply(CallAnswer.NEVER_SENT, context.inProgress());
        }
        return next.pause(nowNanos);
    }

    private Transition onRead(ReadResult result, long nowNanos) {
        return switch (result) {
            case ReadResult.Found found -> inspect(context, found.row(), this, nowNanos);
            case ReadResult.Missing missing ->
                    EndStep.reply(CallAnswer.NEVER_SENT, context.outcomeUnknown());
            case ReadResult.Unavailable unavailable ->
                    hasDeadlinePassed(nowNanos)
                            ? EndStep.reply(CallAnswer.NEVER_SENT, context.outcomeUnknown())
                            : pause(nowNanos);
        };
    }

    private Transition onLookup(CallService.SendResult result) {
        if (result instanceof CallService.SendResult.Answered answered) {
            return resolve(CallRows.done(seen, answered.answer()));
        }
        // A paused owner may still send the call, even if the service does not know it yet.
        return seen.getState() == CallState.UNKNOWN
                ? askOwner()
                : resolve(CallRows.withState(seen, CallState.UNKNOWN));
    }

    private Transition onWrite(WriteResult result, long nowNanos) {
        CallRecord written = target;
        if (written == null) {
            throw unexpected(new CallEvent.WriteReturned(result));
        }
        if (result instanceof WriteResult.Conflict conflict) {
            Row current = conflict.current();
            return current == null
                    ? EndStep.reply(CallAnswer.NEVER_SENT, context.outcomeUnknown())
                    : inspect(context, current, this, nowNanos);
        }
        if (written.getState() == CallState.NOT_RUN) {
            return result instanceof WriteResult.Written ok
                    ? ClaimStep.begin(context, ok.version(), nowNanos)
                    : EndStep.reply(CallAnswer.NEVER_SENT, context.storeUnavailable());
        }
        return EndStep.reply(
                CallAnswer.NEVER_SENT,
                written.getState() == CallState.DONE
                        ? new CallAction.ReplyStored(written)
                        : context.outcomeUnknown());
    }

    private Transition askOwner() {
        return new Transition(
                this,
                new CallAction.AskOwner(
                        seen.getOwner(), seen.getOwnerIncarnation(), seen.getNonce()));
    }

    private Transition pause(long nowNanos) {
        return new Transition(this, new CallAction.Wait(nowNanos + CallRules.POLL_INTERVAL_NANOS));
    }

    private Transition resolve(CallRecord outcome) {
        WatchStep next = new WatchStep(context, seen, version, deadlineNanos, lastAnswer, outcome);
        return new Transition(next, new CallAction.WriteRow(context.rowKey(), version, outcome));
    }

    private WatchStep withAnswer(CallAnswer answer) {
        return new WatchStep(context, seen, version, deadlineNanos, answer, null);
    }

    private boolean isOwnerAlive() {
        return lastAnswer == CallAnswer.RUNNING || lastAnswer == CallAnswer.FINISHED;
    }

    private boolean hasDeadlinePassed(long nowNanos) {
        return nowNanos - deadlineNanos >= 0;
    }
}
