package org.gentianwalk.server.pipeline;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.replica.GenerationState.LineageEntry;
import org.gentianwalk.core.replica.GenerationState.Token;

/** Output and lineage of a generation. Not thread-safe; {@link Generation} guards it. */
final class TokenLog {
    private final List<Token> mTokens;
    private final List<LineageEntry> mLineage;
    private long mTextChars;

    TokenLog(List<Token> tokens, List<LineageEntry> lineage) {
        mTokens = new ArrayList<>(tokens);
        mLineage = new ArrayList<>(lineage);
        tokens.forEach(token -> mTextChars += token.text().length());
    }

    int size() {
        return mTokens.size();
    }

    long textChars() {
        return mTextChars;
    }

    Token tokenAt(int position) {
        return mTokens.get(position);
    }

    void add(List<Token> tokens) {
        mTokens.addAll(tokens);
        tokens.forEach(token -> mTextChars += token.text().length());
    }

    List<Token> copy(int from, int to) {
        return List.copyOf(mTokens.subList(from, to));
    }

    void addAttempt(LineageEntry entry) {
        mLineage.add(entry);
    }

    List<LineageEntry> lineage() {
        return List.copyOf(mLineage);
    }

    int attempt() {
        return mLineage.getLast().attempt();
    }

    int attempts() {
        return mLineage.size();
    }

    /** Returns the attempt that produced the last token before a position. */
    int attemptBefore(int position) {
        int attempt = mLineage.getFirst().attempt();
        for (LineageEntry entry : mLineage) {
            if (entry.start() < position) {
                attempt = entry.attempt();
            }
        }
        return attempt;
    }

    /**
     * Returns whether a caller that read an attempt up to a position has read a prefix of this log.
     */
    boolean covers(int attempt, int position) {
        if (position < 0 || position > mTokens.size()) {
            return false;
        }
        for (int i = 0; i < mLineage.size(); i++) {
            LineageEntry entry = mLineage.get(i);
            if (entry.attempt() == attempt) {
                int end = i + 1 < mLineage.size() ? mLineage.get(i + 1).start() : mTokens.size();
                return position >= entry.start() && position <= end;
            }
        }
        return false;
    }
}
