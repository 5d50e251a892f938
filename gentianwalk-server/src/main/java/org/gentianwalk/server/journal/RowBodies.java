package org.gentianwalk.server.journal;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import java.util.Optional;
import org.gentianwalk.core.journal.CallService.Answer;
import org.gentianwalk.core.platform.ObjectStore;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.proto.CallRecord;
import org.jboss.logging.Logger;

/** Moves large bodies of stored answers to the object store and reads them back. */
final class RowBodies {
    /** Largest body stored in a row, in bytes; design, section 5.3 rule 4. */
    static final int MAX_ROW_BODY_BYTES = 64 * 1024;

    private static final Logger LOG = Logger.getLogger(RowBodies.class);

    private final ObjectStore mObjects;

    RowBodies(ObjectStore objects) {
        mObjects = objects;
    }

    /**
     * Returns the row's content with a large body moved to the object store. When storing the body
     * fails, the row still records that the call was executed, and a repeated call gets {@code
     * OUTCOME_UNKNOWN}.
     */
    CallRecord pack(String rowKey, CallRecord call) {
        if (call.getBody().size() <= MAX_ROW_BODY_BYTES) {
            return call;
        }
        String object = rowKey + "/" + HexFormat.of().formatHex(call.getNonce().toByteArray());
        try {
            mObjects.put(object, call.getBody().toByteArray());
        } catch (PlatformException e) {
            LOG.warnf("storing the body of %s failed: %s", rowKey, e.getMessage());
        }
        return call.toBuilder().setBody(ByteString.EMPTY).setBodyObject(object).build();
    }

    /** Returns the stored answer, or empty when its body can't be read. */
    Optional<Answer> unpack(CallRecord call) {
        byte[] body = call.getBody().toByteArray();
        if (!call.getBodyObject().isEmpty()) {
            try {
                Optional<byte[]> stored = mObjects.read(call.getBodyObject());
                if (stored.isEmpty()) {
                    return Optional.empty();
                }
                body = stored.get();
            } catch (PlatformException e) {
                LOG.warnf("reading the body of a stored answer failed: %s", e.getMessage());
                return Optional.empty();
            }
        }
        return Optional.of(new Answer(call.getStatus(), call.getContentType(), body));
    }
}
