package org.gentianwalk.server.mesh;

import java.util.Arrays;

/**
 * A key shared by all instances.
 *
 * @param id its name, sent with each frame
 * @param secret at least 16 bytes
 */
public record MeshKey(String id, byte[] secret) {
    /** Minimum length of a secret in bytes; a shorter one could be found by brute force. */
    public static final int MIN_LENGTH = 16;

    public MeshKey {
        if (id.isEmpty() || secret.length < MIN_LENGTH) {
            throw new IllegalArgumentException(
                    "a mesh key needs an id and a secret of at least " + MIN_LENGTH + " bytes");
        }
        secret = secret.clone();
    }

    @Override
    public byte[] secret() {
        return secret.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MeshKey key
                && id.equals(key.id)
                && Arrays.equals(secret, key.secret);
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }

    /** Omits the secret, so that it is never logged. */
    @Override
    public String toString() {
        return "MeshKey[" + id + "]";
    }
}
