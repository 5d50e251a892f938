package org.gentianwalk.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gentianwalk.core.platform.Row;
import org.jspecify.annotations.Nullable;

/** An HTTP answer of the stand-in. */
record Reply(int status, Map<String, String> headers, byte[] body) {
    static final int OK = 200;
    static final int NO_CONTENT = 204;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int PRECONDITION_FAILED = 412;

    private static final long MILLIS_PER_SECOND = 1000;

    static Reply of(int status) {
        return new Reply(status, Map.of(), new byte[0]);
    }

    static Reply bytes(int status, byte[] body) {
        return new Reply(status, Map.of("Content-Type", "application/octet-stream"), body);
    }

    static Reply json(int status, JsonNode node) {
        byte[] body = node.toString().getBytes(StandardCharsets.UTF_8);
        return new Reply(status, Map.of("Content-Type", "application/json"), body);
    }

    /** The row with its version, or the status alone when there is no row. */
    static Reply row(int status, @Nullable Row row) {
        if (row == null) {
            return of(status);
        }
        return bytes(status, row.value()).with("ETag", etag(row.version()));
    }

    static String etag(long version) {
        return "\"" + version + "\"";
    }

    Reply with(String name, String value) {
        Map<String, String> headers = new LinkedHashMap<>(headers());
        headers.put(name, value);
        return new Reply(status, headers, body);
    }

    Reply withRetryAfter(Duration wait) {
        long millis = Math.max(1, wait.toMillis());
        long seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return with("Retry-After", Long.toString(seconds))
                .with("Retry-After-Ms", Long.toString(millis));
    }

    void send(HttpExchange exchange) throws IOException {
        headers.forEach(exchange.getResponseHeaders()::set);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }
}
