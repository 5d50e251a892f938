package org.gentianwalk.standin.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * The deterministic output of a stand-in engine: each token follows from the model, the prompt, the
 * seed and all tokens before it, so a missing, repeated or foreign token changes everything after
 * it.
 *
 * <p>Example: {@code TokenSequence.start("m", 7, "user: hello").take(100, 0)}.
 */
public final class TokenSequence {
    /** Number of different tokens. */
    public static final int VOCABULARY = 50_000;

    private long mState;

    private TokenSequence(long state) {
        mState = state;
    }

    /**
     * Returns the sequence of a request.
     *
     * @param model the model
     * @param seed the sampling seed
     * @param prompt the prompt as plain text
     * @return the sequence at position 0
     */
    public static TokenSequence start(String model, long seed, String prompt) {
        long state = mix(seed);
        state = mix(state ^ model.hashCode());
        for (int i = 0; i < prompt.length(); i++) {
            state = state * 31 + prompt.charAt(i);
        }
        return new TokenSequence(mix(state));
    }

    /**
     * Returns the token at the current position.
     *
     * @param salt 0, or a value of its own for each engine that samples
     * @return the token's identifier
     */
    public int peek(long salt) {
        return (int) Long.remainderUnsigned(mix(mState ^ salt), VOCABULARY);
    }

    /**
     * Moves on by one position.
     *
     * @param token the token at the current position
     */
    public void advance(int token) {
        mState = mix(mState + token + 1);
    }

    /**
     * Returns the next tokens and moves on behind them.
     *
     * @param count number of tokens
     * @param salt as for {@link #peek}
     * @return the tokens' identifiers
     */
    public List<Integer> take(int count, long salt) {
        List<Integer> tokens = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int token = peek(salt);
            tokens.add(token);
            advance(token);
        }
        return tokens;
    }

    /**
     * Returns the text of a token.
     *
     * @param token the token's identifier
     * @return the identifier in decimal and a blank
     */
    public static String text(int token) {
        return token + " ";
    }

    // The finalizer of SplitMix64: every input bit affects every output bit.
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
