package org.gentianwalk.server.service;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executors;
import org.gentianwalk.core.journal.CallService.Answer;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.server.http.ValidResponses;

/** HTTP client of plain services, separate from the client of the engines. Thread-safe. */
final class ServiceClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    // Larger responses are rejected, so that one call can't exhaust the memory.
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .executor(Executors.newVirtualThreadPerTaskExecutor())
                    .build();

    /** Sends a call once and waits for the response. */
    SendResult send(UpstreamInfo upstream, ServiceRequest call, Duration timeout) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(target(upstream, call.pathAndQuery()))
                        .timeout(timeout)
                        .header("Idempotency-Key", call.key())
                        .method(call.method(), HttpRequest.BodyPublishers.ofByteArray(call.body()));
        if (!call.contentType().isEmpty()) {
            request.header("Content-Type", call.contentType());
        }
        return send(request.build());
    }

    /** Looks up the outcome of a call by its key. */
    SendResult lookup(UpstreamInfo upstream, String path, String key, Duration timeout) {
        return send(
                HttpRequest.newBuilder(target(upstream, path + "/" + key))
                        .timeout(timeout)
                        .GET()
                        .build());
    }

    @Override
    public void close() {
        mClient.shutdownNow();
    }

    private SendResult send(HttpRequest request) {
        try {
            HttpResponse<InputStream> response =
                    mClient.send(request, HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream input = response.body()) {
                ValidResponses.require(response);
                byte[] body = input.readNBytes(MAX_ANSWER_BYTES + 1);
                if (body.length > MAX_ANSWER_BYTES) {
                    return new SendResult.Unknown("answer is too large");
                }
                String type =
                        response.headers()
                                .firstValue("Content-Type")
                                .orElse("application/octet-stream");
                return new SendResult.Answered(new Answer(response.statusCode(), type, body));
            }
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new SendResult.NeverSent("connection refused");
        } catch (IOException e) {
            return new SendResult.Unknown("no answer: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new SendResult.Unknown("interrupted");
        }
    }

    private static URI target(UpstreamInfo upstream, String pathAndQuery) {
        return URI.create(upstream.uri() + pathAndQuery);
    }
}
