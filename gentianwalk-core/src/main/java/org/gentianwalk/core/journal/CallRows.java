package org.gentianwalk.core.journal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.proto.CallRecord;
import org.gentianwalk.proto.CallState;

/** Keys and contents of call rows. */
public final class CallRows {
    /** Prefix of the keys of all call rows. */
    public static final String PREFIX = "call/";

    private CallRows() {}

    /**
     * Returns the row's key. Team and key are encoded, so that a slash in one of them can't make
     * two calls share a row.
     *
     * @param key the request key
     * @return the key in the table
     */
    public static String rowKey(RequestKey key) {
        return PREFIX + encode(key.team()) + "/" + encode(key.key());
    }

    /**
     * Parses a row's content.
     *
     * @param row the row
     * @return the record, or empty when the content is malformed
     */
    public static Optional<CallRecord> parse(Row row) {
        try {
            return Optional.of(CallRecord.parseFrom(row.value()));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns whether a row is past its retention and may be removed.
     *
     * @param row the row
     * @param epochMillis the wall clock, milliseconds since the epoch
     * @return true for a well-formed row that is older than 7 days
     */
    public static boolean isExpired(Row row, long epochMillis) {
        return parse(row)
                .filter(
                        call ->
                                epochMillis - call.getWrittenEpochMs()
                                        > CallRules.RETENTION.toMillis())
                .isPresent();
    }

    static CallRecord withState(CallRecord call, CallState state) {
        return call.toBuilder().setState(state).build();
    }

    static CallRecord done(CallRecord call, CallService.Answer answer) {
        return call.toBuilder()
                .setState(CallState.DONE)
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(ByteString.copyFrom(answer.body()))
                .build();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
