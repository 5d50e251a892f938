package org.gentianwalk.core.hash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.SplittableRandom;

/**
 * Hash functions with stable values, equal in every process and instance.
 *
 * <p>Example: {@code KeyHash.score(KeyHash.of("team/key"), KeyHash.of("node-1"))}.
 */
public final class KeyHash {
    private KeyHash() {}

    /**
     * Hashes a text.
     *
     * @param text the text
     * @return the first 64 bits of the SHA-256 of its UTF-8 encoding
     */
    public static long of(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }

    /**
     * Computes the score of a member for a key; the member with the highest score ranks first.
     *
     * <p>The two digests are mixed with {@link SplittableRandom}. A SHA-256 of each pair would cost
     * 350 digest operations per request in a large deployment.
     *
     * @param key digest of the key
     * @param member digest of the member's identifier
     * @return the score, to be compared as a signed value
     */
    public static long score(long key, long member) {
        return new SplittableRandom(Long.rotateLeft(key, 17) ^ member).nextLong();
    }
}
