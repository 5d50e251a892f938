package org.gentianwalk.core.model;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A 128-bit hash of a request's team, model and prompt, or of the content of a plain call.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record Fingerprint(long high, long low) {
    /**
     * Computes the first 128 bits of the SHA-256 of several parts.
     *
     * @param parts the parts; each is followed by a zero byte
     * @return the fingerprint
     */
    public static Fingerprint of(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update(part);
                digest.update((byte) 0);
            }
            ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
            return new Fingerprint(bytes.getLong(), bytes.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }
}
