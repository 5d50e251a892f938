package org.gentianwalk.server.replica;

import java.util.List;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.OwnerSession;
import org.gentianwalk.core.replica.ReplicaService;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Replica session of a generation that this instance runs: passes its calls to the event loop and
 * notifies its listener.
 */
final class MeshSession implements ReplicaService.Session {
    private static final Logger LOG = Logger.getLogger(MeshSession.class);

    private final MeshReplicaService mService;
    private final OwnerSession mOwner;
    private final ReplicaService.Listener mListener;
    private int mNotifiedPosition;
    private boolean mEnded;
    private @Nullable HolderLink mLink;

    MeshSession(MeshReplicaService service, OwnerSession owner, ReplicaService.Listener listener) {
        mService = service;
        mOwner = owner;
        mListener = listener;
        mNotifiedPosition = -1;
    }

    @Override
    public void append(int position, List<GenerationState.Token> tokens) {
        List<GenerationState.Token> copy = List.copyOf(tokens);
        applyOnLoop(() -> mOwner.append(position, copy));
    }

    @Override
    public void nextAttempt(int attempt, int start) {
        applyOnLoop(() -> mOwner.nextAttempt(attempt, start));
    }

    @Override
    public void finish(String reason) {
        applyOnLoop(() -> mOwner.finish(reason));
    }

    @Override
    public void abandon() {
        applyOnLoop(mOwner::abandon);
    }

    OwnerSession owner() {
        return mOwner;
    }

    /** Queues an item, and removes one that is still queued for a replaced holder. */
    void enqueue(HolderLink link, OwnerSession.Item item) {
        if (mLink != null && mLink != link) {
            mLink.remove(this);
        }
        mLink = link;
        link.add(this, item);
    }

    /**
     * Notifies the listener of changes; called on the loop. Returns true once the session has
     * ended.
     */
    boolean notifyListener() {
        if (mEnded) {
            return true;
        }
        boolean finished = mOwner.isFinishReleasable();
        mEnded = mOwner.hasEnded();
        try {
            if (mOwner.fencingAttempt() > 0) {
                mListener.onFenced(mOwner.fencingAttempt());
            } else if (finished || mOwner.releasable() > mNotifiedPosition) {
                mNotifiedPosition = mOwner.releasable();
                mListener.onReleasable(mNotifiedPosition, finished);
            }
        } catch (RuntimeException e) {
            LOG.errorf(e, "listener of generation %s failed", mOwner.key().getKey());
        }
        return mEnded;
    }

    private void applyOnLoop(Runnable change) {
        mService.runOnLoop(
                () -> {
                    try {
                        change.run();
                    } catch (IllegalArgumentException e) {
                        LOG.errorf(e, "abandoning generation %s", mOwner.key().getKey());
                        mOwner.fence(mOwner.attempt());
                    }
                    mService.progress(this);
                });
    }
}
