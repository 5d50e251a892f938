package org.gentianwalk.server.replica;

import java.util.List;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.OwnerSession;
import org.gentianwalk.core.replica.ReplicaService;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** A generation that this instance runs: hands its calls to the loop and tells its listener. */
final class MeshSession implements ReplicaService.Session {
    private static final Logger LOG = Logger.getLogger(MeshSession.class);

    private final MeshReplicaService mService;
    private final OwnerSession mSession;
    private final ReplicaService.Listener mListener;
    private int mTold;
    private boolean mOver;
    private @Nullable HolderLink mLink;

    MeshSession(
            MeshReplicaService service, OwnerSession session, ReplicaService.Listener listener) {
        mService = service;
        mSession = session;
        mListener = listener;
        mTold = -1;
    }

    @Override
    public void append(int position, List<GenerationState.Token> tokens) {
        List<GenerationState.Token> copy = List.copyOf(tokens);
        change(() -> mSession.append(position, copy));
    }

    @Override
    public void nextAttempt(int attempt, int start) {
        change(() -> mSession.nextAttempt(attempt, start));
    }

    @Override
    public void finish(String reason) {
        change(() -> mSession.finish(reason));
    }

    @Override
    public void abandon() {
        change(mSession::abandon);
    }

    OwnerSession session() {
        return mSession;
    }

    /** Queues an item, and takes back one that still waits for a holder that was replaced. */
    void sendOver(HolderLink link, OwnerSession.Item item) {
        if (mLink != null && mLink != link) {
            mLink.remove(this);
        }
        mLink = link;
        link.add(this, item);
    }

    /** Tells the listener what is new; on the loop. Returns true once nothing more will follow. */
    boolean tell() {
        if (mOver) {
            return true;
        }
        boolean finished = mSession.isFinishReleasable();
        mOver = mSession.hasEnded();
        try {
            if (mSession.fencingAttempt() > 0) {
                mListener.onFenced(mSession.fencingAttempt());
            } else if (finished || mSession.releasable() > mTold) {
                mTold = mSession.releasable();
                mListener.onReleasable(mTold, finished);
            }
        } catch (RuntimeException e) {
            LOG.errorf(e, "listener of generation %s failed", mSession.key().getKey());
        }
        return mOver;
    }

    private void change(Runnable change) {
        mService.run(
                () -> {
                    try {
                        change.run();
                    } catch (IllegalArgumentException e) {
                        LOG.errorf(e, "generation %s is given up", mSession.key().getKey());
                        mSession.fence(mSession.attempt());
                    }
                    mService.progress(this);
                });
    }
}
