package org.gentianwalk.core.journal;

import java.util.Optional;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallRecord;
import org.gentianwalk.proto.CallState;

/**
 * Writes the intent. All writes of one claim carry the same nonce and the same expected version, so
 * at most one of them takes effect, and one that takes effect late is recognized by its nonce.
 *
 * @param context the attempt
 * @param expected version that the intent replaces
 * @param startNanos start of the first write
 * @param writes writes so far
 * @param hasUnconfirmedWrite true when the answer to a write was lost, so that it may still take
 *     effect
 */
record ClaimStep(
        CallContext context,
        long expected,
        long startNanos,
        int writes,
        boolean hasUnconfirmedWrite)
        implements CallStep {
    static Transition begin(CallContext context, long expected, long nowNanos) {
        return new ClaimStep(context, expected, nowNanos, 0, false).write();
    }

    @Override
    public Transition on(CallEvent event, long nowNanos) {
        return switch (event) {
            case CallEvent.WriteReturned write -> onWrite(write.result(), nowNanos);
            case CallEvent.ReadReturned read -> onRead(read.result(), nowNanos);
            case CallEvent.TimerFired timer -> isSendWindowOver(nowNanos) ? abandon() : write();
            default -> throw unexpected(event);
        };
    }

    @Override
    public CallAnswer answer() {
        return CallAnswer.RUNNING;
    }

    private Transition onWrite(WriteResult result, long nowNanos) {
        return switch (result) {
            case WriteResult.Written written -> onClaimed(written.version(), nowNanos);
            case WriteResult.Conflict conflict when conflict.current() != null ->
                    onRow(conflict.current(), nowNanos);
            case WriteResult.Conflict conflict -> retry(Row.ABSENT, nowNanos);
            case WriteResult.Unknown unknown -> onUnconfirmed(nowNanos);
            case WriteResult.NotSent notSent -> abandon();
        };
    }

    private Transition onRead(ReadResult result, long nowNanos) {
        return switch (result) {
            case ReadResult.Found found -> onRow(found.row(), nowNanos);
            case ReadResult.Missing missing -> retry(Row.ABSENT, nowNanos);
            case ReadResult.Unavailable unavailable -> abandon();
        };
    }

    private Transition onUnconfirmed(long nowNanos) {
        ClaimStep next = new ClaimStep(context, expected, startNanos, writes, true);
        return isSendWindowOver(nowNanos)
                ? next.abandon()
                : new Transition(next, new CallAction.ReadRow(context.rowKey()));
    }

    private Transition onRow(Row row, long nowNanos) {
        Optional<CallRecord> call = CallRows.parse(row);
        if (call.isPresent() && context.owns(call.get())) {
            if (call.get().getState() == CallState.INTENT) {
                return onClaimed(row.version(), nowNanos);
            }
            return onResolvedByOther(call.get(), row.version());
        }
        if (row.version() == expected) {
            return retry(expected, nowNanos);
        }
        // The version has moved on, so a lost write of this claim can't take effect any more.
        return WatchStep.inspect(context, row, null, nowNanos);
    }

    /** Handles a row that another instance resolved while this one was paused. */
    private Transition onResolvedByOther(CallRecord call, long version) {
        if (call.getState() == CallState.DONE) {
            return EndStep.reply(CallAnswer.FINISHED, new CallAction.ReplyStored(call));
        }
        return RecordStep.start(context, CallState.NOT_RUN, version, context.storeUnavailable());
    }

    private Transition onClaimed(long version, long nowNanos) {
        if (isSendWindowOver(nowNanos)) {
            return RecordStep.start(
                    context, CallState.NOT_RUN, version, context.storeUnavailable());
        }
        return new Transition(
                new SendStep(context, version),
                new CallAction.SendCall(startNanos + CallRules.SEND_WINDOW_NANOS));
    }

    private Transition retry(long nextExpected, long nowNanos) {
        // Versions do not recur, so a lost write for another version can't take effect any more.
        boolean unconfirmed = hasUnconfirmedWrite && nextExpected == expected;
        ClaimStep next = new ClaimStep(context, nextExpected, startNanos, writes, unconfirmed);
        if (writes >= CallRules.MAX_CLAIM_WRITES || isSendWindowOver(nowNanos)) {
            return next.abandon();
        }
        return new Transition(next, new CallAction.Wait(nowNanos + CallRules.CLAIM_RETRY_NANOS));
    }

    private Transition write() {
        ClaimStep next =
                new ClaimStep(context, expected, startNanos, writes + 1, hasUnconfirmedWrite);
        return new Transition(
                next, new CallAction.WriteRow(context.rowKey(), expected, context.intent()));
    }

    /**
     * Abandons the claim. An unconfirmed intent may still be in the row, now or later, so it is
     * resolved in the background.
     */
    private Transition abandon() {
        if (!hasUnconfirmedWrite) {
            return EndStep.reply(CallAnswer.NEVER_SENT, context.storeUnavailable());
        }
        return EndStep.replyThenRecord(
                RecordStep.background(context, CallState.NOT_RUN, expected),
                context.storeUnavailable());
    }

    private boolean isSendWindowOver(long nowNanos) {
        return nowNanos - startNanos > CallRules.SEND_WINDOW_NANOS;
    }
}
