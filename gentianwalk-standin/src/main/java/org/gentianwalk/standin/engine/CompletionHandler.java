package org.gentianwalk.standin.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.util.List;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Prompt;
import org.gentianwalk.standin.StandinHttp;

/** Runs chat and plain completions: queue, prefill, then tokens at the configured pace. */
final class CompletionHandler implements HttpHandler {
    private static final int NANOS_PER_MILLI = 1_000_000;

    // A stalled or cancelled generation looks at its state this often.
    private static final long CHECK_MILLIS = 10;

    private final EngineStandin.Life mLife;

    CompletionHandler(EngineStandin.Life life) {
        mLife = life;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        try {
            mLife.faults().awaitRunning();
            serve(exchange);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void serve(HttpExchange exchange) throws IOException, InterruptedException {
        JsonNode body;
        try {
            body = StandinHttp.JSON.readTree(exchange.getRequestBody());
        } catch (JsonProcessingException e) {
            StandinHttp.error(exchange, 400, "malformed");
            return;
        }
        boolean chat = exchange.getRequestURI().getPath().startsWith("/v1/chat/");
        EngineRequest request = new EngineRequest(body, chat);
        if (!mLife.options().models().contains(request.model())) {
            StandinHttp.error(exchange, 404, "model_not_loaded");
        } else if (mLife.faults().isRefusing()) {
            StandinHttp.error(exchange, 503, "refusing");
        } else {
            queue(exchange, request);
        }
    }

    private void queue(HttpExchange exchange, EngineRequest request)
            throws IOException, InterruptedException {
        boolean cancellable = mLife.options().capabilities().contains(Capability.CANCEL);
        boolean ordered = mLife.options().capabilities().contains(Capability.PRIORITY);
        if (cancellable) {
            mLife.mRequests.put(request.id(), request);
        }
        boolean ended = false;
        try {
            if (!mLife.mSlots.acquire(ordered ? request.priority() : 0, request)) {
                return;
            }
            try {
                ended = generate(exchange, request);
            } finally {
                mLife.mSlots.release();
            }
        } finally {
            mLife.mRequests.remove(request.id(), request);
            if (!mLife.mDead) {
                mLife.countEnd(!ended);
            }
        }
    }

    /** Returns true when the generation came to its own end. */
    private boolean generate(HttpExchange exchange, EngineRequest request)
            throws IOException, InterruptedException {
        boolean crashes = mLife.faults().starts(request.prompt().text());
        prefill(request);
        if (crashes) {
            mLife.die();
        }
        TokenSequence sequence =
                TokenSequence.start(request.model(), request.seed(), request.prompt().text());
        boolean resumes = mLife.options().capabilities().contains(Capability.RESUME);
        int position = 0;
        for (int token : resumes ? request.resumeTokens() : List.<Integer>of()) {
            sequence.advance(token);
            position++;
        }
        ChunkWriter writer = new ChunkWriter(exchange, request, mLife.options());
        long next = System.nanoTime();
        long interval = mLife.options().timing().tokenInterval().toNanos();
        while (position < request.maxTokens()) {
            int count = Math.min(mLife.options().tokensPerChunk(), request.maxTokens() - position);
            next += interval * count;
            if (!pace(next, request)) {
                return false;
            }
            if (mLife.faults().diesBefore(count)) {
                mLife.die();
            }
            if (mLife.mDead) {
                throw new IOException("the engine is dead");
            }
            mLife.countTokens(request.seed(), position, count);
            writer.tokens(position, sequence.take(count, mLife.options().salt()));
            position += count;
            // A generation that fell behind keeps its pace instead of catching up in a burst.
            next = Math.max(next, System.nanoTime() - interval);
        }
        writer.finish(request.finishReason(), position);
        return true;
    }

    private void prefill(EngineRequest request) throws InterruptedException {
        Prompt prompt = request.prompt();
        int hits = mLife.mCache.use(prompt.blockHashes(request.model()), System.nanoTime());
        int total = prompt.estimatedTokens();
        int cached = Math.min(total, hits * Prompt.BLOCK_CHARS / 4);
        mLife.countStart(total, cached);
        request.cachedTokens(cached);
        long nanos = (total - cached) * mLife.options().timing().prefillPerToken().toNanos();
        pace(System.nanoTime() + nanos, request);
    }

    /** Waits until a time while neither paused nor stalled; false when cancelled. */
    private boolean pace(long untilNanos, EngineRequest request) throws InterruptedException {
        while (!request.isCancelled()) {
            mLife.faults().awaitRunning();
            long left = untilNanos - System.nanoTime();
            if (mLife.faults().isStalled() && !mLife.mDead) {
                Thread.sleep(CHECK_MILLIS);
            } else if (left <= 0 || mLife.mDead) {
                return true;
            } else {
                long step = Math.min(left, 50L * NANOS_PER_MILLI);
                Thread.sleep(step / NANOS_PER_MILLI, (int) (step % NANOS_PER_MILLI));
            }
        }
        return false;
    }
}
