package org.gentianwalk.core.journal;

import com.google.protobuf.ByteString;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.proto.CallRecord;
import org.gentianwalk.proto.CallState;

/**
 * Identity of one attempt of one call at one instance.
 *
 * @param key team and idempotency key
 * @param bodyDigest SHA-256 over method, path and body
 * @param owner id of the instance
 * @param incarnation start time of the instance
 * @param nonce random bytes, used for this attempt only
 * @param epochMillis wall clock when the call was submitted
 */
public record CallContext(
        RequestKey key,
        ByteString bodyDigest,
        String owner,
        long incarnation,
        ByteString nonce,
        long epochMillis) {
    String rowKey() {
        return CallRows.rowKey(key);
    }

    CallRecord intent() {
        return CallRecord.newBuilder()
                .setState(CallState.INTENT)
                .setOwner(owner)
                .setOwnerIncarnation(incarnation)
                .setNonce(nonce)
                .setBodyDigest(bodyDigest)
                .setWrittenEpochMs(epochMillis)
                .build();
    }

    boolean owns(CallRecord call) {
        return call.getNonce().equals(nonce);
    }

    CallAction storeUnavailable() {
        return failed(ServeError.refused(ErrorKind.STORE_UNAVAILABLE, CallRules.RETRY_AFTER));
    }

    CallAction upstreamNotReached(String cause) {
        return failed(ServeError.refused(ErrorKind.UPSTREAM_FAILED, CallRules.RETRY_AFTER, cause));
    }

    CallAction outcomeUnknown() {
        return failed(ServeError.failed(ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN, key.key()));
    }

    CallAction inProgress() {
        return failed(ServeError.failed(ErrorKind.CALL_IN_PROGRESS, Outcome.UNKNOWN, key.key()));
    }

    CallAction keyReused() {
        return failed(ServeError.rejected(ErrorKind.KEY_REUSED, key.key()));
    }

    CallAction keyExpired() {
        return failed(
                ServeError.invalidParameter(
                        "Idempotency-Key",
                        "The idempotency key's date is more than "
                                + CallRules.RETENTION.toDays()
                                + " days ago. Use a key with today's date."));
    }

    private static CallAction failed(ServeError error) {
        return new CallAction.Reply(new CallService.CallOutcome.Failed(error));
    }
}
