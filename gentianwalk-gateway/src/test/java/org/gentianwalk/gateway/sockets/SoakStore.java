package org.gentianwalk.gateway.sockets;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import org.gentianwalk.gateway.MemoryStore;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.store.StoreVersion;

/**
 * The store of the fault soak, on loopback: rows as lines of text. May be silent, slow or refuse.
 */
final class SoakStore implements AutoCloseable {
    private static final Duration UNUSED = Duration.ofSeconds(1);

    private final MemoryStore mRows = new MemoryStore();
    private volatile Mode mMode = Mode.WELL;
    private volatile long mChangedAt = System.nanoTime();
    private final ScriptedUpstream mServer = new ScriptedUpstream("store", this::respond);

    /** How the store responds. */
    enum Mode {
        WELL,
        SILENT,
        SLOW,
        REFUSING
    }

    SoakStore() throws IOException {}

    MemoryStore rows() {
        return mRows;
    }

    Mode mode() {
        return mMode;
    }

    void mode(Mode mode) {
        mChangedAt = System.nanoTime();
        mMode = mode;
    }

    /** Comes back from a copy, and responds to all calls from now on. */
    void restore(MemoryStore.Copy copy) {
        mRows.restore(copy);
        mode(Mode.WELL);
    }

    /** Returns whether the store has been there, and not gone back, since a time. */
    boolean isWellSince(long nanos) {
        return mMode == Mode.WELL && mChangedAt - nanos <= 0;
    }

    String address() {
        return mServer.entry("store", "a").address();
    }

    private void respond(ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
            throws Exception {
        Mode mode = mMode;
        if (mode == Mode.SLOW) {
            Thread.sleep(ThreadLocalRandom.current().nextInt(200, 1_200));
        }
        if (mode == Mode.REFUSING) {
            connection.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String[] words = request.target().split("/", -1);
        for (int i = 0; i < words.length; i++) {
            words[i] = URLDecoder.decode(words[i], StandardCharsets.UTF_8);
        }
        RowStore client = mRows.client();
        CompletionStage<RowStore.Result> call =
                switch (words[1]) {
                    case "read" -> client.read(words[2], words[3], UNUSED);
                    case "changes" ->
                            client.changes(
                                    words[2],
                                    Long.parseLong(words[3]),
                                    Duration.ofMillis(Long.parseLong(words[4])),
                                    UNUSED);
                    case "write" -> client.write(words[2], words[3], request.body(), UNUSED);
                    default -> client.write(words[2], words[3], null, UNUSED);
                };
        RowStore.Result result = call.toCompletableFuture().join();
        // A silent store leaves the calls of that time without a response also later.
        while (mode == Mode.SILENT || mMode == Mode.SILENT) {
            mode = Mode.SILENT;
            if (connection.isClosedByPeer()) {
                return;
            }
            Thread.sleep(100);
        }
        if (result instanceof RowStore.Result.HistoryLost) {
            connection.write("HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (result instanceof RowStore.Result.Failed) {
            connection.reset();
            return;
        }
        RowStore.Result.Rows rows = (RowStore.Result.Rows) result;
        StringBuilder body = new StringBuilder();
        append(body, rows.readAt()).append('\n');
        for (RowStore.Row row : rows.rows()) {
            append(body.append(row.key()).append(' '), row.written()).append(' ');
            body.append(row.removed()).append(' ');
            body.append(Base64.getEncoder().encodeToString(row.value())).append('\n');
        }
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static StringBuilder append(StringBuilder body, StoreVersion version) {
        return body.append(version.era()).append(' ').append(version.version());
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
