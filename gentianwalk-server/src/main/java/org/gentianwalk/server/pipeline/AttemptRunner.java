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
    /** Token id of output from an engine that does not report token ids. */
    static final int UNKNOWN_ID = -1;

    private final Generation mGeneration;
    private final Decision.Start mStart;
    private final UpstreamInfo mEngine;
    private final AttemptContext mContext;
    private final String mRequestId;
    private final AtomicReference<@Nullable Loss> mAbortLoss = new AtomicReference<>();
    private volatile boolean mAborted;
    private volatile boolean mFirstToken;
    private volatile long mLastEventNanos;
    private volatile @Nullable Thread mThread;
    private int mNextPosition;
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
        interruptThread();
    }

    /** Stops the attempt and cancels the engine's work, and reports its loss. */
    void abort(Loss loss) {
        mAbortLoss.compareAndSet(null, loss);
        interruptThread();
    }

    @Override
    public void run() {
        mThread = Thread.currentThread();
        try {
            if (!mAborted) {
                runAttempt();
            }
        } catch (EngineException e) {
            handleFailure(e);
        } catch (InterruptedException e) {
            handleFailure(new EngineException(EngineException.Reason.BROKEN, "interrupted"));
        } catch (RuntimeException e) {
            mContext.onException(mGeneration, e);
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
            failDiverged(held.size());
            return;
        }
        if (!held.isEmpty() && !resumes && !mEngine.supports(Capability.TOKEN_IDS)) {
            // Without token ids the regenerated output can't be compared with the held one.
            mContext.onAttemptLost(mGeneration, this, Loss.REFUSED, "engine can't resume", false);
            return;
        }
        mNextPosition = resumes ? held.size() : 0;
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
                bufferOutput(stream);
            }
        }
    }

    private void relay(EngineStream stream) throws EngineException {
        String finishReason = null;
        EngineChunk chunk = stream.next();
        while (chunk != null) {
            recordChunk(!chunk.tokenIds().isEmpty());
            if (chunk.tokenIds().isEmpty() && !chunk.text().isEmpty()) {
                throw new EngineException(EngineException.Reason.BROKEN, "text without token ids");
            }
            if (!chunk.tokenIds().isEmpty() && !appendChunk(chunk)) {
                return;
            }
            finishReason = chunk.finishReason() == null ? finishReason : chunk.finishReason();
            mCachedTokens = Math.max(mCachedTokens, chunk.cachedTokens());
            chunk = stream.next();
        }
        finish(finishReason);
    }

    /** Appends the tokens of a chunk; returns false when the attempt has ended. */
    private boolean appendChunk(EngineChunk chunk) throws EngineException {
        if (chunk.position() != mNextPosition) {
            throw new EngineException(
                    EngineException.Reason.BROKEN,
                    "got position " + chunk.position() + ", expected " + mNextPosition);
        }
        List<Token> tokens = new ArrayList<>(chunk.tokenIds().size());
        for (int id : chunk.tokenIds()) {
            tokens.add(new Token(id, tokens.isEmpty() ? chunk.text() : ""));
        }
        mNextPosition += tokens.size();
        return append(chunk.position(), tokens);
    }

    private boolean append(int position, List<Token> tokens) throws EngineException {
        switch (mGeneration.append(mStart.attempt(), position, tokens)) {
            case OK -> {
                return true;
            }
            case GAP -> throw new EngineException(EngineException.Reason.BROKEN, "skipped tokens");
            case DIVERGED -> failDiverged(position);
            case FULL -> {
                cancelAtEngine();
                finish("length");
            }
            default -> cancelAtEngine();
        }
        return false;
    }

    /**
     * Buffers the output until it is complete, since without token ids no other attempt could
     * continue it from the middle.
     */
    private void bufferOutput(EngineStream stream) throws EngineException {
        List<Token> tokens = new ArrayList<>();
        String finishReason = null;
        EngineChunk chunk = stream.next();
        while (chunk != null) {
            recordChunk(!chunk.text().isEmpty());
            if (!chunk.text().isEmpty()) {
                tokens.add(new Token(UNKNOWN_ID, chunk.text()));
            }
            if (mNextPosition + tokens.size() > mGeneration.request().maxTokens()) {
                break;
            }
            finishReason = chunk.finishReason() == null ? finishReason : chunk.finishReason();
            chunk = stream.next();
        }
        if (chunk == null && finishReason == null) {
            finish(null);
            return;
        }
        int position = mNextPosition;
        mNextPosition += tokens.size();
        if (append(position, tokens)) {
            finish(finishReason);
        }
    }

    private void finish(@Nullable String finishReason) throws EngineException {
        if (finishReason == null) {
            throw new EngineException(EngineException.Reason.BROKEN, "end without a finish reason");
        }
        switch (mGeneration.finish(mStart.attempt(), mNextPosition, finishReason)) {
            case OK -> mContext.onFinished(mGeneration, mCachedTokens);
            case DIVERGED -> failDiverged(mNextPosition);
            default -> {
                // Another attempt has continued the generation, or it has ended.
            }
        }
    }

    private void failDiverged(int position) {
        cancelAtEngine();
        mContext.onFailed(
                mGeneration,
                ServeError.failed(
                        ErrorKind.GENERATION_DIVERGED, Outcome.STOPPED, String.valueOf(position)));
    }

    private void handleFailure(EngineException e) {
        // Clears the interrupt flag, which would make the calls below fail. The attempt has ended
        // in any case.
        Thread.interrupted();
        if (e.reason() != EngineException.Reason.UNREACHABLE) {
            cancelAtEngine();
        }
        if (mAborted) {
            return;
        }
        Loss forced = mAbortLoss.get();
        if (forced != null) {
            mContext.onAttemptLost(
                    mGeneration, this, forced, "no token within the stall timeout", false);
        } else if (e.reason() == EngineException.Reason.REJECTED) {
            mContext.onFailed(
                    mGeneration,
                    ServeError.failed(
                            ErrorKind.UPSTREAM_FAILED,
                            Outcome.STOPPED,
                            String.valueOf(e.getMessage())));
        } else {
            boolean unreachable = e.reason() == EngineException.Reason.UNREACHABLE;
            // An unreachable engine did not run the request, so the request can't be the cause.
            boolean notRun = unreachable || e.reason() == EngineException.Reason.REFUSED;
            mContext.onAttemptLost(
                    mGeneration,
                    this,
                    notRun ? Loss.REFUSED : Loss.UPSTREAM_FAILED,
                    String.valueOf(e.getMessage()),
                    unreachable);
        }
    }

    private void cancelAtEngine() {
        if (mEngine.supports(Capability.CANCEL)) {
            mContext.client().cancel(mEngine, mRequestId);
        }
    }

    private void recordChunk(boolean token) {
        long now = mContext.ticker().nanos();
        if (token && mFirstToken) {
            mContext.stalls().recordGap(mGeneration.request().model(), now - mLastEventNanos);
        }
        mLastEventNanos = now;
        mFirstToken |= token;
    }

    private void interruptThread() {
        Thread thread = mThread;
        if (thread != null) {
            thread.interrupt();
        }
    }
}
