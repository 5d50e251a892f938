package org.gentianwalk.server.mesh;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.gentianwalk.proto.Envelope;

/**
 * Signs or verifies the frames of one direction of a connection. Confined to its event loop.
 *
 * <p>The authentication code (MAC) covers the receiver's challenge, the sender's challenge, the
 * receiver's identifier and the envelope, so a frame can't be replayed on another connection or
 * forwarded to another instance. The MAC is the last field of the frame, so it is computed over the
 * serialized bytes without a second serialization.
 */
final class FrameAuthenticator {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAC_BYTES = 32;

    /** Tag and length of the field {@code mac}, which precede the authentication code. */
    private static final byte[] MAC_FIELD = {
        (byte) (Envelope.MAC_FIELD_NUMBER << 3 | 2), MAC_BYTES
    };

    private static final int TRAILER_BYTES = MAC_FIELD.length + MAC_BYTES;

    private final byte[] mContext;
    private final Map<MeshKey, Mac> mMacs = new HashMap<>();

    FrameAuthenticator(byte[] receiverChallenge, byte[] senderChallenge, String receiver) {
        byte[] name = receiver.getBytes(StandardCharsets.UTF_8);
        mContext =
                ByteBuffer.allocate(
                                12
                                        + receiverChallenge.length
                                        + senderChallenge.length
                                        + name.length)
                        .putInt(receiverChallenge.length)
                        .putInt(senderChallenge.length)
                        .putInt(name.length)
                        .put(receiverChallenge)
                        .put(senderChallenge)
                        .put(name)
                        .array();
    }

    /**
     * Returns the authenticator of hello frames, which are sent before any challenge has been
     * exchanged. A replayed hello gives no access, since later frames depend on the challenge.
     */
    static FrameAuthenticator forHello() {
        return new FrameAuthenticator(new byte[0], new byte[0], "");
    }

    byte[] sign(Envelope.Builder envelope, MeshKey key) {
        byte[] unsigned = envelope.setKeyId(key.id()).clearMac().build().toByteArray();
        byte[] frame = Arrays.copyOf(unsigned, unsigned.length + TRAILER_BYTES);
        System.arraycopy(MAC_FIELD, 0, frame, unsigned.length, MAC_FIELD.length);
        byte[] mac = computeMac(key, ByteBuffer.wrap(unsigned));
        System.arraycopy(mac, 0, frame, unsigned.length + MAC_FIELD.length, MAC_BYTES);
        return frame;
    }

    boolean isValid(ByteBuffer frame, Envelope envelope, List<MeshKey> keys) {
        int length = frame.remaining() - TRAILER_BYTES;
        if (length < 0 || envelope.getMac().size() != MAC_BYTES) {
            return false;
        }
        byte[] trailer = new byte[TRAILER_BYTES];
        frame.get(frame.position() + length, trailer);
        for (MeshKey key : keys) {
            if (key.id().equals(envelope.getKeyId())) {
                byte[] expected = Arrays.copyOf(MAC_FIELD, TRAILER_BYTES);
                byte[] mac = computeMac(key, frame.slice(frame.position(), length));
                System.arraycopy(mac, 0, expected, MAC_FIELD.length, MAC_BYTES);
                if (MessageDigest.isEqual(expected, trailer)) {
                    return true;
                }
            }
        }
        return false;
    }

    private byte[] computeMac(MeshKey key, ByteBuffer unsigned) {
        Mac mac = mMacs.computeIfAbsent(key, FrameAuthenticator::newMac);
        mac.update(mContext);
        mac.update(unsigned);
        return mac.doFinal();
    }

    private static Mac newMac(MeshKey key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
