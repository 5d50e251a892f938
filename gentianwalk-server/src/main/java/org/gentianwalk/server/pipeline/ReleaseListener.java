package org.gentianwalk.server.pipeline;

import org.gentianwalk.core.replica.ReplicaService;

/** Forwards the acknowledgements of the replica holders to a generation. */
final class ReleaseListener implements ReplicaService.Listener {
    private final Generation mGeneration;

    ReleaseListener(Generation generation) {
        mGeneration = generation;
    }

    @Override
    public void onReleasable(int position, boolean finished) {
        mGeneration.release(position, finished);
    }

    @Override
    public void onFenced(int attempt) {
        mGeneration.markTakenOver();
    }
}
