package org.gentianwalk.server.upstream;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One event of an engine's output.
 *
 * @param position position of the first token, or -1 when the engine does not report it
 * @param tokenIds identifiers of the tokens; empty when the engine does not report them
 * @param text text of all tokens together
 * @param finishReason set on the last event
 * @param cachedTokens prompt tokens taken from the prefix cache, or -1 when not reported
 */
public record EngineChunk(
        int position,
        List<Integer> tokenIds,
        String text,
        @Nullable String finishReason,
        int cachedTokens) {
    public EngineChunk {
        tokenIds = List.copyOf(tokenIds);
    }
}
