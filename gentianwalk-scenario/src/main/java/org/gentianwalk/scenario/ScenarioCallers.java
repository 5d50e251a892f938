package org.gentianwalk.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.server.node.ServingNode;
import org.jspecify.annotations.Nullable;

/**
 * Callers of a scenario. A caller whose connection breaks reconnects with its request key and the
 * last event it received, at whichever instance the balancer chooses.
 */
final class ScenarioCallers implements AutoCloseable {
    static final String CRASHING_CALLER = "crash";
    static final String CRASH_MARKER = "crash-the-engine";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration PATIENCE = Duration.ofSeconds(15);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final int OK = 200;

    private final ScenarioCluster mCluster;
    private final History mHistory;
    private final RunClock mClock;
    private final Random mRandom;
    private final AtomicLong mInvocations = new AtomicLong();
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .executor(Executors.newVirtualThreadPerTaskExecutor())
                    .build();

    /**
     * One request of a caller.
     *
     * @param caller the caller's name
     * @param key the request key
     * @param rank the service class
     * @param tokens output tokens asked for
     * @param seed sampling seed
     * @param retries whether refusals and interruptions are followed by further tries
     */
    record Request(
            String caller, RequestKey key, Rank rank, int tokens, long seed, boolean retries) {
        /**
         * The prompt names the request, so that engines can be observed. A crashing request has the
         * same prompt under each key, as for a caller that starts over.
         */
        String prompt() {
            return caller.equals(CRASHING_CALLER) ? CRASH_MARKER : "request " + key;
        }
    }

    /** How one sending ended. */
    private enum End {
        ANSWERED,
        RETRY,
        FINAL
    }

    ScenarioCallers(ScenarioCluster cluster, History history, RunClock clock, long seed) {
        mCluster = cluster;
        mHistory = history;
        mClock = clock;
        mRandom = new Random(seed);
    }

    /** Runs a generation until its answer is complete or can't be had. */
    boolean generate(Request request) throws InterruptedException {
        Progress progress = new Progress();
        long until = mClock.nanos() + PATIENCE.toNanos();
        while (mClock.nanos() < until) {
            ServingNode node = choose();
            End end = node == null ? End.RETRY : send(request, node, progress);
            if (end != End.RETRY || !request.retries()) {
                return end == End.ANSWERED;
            }
            Thread.sleep(PAUSE);
        }
        return false;
    }

    /** Sends a call that may not be repeated until its outcome is known. */
    boolean call(Request request) throws InterruptedException {
        long until = mClock.nanos() + PATIENCE.toNanos();
        while (mClock.nanos() < until) {
            ServingNode node = choose();
            End end = node == null ? End.RETRY : sendCall(request, node);
            if (end != End.RETRY) {
                return end == End.ANSWERED;
            }
            Thread.sleep(PAUSE);
        }
        return false;
    }

    @Override
    public void close() {
        mClient.shutdownNow();
    }

    private synchronized @Nullable ServingNode choose() {
        List<ServingNode> ready = mCluster.ready();
        return ready.isEmpty() ? null : ready.get(mRandom.nextInt(ready.size()));
    }

    private End send(Request request, ServingNode node, Progress progress)
            throws InterruptedException {
        String body =
                JSON.createObjectNode()
                        .put("model", ScenarioSettings.MODEL)
                        .put("prompt", request.prompt())
                        .put("max_tokens", request.tokens())
                        .put("seed", request.seed())
                        .put("stream", true)
                        .toString();
        HttpRequest.Builder builder =
                builder(request, node, "/v1/completions")
                        .header(
                                "Gentianwalk-Kind",
                                request.rank() == Rank.URGENT
                                        ? ScenarioSettings.URGENT_KIND
                                        : ScenarioSettings.STANDARD_KIND);
        if (progress.mPosition > 0) {
            builder.header("Last-Event-ID", progress.mAttempt + "." + progress.mPosition);
        }
        long invocation = invoke(request);
        try {
            HttpResponse<InputStream> response =
                    mClient.send(
                            builder.POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                            HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream in = response.body()) {
                return response.statusCode() == OK
                        ? readEvents(in, invocation, request, progress)
                        : refused(in.readAllBytes(), response, invocation, request);
            }
        } catch (IOException e) {
            cut(invocation, request, node);
            return End.RETRY;
        }
    }

