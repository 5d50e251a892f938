package org.gentianwalk.core.journal;

import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.CallAnswer;

/**
 * An input of {@link CallJournal}; each but the first reports the result of the last {@link
 * CallAction}.
 */
public sealed interface CallEvent {
    /** The caller submitted the call. */
    record Submitted() implements CallEvent {}

    /** Result of {@link CallAction.WriteRow}. */
    record WriteReturned(WriteResult result) implements CallEvent {}

    /** Result of {@link CallAction.ReadRow}. */
    record ReadReturned(ReadResult result) implements CallEvent {}

    /** Result of {@link CallAction.SendCall}; {@code NeverSent} when the send window had passed. */
    record CallReturned(CallService.SendResult result) implements CallEvent {}

    /** Result of {@link CallAction.LookUp}. */
    record LookupReturned(CallService.SendResult result) implements CallEvent {}

    /** Result of {@link CallAction.AskOwner}; {@code NOT_KNOWN} when the owner can't be reached. */
    record OwnerAnswered(CallAnswer answer) implements CallEvent {}

    /** Result of {@link CallAction.Wait}. */
    record TimerFired() implements CallEvent {}

    /** Result of {@link CallAction.Reply} and {@link CallAction.ReplyStored}. */
    record Replied() implements CallEvent {}
}
