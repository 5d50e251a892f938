package org.gentianwalk.bench.path;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLongArray;
import org.HdrHistogram.Recorder;
import org.gentianwalk.standin.engine.TokenSequence;

/** Requests one stream, verifies each token and records its delay. */
final class StreamCaller {
    private static final String TEXT_PREFIX = "\"text\":\"";
    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(30);
    private static final int STATUS_OK = 200;

    private final HttpClient mClient;
    private final URI mUri;
    private final String mModel;
    private final long mSeed;
    private final AtomicLongArray mSentNanos;
    private final Recorder mDelays;
    private int mReceivedTokens;

    StreamCaller(
            HttpClient client,
            URI uri,
            String model,
            long seed,
            AtomicLongArray sent,
            Recorder delays) {
        mClient = client;
        mUri = uri;
        mModel = model;
        mSeed = seed;
        mSentNanos = sent;
        mDelays = delays;
    }

    int receivedTokens() {
        return mReceivedTokens;
    }

    /** Sends the request and returns whether the output is exactly the expected one. */
    boolean call(PathOptions options) throws IOException, InterruptedException {
        String body =
                "{\"model\":\"%s\",\"prompt\":\"bench\",\"seed\":%d,\"max_tokens\":%d,"
                        .formatted(mModel, mSeed, options.tokensPerStream());
        HttpRequest request =
                HttpRequest.newBuilder(mUri.resolve("/v1/completions"))
                        .timeout(options.duration().plus(TIMEOUT_MARGIN))
                        .header("Authorization", "Bearer " + PathBenchmark.KEY)
                        .POST(HttpRequest.BodyPublishers.ofString(body + "\"stream\":true}"))
                        .build();
        HttpResponse<java.io.InputStream> response =
                mClient.send(request, HttpResponse.BodyHandlers.ofInputStream());
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            if (response.statusCode() != STATUS_OK) {
                return false;
            }
            return readTokens(lines, options.tokensPerStream());
        }
    }

    private boolean readTokens(BufferedReader lines, int expected) throws IOException {
        TokenSequence sequence = TokenSequence.start(mModel, mSeed, "bench");
        String line = lines.readLine();
        while (line != null && !line.equals("data: [DONE]")) {
            int at = line.indexOf(TEXT_PREFIX);
            if (at >= 0) {
                long now = System.nanoTime();
                int from = at + TEXT_PREFIX.length();
                String text = line.substring(from, line.indexOf('"', from));
                for (String token : text.isBlank() ? new String[0] : text.strip().split(" ")) {
                    int id = sequence.peek(0);
                    if (!token.equals(Integer.toString(id)) || mReceivedTokens >= expected) {
                        return false;
                    }
                    sequence.advance(id);
                    long micros = (now - mSentNanos.get(mReceivedTokens)) / 1000;
                    mDelays.recordValue(Math.max(0, micros));
                    mReceivedTokens++;
                }
            }
            line = lines.readLine();
        }
        return mReceivedTokens == expected;
    }
}
