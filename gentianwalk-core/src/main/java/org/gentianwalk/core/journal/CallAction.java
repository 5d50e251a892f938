package org.gentianwalk.core.journal;

import com.google.protobuf.ByteString;
import org.gentianwalk.proto.CallRecord;

/** What the driver of a call has to do next. */
public sealed interface CallAction {
    /** Reads the call's row. */
    record ReadRow(String key) implements CallAction {}

    /** Writes the call's row if it has the expected version. */
    record WriteRow(String key, long expected, CallRecord value) implements CallAction {}

    /** Sends the call once, unless the monotonic clock is past the given reading. */
    record SendCall(long notAfterNanos) implements CallAction {}

    /** Asks the service for the outcome of the call. */
    record LookUp() implements CallAction {}

    /** Asks the owner of the row whether it has sent the call. */
    record AskOwner(String owner, long incarnation, ByteString nonce) implements CallAction {}

    /** Waits for a reading of the monotonic clock. */
    record Wait(long untilNanos) implements CallAction {}

    /** Replies to the caller; further actions on the row may follow. */
    record Reply(CallService.CallOutcome outcome) implements CallAction {}

    /** Replies to the caller with the answer stored in a row. */
    record ReplyStored(CallRecord stored) implements CallAction {}

    /** Ends the call; no action follows. */
    record Finish() implements CallAction {}
}
