package org.gentianwalk.core.journal;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.journal.CallService.Answer;
import org.gentianwalk.core.journal.CallService.CallOutcome;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallRecord;
import org.gentianwalk.proto.CallState;
import org.junit.jupiter.api.Test;

/** Tests single rules of the journal, each with the sequence of events that requires it. */
class CallJournalTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final SendResult ANSWERED =
            new SendResult.Answered(new Answer(201, "text/plain", new byte[] {7}));

    private final CallContext mContext = context("a", "body");
    private final CallJournal mJournal = new CallJournal(mContext);
    private CallAction mAction = mJournal.on(new CallEvent.Submitted(), 0);

    private static CallContext context(String id, String body) {
        return new CallContext(
                new RequestKey("t", "k"),
                ByteString.copyFromUtf8(body),
                id,
                1,
                ByteString.copyFromUtf8(id),
                0);
    }

    private void write(WriteResult result, long now) {
        assertThat(mAction).isInstanceOf(CallAction.WriteRow.class);
        mAction = mJournal.on(new CallEvent.WriteReturned(result), now);
    }

    private void assertWrites(CallState state) {
        assertThat(((CallAction.WriteRow) mAction).value().getState()).isEqualTo(state);
    }

    private static Row row(long version, CallRecord call) {
        return new Row("row", version, call.toByteArray());
    }

    private ServeError failure() {
        return ((CallOutcome.Failed) ((CallAction.Reply) mAction).outcome()).error();
    }

    @Test
    void anOwnerThatWasPausedForAnHourDoesNotSend() {
        CallRecord unknown = CallRows.withState(mContext.intent(), CallState.UNKNOWN);
        write(new WriteResult.Written(1), 3600 * SECOND);
        assertWrites(CallState.NOT_RUN);
        assertThat(mJournal.answer()).isEqualTo(CallAnswer.NEVER_SENT);
        write(new WriteResult.Conflict(row(2, unknown)), 3600 * SECOND);
        assertWrites(CallState.NOT_RUN);
        assertThat(((CallAction.WriteRow) mAction).expected()).isEqualTo(2);
        write(new WriteResult.Written(3), 3600 * SECOND);
        assertThat(failure().outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void aLostAnswerIsReadBackAndOnlyTheOwnNonceContinues() {
        write(new WriteResult.Unknown(""), SECOND);
        assertThat(mAction).isInstanceOf(CallAction.ReadRow.class);
        ReadResult own = new ReadResult.Found(row(1, mContext.intent()));
        mAction = mJournal.on(new CallEvent.ReadReturned(own), SECOND);
        assertThat(mAction).isEqualTo(new CallAction.SendCall(2 * SECOND));
        mAction = mJournal.on(new CallEvent.CallReturned(ANSWERED), SECOND);
        assertWrites(CallState.DONE);
        write(new WriteResult.Written(2), SECOND);
        assertThat(((CallAction.Reply) mAction).outcome()).isInstanceOf(CallOutcome.Answered.class);
    }

    @Test
    void aCallOfAnUnreachableOwnerBecomesUnknownAndIsResolvedByLookup() {
        CallRecord other = context("b", "body").intent();
        write(new WriteResult.Conflict(row(1, other)), 0);
        long now = 0;
        while (!(mAction instanceof CallAction.LookUp)) {
            CallEvent event =
                    switch (mAction) {
                        case CallAction.AskOwner ask ->
                                new CallEvent.OwnerAnswered(CallAnswer.NOT_KNOWN);
                        case CallAction.Wait wait -> {
                            now = wait.untilNanos();
                            yield new CallEvent.TimerFired();
                        }
                        default -> new CallEvent.ReadReturned(new ReadResult.Found(row(1, other)));
                    };
            mAction = mJournal.on(event, now);
        }
        assertThat(now).isEqualTo(10 * SECOND);
        SendResult notFound = new SendResult.NeverSent("a paused owner may still send");
        mAction = mJournal.on(new CallEvent.LookupReturned(notFound), now);
        assertWrites(CallState.UNKNOWN);
        write(new WriteResult.Written(2), now);
        assertThat(failure().outcome()).isEqualTo(Outcome.UNKNOWN);

        CallJournal repeat = new CallJournal(context("c", "body"));
        repeat.on(new CallEvent.Submitted(), now);
        Row unknown = row(2, CallRows.withState(other, CallState.UNKNOWN));
        WriteResult conflict = new WriteResult.Conflict(unknown);
        assertThat(repeat.on(new CallEvent.WriteReturned(conflict), now))
                .isInstanceOf(CallAction.LookUp.class);
        mAction = repeat.on(new CallEvent.LookupReturned(ANSWERED), now);
        assertWrites(CallState.DONE);
        WriteResult written = new WriteResult.Written(3);
        assertThat(repeat.on(new CallEvent.WriteReturned(written), now))
                .isInstanceOf(CallAction.ReplyStored.class);
    }

    @Test
    void anotherBodyUnderTheKeyIsRefusedInEveryState() {
        for (CallState state :
                new CallState[] {
                    CallState.INTENT, CallState.DONE, CallState.NOT_RUN, CallState.UNKNOWN
                }) {
            CallJournal journal = new CallJournal(mContext);
            journal.on(new CallEvent.Submitted(), 0);
            Row other = row(1, CallRows.withState(context("b", "other").intent(), state));
            mAction = journal.on(new CallEvent.WriteReturned(new WriteResult.Conflict(other)), 0);
            assertThat(failure().kind()).as("%s", state).isEqualTo(ErrorKind.KEY_REUSED);
        }
    }

    @Test
    void keysThatCarryAnOldDateAreRefused() {
        long day = Duration.ofDays(1).toMillis();
        assertThat(KeyDate.isExpired("1970-01-01-x", 8 * day)).isFalse();
        assertThat(KeyDate.isExpired("1970-01-01-x", 8 * day + 1)).isTrue();
        assertThat(KeyDate.isExpired("00000000-0001-7000-8000-000000000000", 7 * day + 1))
                .isFalse();
        assertThat(KeyDate.isExpired("00000000-0001-7000-8000-000000000000", 7 * day + 2)).isTrue();
        assertThat(KeyDate.isExpired("1970-13-01-x", 900 * day)).isFalse();
        assertThat(KeyDate.isExpired("order-17", 900 * day)).isFalse();
    }
}
