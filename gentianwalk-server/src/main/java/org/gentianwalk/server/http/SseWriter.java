package org.gentianwalk.server.http;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes server-sent events; the response headers are sent with the first event. */
public final class SseWriter implements AutoCloseable {
    private static final int STATUS_OK = 200;

    private final HttpExchange mExchange;
    private final ConnectionMonitor.Watched mWatched;
    private OutputStream mStream = OutputStream.nullOutputStream();
    private boolean mStarted;

    /**
     * Creates a writer.
     *
     * @param exchange the exchange
     * @param watched monitors the connection
     */
    public SseWriter(HttpExchange exchange, ConnectionMonitor.Watched watched) {
        mExchange = exchange;
        mWatched = watched;
    }

    /**
     * Returns whether the response status has been sent and can no longer change.
     *
     * @return true once the first event is being written
     */
    public boolean isStarted() {
        return mStarted;
    }

    /**
     * Writes an event.
     *
     * @param id the event's identifier, empty for none
     * @param data one line of data
     * @param backlogBytes bytes queued behind this event
     * @throws IOException if the caller has disconnected or does not read
     */
    public void event(String id, String data, long backlogBytes) throws IOException {
        StringBuilder text = new StringBuilder(data.length() + 40);
        if (!id.isEmpty()) {
            text.append("id: ").append(id).append('\n');
        }
        text.append("data: ").append(data).append("\n\n");
        write(text.toString(), backlogBytes);
    }

    @Override
    public void close() throws IOException {
        if (mStarted) {
            mStream.close();
        }
    }

    private void write(String text, long backlogBytes) throws IOException {
        mWatched.writing(backlogBytes);
        try {
            if (!mStarted) {
                start();
            }
            mStream.write(text.getBytes(StandardCharsets.UTF_8));
            mStream.flush();
        } finally {
            mWatched.written();
        }
    }

    private void start() throws IOException {
        Headers headers = mExchange.getResponseHeaders();
        headers.set("Content-Type", "text/event-stream");
        headers.set("Cache-Control", "no-store");
        mExchange.sendResponseHeaders(STATUS_OK, 0);
        mStream = mExchange.getResponseBody();
        mStarted = true;
    }
}
