package org.gentianwalk.bench.capacity;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import org.gentianwalk.proto.Envelope;
import org.gentianwalk.proto.MessageType;

/** Computes the size of mesh frames: length prefix, envelope with its MAC, and message. */
final class Frames {
    private static final int LENGTH_BYTES = 4;
    private static final ByteString MAC = ByteString.copyFrom(new byte[32]);

    private Frames() {}

    static int bytes(MessageType type, MessageLite message) {
        return LENGTH_BYTES
                + Envelope.newBuilder()
                        .setSender("entry-instance-100")
                        .setIncarnation(1)
                        .setSequence(1_000_000)
                        .setKeyId("k1")
                        .setMac(MAC)
                        .setType(type)
                        .setPayload(message.toByteString())
                        .setCorrelation(1_000_000)
                        .build()
                        .getSerializedSize();
    }
}