    private End readEvents(InputStream in, long invocation, Request request, Progress progress)
            throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.startsWith("id: ")) {
                String[] id = line.substring("id: ".length()).split("\\.");
                progress.mAttempt = Integer.parseInt(id[0]);
                progress.mNext = Integer.parseInt(id[1]);
            } else if (line.equals("data: [DONE]")) {
                mHistory.append(
                        new HistoryEvent.Completed(
                                mClock.nanos(), invocation, request.key(), "stop"));
                return End.ANSWERED;
            } else if (line.startsWith("data: ")) {
                JsonNode data = JSON.readTree(line.substring("data: ".length()));
                if (data.has("error")) {
                    String code = data.path("error").path("code").asText();
                    fail(invocation, request, code, Outcome.STOPPED);
                    return isFinal(code) ? End.FINAL : End.RETRY;
                }
                deliver(data, invocation, request, progress);
            }
        }
        throw new IOException("the stream ended without [DONE]");
    }

    private void deliver(JsonNode data, long invocation, Request request, Progress progress) {
        String text = data.path("choices").path(0).path("text").asText("").strip();
        if (text.isEmpty()) {
            return;
        }
        String[] tokens = text.split(" ");
        int position = progress.mNext - tokens.length;
        for (String token : tokens) {
            mHistory.append(
                    new HistoryEvent.TokenDelivered(
                            mClock.nanos(),
                            invocation,
                            request.key(),
                            progress.mAttempt,
                            position++,
                            Integer.parseInt(token)));
        }
        progress.mPosition = progress.mNext;
    }

    private End sendCall(Request request, ServingNode node) throws InterruptedException {
        String path = "/services/" + ScenarioSettings.SERVICE + "/orders";
        long invocation = invoke(request);
        try {
            HttpResponse<byte[]> response =
                    mClient.send(
                            builder(request, node, path)
                                    .POST(HttpRequest.BodyPublishers.ofString(request.prompt()))
                                    .build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() == OK) {
                mHistory.append(
                        new HistoryEvent.Completed(
                                mClock.nanos(), invocation, request.key(), "answered"));
                return End.ANSWERED;
            }
            return refused(response.body(), response, invocation, request);
        } catch (IOException e) {
            cut(invocation, request, node);
            return End.RETRY;
        }
    }

    private End refused(byte[] body, HttpResponse<?> response, long invocation, Request request)
            throws IOException {
        String code = JSON.readTree(body).path("error").path("code").asText();
        Outcome outcome =
                switch (response.headers().firstValue("Gentianwalk-Outcome").orElse("")) {
                    case "not-run" -> Outcome.NOT_RUN;
                    case "unknown" -> Outcome.UNKNOWN;
                    default -> Outcome.STOPPED;
                };
        fail(invocation, request, code, outcome);
        return isFinal(code) ? End.FINAL : End.RETRY;
    }

    private static boolean isFinal(String code) {
        return switch (code) {
            case "overloaded",
                    "team_limit",
                    "no_upstream",
                    "not_ready",
                    "store_unavailable",
                    "call_in_progress",
                    "upstream_failed",
                    "outcome_unknown",
                    "deadline_exceeded" ->
                    false;
            default -> true;
        };
    }

    private HttpRequest.Builder builder(Request request, ServingNode node, String path) {
        return HttpRequest.newBuilder(URI.create(node.uri() + path))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + ScenarioSettings.apiKey(request.key().team()))
                .header("Idempotency-Key", request.key().key());
    }

    private long invoke(Request request) {
        long invocation = mInvocations.incrementAndGet();
        mHistory.append(
                new HistoryEvent.Invoked(
                        mClock.nanos(),
                        invocation,
                        request.caller(),
                        request.key(),
                        request.rank()));
        return invocation;
    }

    private void fail(long invocation, Request request, String code, Outcome outcome) {
        mHistory.append(
                new HistoryEvent.Failed(mClock.nanos(), invocation, request.key(), code, outcome));
    }

    private void cut(long invocation, Request request, ServingNode node) {
        mHistory.append(
                new HistoryEvent.ConnectionCut(
                        mClock.nanos(), invocation, request.key(), node.settings().id()));
    }

    /** What a caller has received of one answer. */
    private static final class Progress {
        private int mAttempt;
        private int mPosition;
        private int mNext;
    }
}
