package org.gentianwalk.server.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.Scheduler.Loss;
import org.gentianwalk.core.replica.GenerationState.Token;
import org.gentianwalk.server.upstream.EngineChunk;
import org.gentianwalk.server.upstream.EngineException;
import org.gentianwalk.server.upstream.EngineRequestBody;
import org.gentianwalk.server.upstream.EngineStream;
import org.jspecify.annotations.Nullable;

/** Runs one attempt of a generation at one engine, on a virtual thread of its own. */
final class AttemptRunner implements Runnable {
    /** Identifier of a token whose engine does not report identifiers. */
    static final int UNKNOWN_ID = -1;

    private final Generation mGeneration;
    private final Decision.Start mStart;
    private final UpstreamInfo mEngine;
    private final AttemptContext mContext;
    private final String mRequestId;
    private final AtomicReference<@Nullable Loss> mAbort = new AtomicReference<>();
    private volatile boolean mAborted;
    private volatile boolean mFirstToken;
    private volatile long mLastEventNanos;
    private volatile @Nullable Thread mThread;
    private int mNext;
    private int mCachedTokens;

    AttemptRunner(
            Generation generation,
            Decision.Start start,
            UpstreamInfo engine,
            AttemptContext context) {
        mGeneration = generation;
        mStart = start;
        mEngine = engine;
        mContext = context;
        mRequestId =
                Integer.toHexString(generation.request().key().hashCode())
                        + Long.toHexString(generation.request().seed())
                        + "-"
                        + start.attempt();
        mLastEventNanos = context.ticker().nanos();
    }

    String upstream() {
        return mEngine.id();
    }

    int attempt() {
        return mStart.attempt();
    }

    boolean hasFirstToken() {
        return mFirstToken;
    }

    long lastEventNanos() {
        return mLastEventNanos;
    }

    /** Stops the attempt and cancels the engine's work; nothing is reported to the scheduler. */
    void abort() {
        mAborted = true;
        interrupt();
    }

    /** Stops the attempt and cancels the engine's work, and reports its loss. */
    void abort(Loss loss) {
        mAbort.compareAndSet(null, loss);
        interrupt();
    }

    @Override
    public void run() {
        mThread = Thread.currentThread();
        try {
            if (!mAborted) {
                runAttempt();
            }
        } catch (EngineException e) {
            lost(e);
        } catch (InterruptedException e) {
            lost(new EngineException(EngineException.Reason.BROKEN, "interrupted"));
        } catch (RuntimeException e) {
            mContext.fault(mGeneration, e);
        } finally {
            mThread = null;
        }
    }

    private void runAttempt() throws EngineException, InterruptedException {
        AttemptStart start = mGeneration.begin(mStart.attempt(), this, mContext.replicas());
        if (!start.open()) {
            return;
        }
        List<Token> held = start.held();
        boolean resumes = mEngine.supports(Capability.RESUME);
        if (held.stream().anyMatch(token -> token.id() == UNKNOWN_ID)) {
            diverged(held.size());
            return;
        }
        if (!held.isEmpty() && !resumes && !mEngine.supports(Capability.TOKEN_IDS)) {
            // Without identifiers nothing shows whether the regenerated output is the same.
            mContext.lost(mGeneration, this, Loss.REFUSED, "engine can't continue", false);
            return;
        }
        mNext = resumes ? held.size() : 0;
        GenerationRequest request = mGeneration.request();
        String path = request.isChat() ? "/v1/chat/completions" : "/v1/completions";
        var body =
                EngineRequestBody.of(
                        request.json(),
                        mEngine,
                        mRequestId,
                        request.seed(),
                        mStart.priority(),
                        held);
        try (EngineStream stream = mContext.client().generate(mEngine, path, body, mRequestId)) {
            if (mEngine.supports(Capability.TOKEN_IDS)) {
                relay(stream);
            } else {
                collect(stream);
            }
        }
    }

    private void relay(EngineStream stream) throws EngineException {
        String finishReason = null;
        EngineChunk chunk = stream.next();
        while (chunk != null) {
            touch(!chunk.tokenIds().isEmpty());
            if (chunk.tokenIds().isEmpty() && !chunk.text().isEmpty()) {
                throw new EngineException(EngineException.Reason.BROKEN, "tokens without ids");
            }
            if (!chunk.tokenIds().isEmpty() && !take(chunk)) {
                return;
            }
            finishReason = chunk.finishReason() == null ? finishReason : chunk.finishReason();
            mCachedTokens = Math.max(mCachedTokens, chunk.cachedTokens());
            chunk = stream.next();
        }
        finish(finishReason);
    }

