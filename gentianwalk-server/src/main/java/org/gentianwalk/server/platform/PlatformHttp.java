package org.gentianwalk.server.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.gentianwalk.server.http.ValidResponses;

/**
 * Sends requests to the platform and reports whether an unanswered request may have been sent.
 * Shared by all clients of one platform.
 *
 * <p>Example: {@code new PlatformHttp(new Options(uri, Options.CONNECT, Options.REQUEST),
 * registry)}
 */
public final class PlatformHttp implements AutoCloseable {
    private final HttpClient mClient;
    private final Options mOptions;
    private final Counter mReads;
    private final Counter mWrites;
    private final Counter mFailures;

    /**
     * Address and timeouts.
     *
     * @param base address of the platform with an IP address as host, without a path
     * @param connectTimeout timeout for opening a connection
     * @param requestTimeout timeout for a response
     */
    public record Options(URI base, Duration connectTimeout, Duration requestTimeout) {
        /** Default connect timeout: twenty round trips between regions. */
        public static final Duration CONNECT = Duration.ofMillis(500);

        /**
         * Default request timeout. A longer one would leave too little of the 2 s within which a
         * non-repeatable call may be sent.
         */
        public static final Duration REQUEST = Duration.ofMillis(1500);

        public Options {
            if (connectTimeout.isNegative() || connectTimeout.isZero()) {
                throw new IllegalArgumentException("connectTimeout must be positive");
            }
            if (requestTimeout.isNegative() || requestTimeout.isZero()) {
                throw new IllegalArgumentException("requestTimeout must be positive");
            }
        }
    }

    /** The result of one request. */
    sealed interface Exchange {
        /** The platform answered. */
        record Answered(HttpResponse<byte[]> response) implements Exchange {}

        /** The connection was not established, so the request was not sent. */
        record NotSent(String cause) implements Exchange {}

        /** The request may have been received, but no response arrived. */
        record Unanswered(String cause) implements Exchange {}
    }

    /**
     * Creates the client.
     *
     * @param options address and timeouts
     * @param registry publishes {@code platform.reads}, {@code platform.writes} and {@code
     *     platform.failures}
     */
    public PlatformHttp(Options options, MetricRegistry registry) {
        mOptions = options;
        mClient =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(options.connectTimeout())
                        .build();
        mReads = registry.counter("platform.reads");
        mWrites = registry.counter("platform.writes");
        mFailures = registry.counter("platform.failures");
    }

    /**
     * Creates a request builder.
     *
     * @param path path and query, encoded
     * @return a builder with address and timeout set
     */
    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(mOptions.base().resolve(path))
                .timeout(mOptions.requestTimeout());
    }

    /**
     * Sends a request that does not change state.
     *
     * @param request the request
     * @return its result
     */
    Exchange read(HttpRequest request) {
        mReads.inc();
        return send(request);
    }

    /**
     * Sends a request that changes state. It must not use the method GET, since the JDK's client
     * retries a GET after a broken connection.
     *
     * @param request the request
     * @return its result
     */
    Exchange write(HttpRequest request) {
        mWrites.inc();
        return send(request);
    }

    /**
     * URL-encodes a key for use in a path.
     *
     * @param key the key
     * @return the key as one path segment
     */
    static String encode(String key) {
        return URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
    }

    @Override
    public void close() {
        mClient.shutdownNow();
    }

    private Exchange send(HttpRequest request) {
        try {
            return new Exchange.Answered(
                    ValidResponses.require(
                            mClient.send(request, HttpResponse.BodyHandlers.ofByteArray())));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            mFailures.inc();
            return new Exchange.NotSent("no connection to the platform: " + e);
        } catch (IOException e) {
            mFailures.inc();
            return new Exchange.Unanswered("no answer from the platform: " + e);
        } catch (InterruptedException e) {
            mFailures.inc();
            Thread.currentThread().interrupt();
            return new Exchange.Unanswered("interrupted while waiting for the platform");
        }
    }
}
