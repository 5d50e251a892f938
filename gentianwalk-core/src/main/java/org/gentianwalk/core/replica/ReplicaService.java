package org.gentianwalk.core.replica;

import java.util.List;
import org.gentianwalk.core.model.RequestKey;

/** Keeps copies of running generations on other instances. Methods may block a traffic thread. */
public interface ReplicaService {
    /**
     * Starts keeping copies of a generation that this instance runs.
     *
     * @param initial its state at the start of the current attempt
     * @param listener receives the positions up to which tokens may be released
     * @return the session for its output
     */
    Session open(GenerationState initial, Listener listener);

    /**
     * Takes over a generation from the instance that ran it, and fences that instance.
     *
     * @param key the request key
     * @return the state to continue from, or the reason why there is none
     */
    Takeover takeOver(RequestKey key);

    /**
     * Takes over a generation for a caller that already has some of its tokens. While an instance
     * that may hold a longer record does not answer, the result is {@link Takeover.Contended}
     * rather than a record that does not cover what the caller has.
     *
     * @param key the request key
     * @param attempt the attempt that the caller last got a token from
     * @param position number of tokens that the caller has; 0 for none
     * @return the state to continue from, or the reason why there is none; {@link Lineage#covers}
     *     checks whether it covers the position
     */
    default Takeover takeOver(RequestKey key, int attempt, int position) {
        return takeOver(key);
    }

    /** The copies of one generation. */
    interface Session {
        /**
         * Adds output.
         *
         * @param position position of the first token
         * @param tokens the tokens
         */
        void append(int position, List<GenerationState.Token> tokens);

        /**
         * Records that a further attempt of the same instance starts.
         *
         * @param attempt number of the attempt
         * @param start position of its first token
         */
        void nextAttempt(int attempt, int start);

        /**
         * Records the end of the generation.
         *
         * @param reason {@code stop}, {@code length} or the code of an error
         */
        void finish(String reason);

        /** Abandons the generation; holders drop their copies. */
        void abandon();
    }

    /**
     * Receives the progress of replication. Called on any thread, one call at a time. A call must
     * not block, since all generations of the instance share that thread.
     */
    interface Listener {
        /**
         * Called when all tokens before a position are stored and may be released.
         *
         * @param position number of tokens that may be released
         * @param finished true when the end of the generation is stored too
         */
        void onReleasable(int position, boolean finished);

        /**
         * Called when another instance has taken over; nothing more may be released.
         *
         * @param attempt number of the other instance's attempt
         */
        void onFenced(int attempt);
    }

    /** Result of a takeover. */
    sealed interface Takeover {
        /**
         * This instance is now the owner. A generation that has ended has no new owner: its finish
         * reason is set and its lineage is unchanged.
         *
         * @param state the state to continue from; its last lineage entry is the new attempt
         */
        record Taken(GenerationState state) implements Takeover {}

        /** No reachable instance holds the generation. */
        record NotFound() implements Takeover {}

        /**
         * The claim failed; a retry may succeed.
         *
         * @param cause the reason, for the log
         */
        record Contended(String cause) implements Takeover {}
    }
}
