package org.gentianwalk.server.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/** A caller that checks the framing of events and records token identifiers and event ids. */
final class TestCaller {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient mClient;
    private final URI mUri;
    private final String mKey;

    TestCaller(HttpClient client, URI uri, String key) {
        mClient = client;
        mUri = uri;
        mKey = key;
    }

    HttpResponse<String> post(String path, String body, String... headers) {
        HttpRequest request =
                builder(path, headers).POST(HttpRequest.BodyPublishers.ofString(body)).build();
        return send(request);
    }

    HttpResponse<String> get(String path, String... headers) {
        return send(builder(path, headers).GET().build());
    }

    /** Reads a whole stream. */
    Stream stream(String body, String... headers) {
        return open(body, headers).readAll();
    }

    /** Opens a stream without reading it. */
    Stream open(String body, String... headers) {
        return open(
                builder("/v1/completions", headers)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    Stream resume(String key, String lastEvent) {
        return open(builder("/v1/generations/" + key, "Last-Event-ID", lastEvent).GET().build());
    }

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Stream open(HttpRequest request) {
        try {
            return new Stream(mClient.send(request, HttpResponse.BodyHandlers.ofInputStream()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpRequest.Builder builder(String path, String... headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(mUri.resolve(path))
                        .header("Authorization", "Bearer " + mKey);
        return headers.length == 0 ? builder : builder.headers(headers);
    }

    /** A streamed answer. */
    static final class Stream implements AutoCloseable {
        final int mStatus;
        final String mRequestKey;
        final List<Integer> mTokens = new ArrayList<>();
        String mLastId = "";
        String mFinish = "";
        String mError = "";
        boolean mDone;
        private final InputStream mInput;
        private final BufferedReader mReader;

        Stream(HttpResponse<InputStream> response) {
            mStatus = response.statusCode();
            mRequestKey = response.headers().firstValue("Idempotency-Key").orElse("");
            mInput = response.body();
            mReader = new BufferedReader(new InputStreamReader(mInput, StandardCharsets.UTF_8));
        }

        Stream readAll() {
            read(tokens -> false);
            close();
            return this;
        }

        /** Reads until the number of tokens meets a condition, or until the end. */
        void read(IntPredicate enough) {
            try {
                String id = "";
                String line = mReader.readLine();
                while (line != null) {
                    if (line.startsWith("id: ")) {
                        id = line.substring(4);
                    } else if (line.startsWith("data: ")) {
                        event(id, line.substring(6));
                    } else if (!line.isEmpty()) {
                        mError = line;
                    } else if (enough.test(mTokens.size())) {
                        return;
                    }
                    line = mReader.readLine();
                }
            } catch (IOException e) {
                mError = "broken";
            }
        }

        private void event(String id, String data) {
            if (data.equals("[DONE]")) {
                mDone = true;
                return;
            }
            JsonNode choice = json(data).path("choices").path(0);
            mError = json(data).path("error").path("code").asText(mError);
            choice.path("token_ids").forEach(token -> mTokens.add(token.asInt()));
            mFinish = choice.path("finish_reason").asText(mFinish);
            mLastId = id.isEmpty() ? mLastId : id;
        }

        @Override
        public void close() {
            try {
                mInput.close();
            } catch (IOException ignored) {
                // The test has read what it needs.
            }
        }
    }
}
