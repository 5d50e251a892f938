package org.gentianwalk.server.placement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.placement.EngineTarget;

/** Sends orders and reads states over HTTP, with {@code POST /orders} and {@code GET /state}. */
public final class HttpEngineOrders implements EngineOrders, AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration STATE_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    @Override
    public OrderResult order(
            UpstreamInfo engine, long fencing, EngineTarget target, Duration timeout) {
        ObjectNode body = JSON.createObjectNode().put("fencing", fencing);
        ObjectNode content = body.putObject("target");
        target.models().forEach(content.putArray("models")::add);
        target.adapters().forEach(content.putArray("adapters")::add);
        content.put("role", target.role());
        HttpRequest request =
                HttpRequest.newBuilder(engine.uri().resolve("/orders"))
                        .timeout(timeout)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build();
        return send(request)
                .map(
                        response ->
                                switch (response.statusCode()) {
                                    case OK -> OrderResult.ACCEPTED;
                                    case CONFLICT -> OrderResult.STALE;
                                    default -> OrderResult.UNKNOWN;
                                })
                .orElse(OrderResult.UNKNOWN);
    }

    @Override
    public Optional<EngineState> state(UpstreamInfo engine) {
        HttpRequest request =
                HttpRequest.newBuilder(engine.uri().resolve("/state"))
                        .timeout(STATE_TIMEOUT)
                        .GET()
                        .build();
        Optional<HttpResponse<byte[]>> response = send(request);
        if (response.isEmpty() || response.get().statusCode() != OK) {
            return Optional.empty();
        }
        try {
            JsonNode state = JSON.readTree(response.get().body());
            JsonNode target = state.path("target");
            return Optional.of(
                    new EngineState(
                            new EngineTarget(
                                    texts(target.path("models")),
                                    texts(target.path("adapters")),
                                    target.path("role").asText("")),
                            state.path("fencing").asLong()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        mClient.shutdownNow();
    }

    private Optional<HttpResponse<byte[]>> send(HttpRequest request) {
        try {
            return Optional.of(mClient.send(request, HttpResponse.BodyHandlers.ofByteArray()));
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(node -> texts.add(node.asText()));
        return texts;
    }
}