    /** Returns false when the attempt is over. */
    private boolean take(EngineChunk chunk) throws EngineException {
        if (chunk.position() != mNext) {
            throw new EngineException(
                    EngineException.Reason.BROKEN,
                    "position " + chunk.position() + " instead of " + mNext);
        }
        List<Token> tokens = new ArrayList<>(chunk.tokenIds().size());
        for (int id : chunk.tokenIds()) {
            tokens.add(new Token(id, tokens.isEmpty() ? chunk.text() : ""));
        }
        mNext += tokens.size();
        return accepted(chunk.position(), tokens);
    }

    private boolean accepted(int position, List<Token> tokens) throws EngineException {
        switch (mGeneration.accept(mStart.attempt(), position, tokens)) {
            case OK -> {
                return true;
            }
            case GAP -> throw new EngineException(EngineException.Reason.BROKEN, "tokens missing");
            case DIVERGED -> diverged(position);
            case FULL -> {
                cancelAtEngine();
                finish("length");
            }
            default -> cancelAtEngine();
        }
        return false;
    }

    /** Holds the output back until its end, since nothing could continue it from the middle. */
    private void collect(EngineStream stream) throws EngineException {
        List<Token> tokens = new ArrayList<>();
        String finishReason = null;
        EngineChunk chunk = stream.next();
        while (chunk != null) {
            touch(!chunk.text().isEmpty());
            if (!chunk.text().isEmpty()) {
                tokens.add(new Token(UNKNOWN_ID, chunk.text()));
            }
            if (mNext + tokens.size() > mGeneration.request().maxTokens()) {
                break;
            }
            finishReason = chunk.finishReason() == null ? finishReason : chunk.finishReason();
            chunk = stream.next();
        }
        if (chunk == null && finishReason == null) {
            finish(null);
        } else if (accepted(mNext, tokens)) {
            finish(finishReason);
        }
    }

    private void finish(@Nullable String finishReason) throws EngineException {
        if (finishReason == null) {
            throw new EngineException(EngineException.Reason.BROKEN, "end without a reason");
        }
        if (mGeneration.finish(mStart.attempt(), finishReason)) {
            mContext.finished(mGeneration, mCachedTokens);
        }
    }

    private void diverged(int position) {
        cancelAtEngine();
        mContext.failed(
                mGeneration,
                ServeError.failed(
                        ErrorKind.GENERATION_DIVERGED, Outcome.STOPPED, String.valueOf(position)));
    }

    private void lost(EngineException e) {
        // The flag would make the calls below fail; the attempt is over in any case.
        Thread.interrupted();
        if (e.reason() != EngineException.Reason.UNREACHABLE) {
            cancelAtEngine();
        }
        if (mAborted) {
            return;
        }
        Loss forced = mAbort.get();
        if (forced != null) {
            mContext.lost(mGeneration, this, forced, "no token within the stall timeout", false);
        } else if (e.reason() == EngineException.Reason.REJECTED) {
            mContext.failed(
                    mGeneration,
                    ServeError.failed(
                            ErrorKind.UPSTREAM_FAILED,
                            Outcome.STOPPED,
                            String.valueOf(e.getMessage())));
        } else {
            boolean unreachable = e.reason() == EngineException.Reason.UNREACHABLE;
            // An engine that can't be reached did not run the request, which is not to blame then.
            boolean neverRan = unreachable || e.reason() == EngineException.Reason.REFUSED;
            mContext.lost(
                    mGeneration,
                    this,
                    neverRan ? Loss.REFUSED : Loss.UPSTREAM_FAILED,
                    String.valueOf(e.getMessage()),
                    unreachable);
        }
    }

    private void cancelAtEngine() {
        if (mEngine.supports(Capability.CANCEL)) {
            mContext.client().cancel(mEngine, mRequestId);
        }
    }

    private void touch(boolean token) {
        long now = mContext.ticker().nanos();
        if (token && mFirstToken) {
            mContext.stalls().gap(mGeneration.request().model(), now - mLastEventNanos);
        }
        mLastEventNanos = now;
        mFirstToken |= token;
    }

    private void interrupt() {
        Thread thread = mThread;
        if (thread != null) {
            thread.interrupt();
        }
    }
}
