package org.gentianwalk.core.replica;

import java.util.List;
import org.gentianwalk.core.model.RequestKey;

/**
 * Releases every token at once and keeps no copies, as an instance without a live peer does.
 *
 * <p>Options: none. Example: {@code ReplicaService replicas = new LocalReplicaService();}
 */
public final class LocalReplicaService implements ReplicaService {
    @Override
    public Session open(GenerationState initial, Listener listener) {
        return new LocalSession(listener, initial.tokens().size());
    }

    @Override
    public Takeover takeOver(RequestKey key) {
        return new Takeover.NotFound();
    }

    private static final class LocalSession implements Session {
        private final Listener mListener;
        private int mStored;

        LocalSession(Listener listener, int stored) {
            mListener = listener;
            mStored = stored;
        }

        @Override
        public void append(int position, List<GenerationState.Token> tokens) {
            mStored = position + tokens.size();
            mListener.onReleasable(mStored, false);
        }

        @Override
        public void nextAttempt(int attempt, int start) {}

        @Override
        public void finish(String reason) {
            mListener.onReleasable(mStored, true);
        }

        @Override
        public void abandon() {}
    }
}
