package org.gentianwalk.core.model;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A prompt as plain text, with the length estimate and hashes that routing and accounting use.
 *
 * @param text the whole prompt
 */
public record Prompt(String text) {
    /** Length of a block in characters, about 64 tokens of English text. */
    public static final int BLOCK_CHARS = 256;

    private static final int CHARS_PER_TOKEN = 4;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * Estimates the length in tokens.
     *
     * @return number of tokens, at least 1
     */
    public int estimatedTokens() {
        return Math.max(1, (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
    }

    /**
     * Hashes the complete blocks of the prompt.
     *
     * @param model the model, included since caches of different models share nothing
     * @return one hash for each block, which also covers all preceding blocks
     */
    public List<Long> blockHashes(String model) {
        List<Long> hashes = new ArrayList<>(text.length() / BLOCK_CHARS);
        long hash = fnv1a(FNV_OFFSET, model, 0, model.length());
        for (int end = BLOCK_CHARS; end <= text.length(); end += BLOCK_CHARS) {
            hash = fnv1a(hash, text, end - BLOCK_CHARS, end);
            hashes.add(hash);
        }
        return hashes;
    }

    /**
     * Computes the fingerprint that recognizes a request repeated under another idempotency key.
     *
     * @param team the team
     * @param model the model
     * @return the first 128 bits of the SHA-256 of team, model and text
     */
    public Fingerprint fingerprint(String team, String model) {
        return Fingerprint.of(
                team.getBytes(StandardCharsets.UTF_8),
                model.getBytes(StandardCharsets.UTF_8),
                text.getBytes(StandardCharsets.UTF_8));
    }

    private static long fnv1a(long seed, String text, int from, int to) {
        long hash = seed;
        for (int i = from; i < to; i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
