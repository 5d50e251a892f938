package org.gentianwalk.core.replica;

import java.util.List;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.jspecify.annotations.Nullable;

/**
 * Everything needed to continue a generation on another instance.
 *
 * @param key the request key
 * @param requestDigest SHA-256 of the caller's request
 * @param request the caller's request as accepted, JSON in UTF-8
 * @param model the model
 * @param kind the kind of work
 * @param rank the service class
 * @param seed sampling seed
 * @param deadlineEpochMillis deadline in milliseconds since the epoch, or 0 for none
 * @param lineage the attempts so far, oldest first, not empty
 * @param tokens the output so far
 * @param finishReason set when the generation has ended
 */
public record GenerationState(
        RequestKey key,
        byte[] requestDigest,
        byte[] request,
        String model,
        String kind,
        Rank rank,
        long seed,
        long deadlineEpochMillis,
        List<LineageEntry> lineage,
        List<Token> tokens,
        @Nullable String finishReason) {
    public GenerationState {
        if (lineage.isEmpty()) {
            throw new IllegalArgumentException("a generation has at least one attempt");
        }
        lineage = List.copyOf(lineage);
        tokens = List.copyOf(tokens);
    }

    /**
     * An output token.
     *
     * @param id identifier in the model's vocabulary
     * @param text its text
     */
    public record Token(int id, String text) {}

    /**
     * One attempt.
     *
     * @param attempt its number, from 1
     * @param start position of its first token
     * @param owner the instance that ran it
     */
    public record LineageEntry(int attempt, int start, String owner) {}
}
