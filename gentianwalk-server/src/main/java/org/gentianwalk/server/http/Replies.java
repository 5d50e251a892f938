package org.gentianwalk.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;

/** Writes complete, non-streamed responses. */
public final class Replies {
    /** Header with the execution outcome of a request that ended in an error. */
    public static final String OUTCOME = "Gentianwalk-Outcome";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MILLIS_PER_SECOND = 1000;

    private Replies() {}

    /**
     * Sends a JSON response.
     *
     * @param exchange the exchange
     * @param status HTTP status
     * @param body the JSON body
     * @throws IOException if the caller has disconnected
     */
    public static void json(HttpExchange exchange, int status, JsonNode body) throws IOException {
        bytes(exchange, status, "application/json", toBytes(body));
    }

    /**
     * Sends a response of any content type.
     *
     * @param exchange the exchange
     * @param status HTTP status
     * @param contentType media type
     * @param body the content
     * @throws IOException if the caller has disconnected
     */
    public static void bytes(HttpExchange exchange, int status, String contentType, byte[] body)
            throws IOException {
        exchange.getResponseHeaders().set("Content-Type", contentType);
        boolean head = exchange.getRequestMethod().equals("HEAD");
        exchange.sendResponseHeaders(status, head || body.length == 0 ? -1 : body.length);
        if (!head && body.length > 0) {
            exchange.getResponseBody().write(body);
            exchange.getResponseBody().flush();
        }
    }

    /**
     * Sends an error with its headers.
     *
     * @param exchange the exchange
     * @param error the error
     * @throws IOException if the caller has disconnected
     */
    public static void error(HttpExchange exchange, ServeError error) throws IOException {
        Headers headers = exchange.getResponseHeaders();
        if (error instanceof ServeError.Refused refused) {
            headers.set("Retry-After", String.valueOf(seconds(refused.retryAfter())));
        }
        if (error.outcome() != Outcome.STOPPED) {
            headers.set(OUTCOME, error.outcome().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        }
        json(exchange, error.kind().status(), errorBody(error));
    }

    /**
     * Returns the JSON of an error.
     *
     * @param error the error
     * @return an error body in the OpenAI-compatible format
     */
    public static ObjectNode errorBody(ServeError error) {
        ObjectNode body = JSON.createObjectNode();
        ObjectNode detail = body.putObject("error");
        detail.put("message", error.message());
        detail.put("type", error.kind().type());
        detail.put("code", error.kind().code());
        detail.put("param", error instanceof ServeError.Rejected r ? r.parameter() : null);
        return body;
    }

    /**
     * Serializes JSON.
     *
     * @param body the tree
     * @return its text in UTF-8
     */
    public static byte[] toBytes(JsonNode body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("serializing a JSON tree failed", e);
        }
    }

    private static long seconds(Duration duration) {
        long millis = duration.toMillis();
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
