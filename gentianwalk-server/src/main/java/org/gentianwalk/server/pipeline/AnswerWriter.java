package org.gentianwalk.server.pipeline;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.time.Duration;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.server.http.ConnectionMonitor;
import org.gentianwalk.server.http.Replies;
import org.gentianwalk.server.http.SseWriter;

/**
 * Writes the output of a generation to a caller's connection, as server-sent events or as one JSON
 * body.
 */
final class AnswerWriter {
    private static final int STATUS_OK = 200;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    // A change wakes the waiting thread; the timeout only bounds the effect of a lost signal.
    private static final long WAIT_NANOS = Duration.ofSeconds(10).toNanos();

    private final Generation mGeneration;
    private final AnswerFormat mFormat;
    private final ConnectionMonitor.Watched mWatched;

    AnswerWriter(Generation generation, ConnectionMonitor.Watched watched) {
        mGeneration = generation;
        mFormat = new AnswerFormat(generation);
        mWatched = watched;
    }

    /** Writes the output as events, starting at a position. */
    void writeEvents(HttpExchange exchange, int position) throws IOException, InterruptedException {
        try (SseWriter writer = new SseWriter(exchange, mWatched)) {
            GenerationBatch batch = mGeneration.next(position, WAIT_NANOS);
            boolean first = position == 0;
            while (true) {
                if (!batch.tokens().isEmpty()) {
                    String id = new EventId(batch.attempt(), batch.position()).toString();
                    String data = mFormat.chunk(batch, first);
                    writer.event(id, data, backlogBytes(batch.position()));
                    first = false;
                }
                if (batch.end() != null) {
                    writeEnd(exchange, writer, batch);
                    return;
                }
                batch = mGeneration.next(batch.position(), WAIT_NANOS);
            }
        }
    }

    /** Waits for the end of the generation and writes the complete answer as one body. */
    void writeBody(HttpExchange exchange) throws IOException, InterruptedException {
        GenerationBatch batch = mGeneration.next(Integer.MAX_VALUE, WAIT_NANOS);
        while (batch.end() == null) {
            batch = mGeneration.next(Integer.MAX_VALUE, WAIT_NANOS);
        }
        switch (batch.end()) {
            case GenerationEnd.Finished finished -> {
                GenerationBatch all = mGeneration.next(0, 0);
                mWatched.writing(0);
                try {
                    Replies.json(exchange, STATUS_OK, mFormat.fullBody(all, finished.reason()));
                } finally {
                    mWatched.written();
                }
            }
            case GenerationEnd.Failed failed -> Replies.error(exchange, failed.error());
            case GenerationEnd.TakenOver taken -> Replies.error(exchange, takenOver());
        }
    }

    private void writeEnd(HttpExchange exchange, SseWriter writer, GenerationBatch batch)
            throws IOException {
        switch (batch.end()) {
            case GenerationEnd.Finished finished -> {
                String id = new EventId(batch.attempt(), batch.position()).toString();
                writer.event(id, mFormat.lastChunk(finished.reason()), 0);
                String usage = mFormat.usageChunk(batch.position());
                if (usage != null) {
                    writer.event(id, usage, 0);
                }
                writer.event(id, "[DONE]", 0);
            }
            case GenerationEnd.Failed failed -> writeError(exchange, writer, failed.error());
            // Closes the connection, so that the caller reconnects and reaches the new owner.
            case GenerationEnd.TakenOver taken -> {
                if (writer.isStarted()) {
                    throw new IOException("another instance has taken over this generation");
                }
                writeError(exchange, writer, takenOver());
            }
            case null -> throw new IllegalStateException("the generation has not ended");
        }
    }

    private void writeError(HttpExchange exchange, SseWriter writer, ServeError error)
            throws IOException {
        if (writer.isStarted()) {
            writer.event("", Replies.errorBody(error).toString(), 0);
        } else {
            Replies.error(exchange, error);
        }
    }

    private static ServeError takenOver() {
        return new ServeError.Failed(
                ErrorKind.NOT_READY,
                ServeError.refused(ErrorKind.NOT_READY, RETRY_AFTER).message(),
                org.gentianwalk.core.error.Outcome.STOPPED);
    }

    private long backlogBytes(int position) {
        // An event that carries a single token takes about 200 bytes.
        return 200L * (mGeneration.releasedTokens() - position);
    }
}
