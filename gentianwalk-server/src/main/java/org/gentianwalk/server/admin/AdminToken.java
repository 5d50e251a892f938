package org.gentianwalk.server.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.jspecify.annotations.Nullable;

/** Verifies the operators' token against its SHA-256 hash. */
public final class AdminToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] mSha256;

    /**
     * Creates the verifier.
     *
     * @param sha256Hex hexadecimal SHA-256 of the token
     */
    public AdminToken(String sha256Hex) {
        mSha256 = HexFormat.of().parseHex(sha256Hex);
    }

    /**
     * Returns whether a header contains the token. The comparison takes constant time.
     *
     * @param authorization value of the Authorization header, or null
     * @return true if the token matches
     */
    public boolean matches(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return false;
        }
        byte[] token = authorization.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(mSha256, sha256(token));
    }

    /**
     * Returns the hash of a secret in the format of the settings.
     *
     * @param secret a token or an API key
     * @return lower-case hexadecimal SHA-256
     */
    public static String hash(String secret) {
        return HexFormat.of().formatHex(sha256(secret.getBytes(StandardCharsets.UTF_8)));
    }

    private static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
