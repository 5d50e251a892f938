package org.gentianwalk.server.pipeline;

import org.gentianwalk.core.replica.ReplicaService;

/** Passes on to a generation what its replica holders acknowledged. */
final class ReleaseListener implements ReplicaService.Listener {
    private final Generation mGeneration;

    ReleaseListener(Generation generation) {
        mGeneration = generation;
    }

    @Override
    public void onReleasable(int position, boolean finished) {
        mGeneration.released(position, finished);
    }

    @Override
    public void onFenced(int attempt) {
        mGeneration.fenced();
    }
}
