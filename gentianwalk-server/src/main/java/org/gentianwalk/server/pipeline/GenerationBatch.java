package org.gentianwalk.server.pipeline;

import java.util.List;
import org.gentianwalk.core.replica.GenerationState.Token;
import org.jspecify.annotations.Nullable;

/**
 * Released tokens for a reader.
 *
 * @param from position of the first token
 * @param tokens the tokens, empty when none came within the timeout
 * @param attempt the attempt that produced the last one
 * @param end set when no tokens follow these
 */
record GenerationBatch(int from, List<Token> tokens, int attempt, @Nullable GenerationEnd end) {
    /** Returns the number of tokens released up to and including this batch. */
    int position() {
        return from + tokens.size();
    }

    String text() {
        StringBuilder text = new StringBuilder();
        tokens.forEach(token -> text.append(token.text()));
        return text.toString();
    }
}
