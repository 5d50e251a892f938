package org.gentianwalk.core.replica;

import java.util.List;

/**
 * Checks positions against the attempts of a generation.
 *
 * <p>Options: none. Example: {@code Lineage.covers(taken.state(), lastAttempt, lastPosition)}
 * decides whether a caller's {@code Last-Event-ID} can be continued.
 */
public final class Lineage {
    private Lineage() {}

    /**
     * Returns whether the tokens that a caller received from an attempt are still part of a
     * generation.
     *
     * @param state the generation
     * @param attempt the attempt that the caller last got a token from
     * @param position number of tokens that the caller has
     * @return false when the caller has tokens that another attempt replaced
     */
    public static boolean covers(GenerationState state, int attempt, int position) {
        List<GenerationState.LineageEntry> lineage = state.lineage();
        for (int i = 0; i < lineage.size(); i++) {
            if (lineage.get(i).attempt() == attempt) {
                int end =
                        i + 1 < lineage.size() ? lineage.get(i + 1).start() : state.tokens().size();
                return position >= lineage.get(i).start() && position <= end;
            }
        }
        return false;
    }
}
