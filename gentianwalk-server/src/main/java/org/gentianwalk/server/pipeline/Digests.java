package org.gentianwalk.server.pipeline;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 of keys and bodies. */
public final class Digests {
    private Digests() {}

    /**
     * Hashes parts in order; each part after the first is preceded by its length.
     *
     * @param first the first part, hashed without its length
     * @param more further parts
     * @return 32 bytes
     */
    public static byte[] sha256(byte[] first, byte[]... more) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(first);
            for (byte[] part : more) {
                digest.update(java.nio.ByteBuffer.allocate(4).putInt(0, part.length));
                digest.update(part);
            }
            return digest.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must provide SHA-256", e);
        }
    }

    /**
     * Returns bytes in hexadecimal.
     *
     * @param bytes the bytes
     * @return lower-case digits
     */
    public static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }
}
