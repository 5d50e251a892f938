package org.gentianwalk.server.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.server.upstream.EngineException.Reason;

/** HTTP client of the model engines. Thread-safe. */
public final class EngineClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STALE_CONNECTION_LIMIT = Duration.ofMillis(20);
    private static final int STATUS_OK = 200;

    // Each client has one selector thread; several clients distribute the load of many streams.
    private final HttpClient[] mStreams;
    private final HttpClient mControl;

    /**
     * Creates a client.
     *
     * @param selectors selector threads for the connections of running generations
     */
    public EngineClient(int selectors) {
        this(selectors, Executors.newVirtualThreadPerTaskExecutor());
    }

    EngineClient(int selectors, Executor executor) {
        mStreams = new HttpClient[selectors];
        for (int i = 0; i < selectors; i++) {
            mStreams[i] = newClient(executor);
        }
        mControl = newClient(executor);
    }

    /**
     * Sends a generation request and waits for the response headers.
     *
     * @param engine the engine
     * @param path path of the completion endpoint
     * @param body the request
     * @param requestId identifier for cancellation
     * @return the output stream of events
     * @throws EngineException if the engine does not accept the request
     * @throws InterruptedException if the calling thread was interrupted; the request is cancelled
     */
    public EngineStream generate(
            UpstreamInfo engine, String path, ObjectNode body, String requestId)
            throws EngineException, InterruptedException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(engine.uri().resolve(path))
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.ofByteArray(serialize(body)))
                            .build();
            HttpClient client = mStreams[Math.floorMod(requestId.hashCode(), mStreams.length)];
            // No status but 200 is accepted here, so that an invalid one needs no further check.
            HttpResponse<InputStream> response = client.send(request, BodyHandlers.ofInputStream());
            if (response.statusCode() == STATUS_OK) {
                return new EngineStream(response.body());
            }
            response.body().close();
            throw new EngineException(
                    reasonOf(response.statusCode()), "status " + response.statusCode());
        } catch (ConnectException e) {
            throw new EngineException(Reason.UNREACHABLE, "connection refused");
        } catch (HttpTimeoutException e) {
            // The request has no timeout of its own. The connect timeout also ends a connection
            // that
            // is open, but that this process was too busy to use in time.
            throw new EngineException(Reason.UNREACHABLE, "no connection in time");
        } catch (IOException e) {
            throw new EngineException(Reason.BROKEN, "connection broke: " + e.getMessage());
        }
    }

    /**
     * Cancels a request by its identifier. Failures are ignored, since closing the connection
     * cancels the request too.
     *
     * @param engine the engine
     * @param requestId identifier of the request
     */
    public void cancel(UpstreamInfo engine, String requestId) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                engine.uri().resolve("/v1/requests/" + requestId + "/cancel"))
                        .timeout(CONTROL_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        mControl.sendAsync(request, BodyHandlers.discarding());
    }

    /**
     * Reads a small JSON document, such as the load report.
     *
     * @param engine the engine
     * @param path path and query
     * @return the document
     * @throws IOException if the engine does not answer with status 200 and JSON within a second
     * @throws InterruptedException if the calling thread was interrupted
     */
    public JsonNode read(UpstreamInfo engine, String path)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(engine.uri().resolve(path))
                        .timeout(CONTROL_TIMEOUT)
                        .GET()
                        .build();
        HttpResponse<byte[]> response = mControl.send(request, BodyHandlers.ofByteArray());
        if (response.statusCode() != STATUS_OK) {
            throw new IOException("status " + response.statusCode());
        }
        return JSON.readTree(response.body());
    }

    @Override
    public void close() {
        for (HttpClient client : mStreams) {
            client.shutdownNow();
        }
        mControl.shutdownNow();
    }

    // A pooled connection that the engine has closed fails immediately; the request is retried,
    // since
    // this does not mean that the engine has failed.
    private static HttpResponse<InputStream> send(HttpClient client, HttpRequest request)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        try {
            return client.send(request, BodyHandlers.ofInputStream());
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw e;
        } catch (IOException e) {
            if (System.nanoTime() - start > STALE_CONNECTION_LIMIT.toNanos()) {
                throw e;
            }
            return client.send(request, BodyHandlers.ofInputStream());
        }
    }

    private static byte[] serialize(ObjectNode body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("serializing a JSON tree failed", e);
        }
    }

    private static Reason reasonOf(int status) {
        return switch (status) {
            case 400, 413, 422 -> Reason.REJECTED;
            case 404, 408, 409, 429, 503 -> Reason.REFUSED;
            default -> Reason.BROKEN;
        };
    }

    private static HttpClient newClient(Executor executor) {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(executor)
                .build();
    }
}
