package org.gentianwalk.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.standin.StandinHttp;
import org.junit.jupiter.api.Test;

/** Guards the behaviour of the engine stand-in that other tests rely on. */
class EngineStandinTest {
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    @Test
    void changedTokenChangesAllTokensAfterIt() {
        List<Integer> tokens = TokenSequence.start("m", 1, "p").take(50, 0);
        TokenSequence other = TokenSequence.start("m", 1, "p");
        other.take(10, 0);
        other.advance(tokens.get(10) + 1);
        assertThat(other.take(39, 0)).isNotEqualTo(tokens.subList(11, 50));
        assertThat(TokenSequence.start("m", 2, "p").take(50, 0)).isNotEqualTo(tokens);
        assertThat(TokenSequence.start("m", 1, "q").take(50, 0)).isNotEqualTo(tokens);
        long one = EngineOptions.of("e1", "m").withSampling(true).salt();
        long two = EngineOptions.of("e2", "m").withSampling(true).salt();
        assertThat(TokenSequence.start("m", 1, "p").take(50, one))
                .isNotEqualTo(TokenSequence.start("m", 1, "p").take(50, two));
    }

    @Test
    void resumedGenerationContinuesTheSequence() throws Exception {
        try (EngineStandin engine = EngineStandin.start(EngineOptions.of("e1", "m"), 0)) {
            List<Integer> all = TokenSequence.start("m", 4, "p").take(30, 0);
            String rest = stream(engine, 30, all.subList(0, 12));
            assertThat(tokens(rest)).isEqualTo(all.subList(12, 30));
            assertThat(rest).contains("\"position\":12").endsWith("data: [DONE]\n\n");
        }
    }

    @Test
    void deadEngineSendsExactlyTheTokensBeforeItsDeath() throws Exception {
        try (EngineStandin engine = EngineStandin.start(EngineOptions.of("e1", "m"), 0)) {
            engine.faults().dieAfterTokens(7);
            HttpResponse<java.io.InputStream> answer =
                    CLIENT.send(
                            completion(engine, 30, List.of()),
                            HttpResponse.BodyHandlers.ofInputStream());
            StringBuilder text = new StringBuilder();
            try (java.io.InputStream input = answer.body()) {
                for (int next = input.read(); next >= 0; next = input.read()) {
                    text.append((char) next);
                }
            } catch (IOException expected) {
                text.append(" broken");
            }
            assertThat(tokens(text.toString()))
                    .isEqualTo(TokenSequence.start("m", 4, "p").take(7, 0));
            engine.kill();
            engine.restart();
            assertThat(tokens(stream(engine, 30, List.of()))).hasSize(30);
        }
    }

    /** Guards against an engine that is ended again by a generation of its previous life. */
    @Test
    void aGenerationOfAnEarlierLifeDoesNotEndTheNextOne() throws Exception {
        try (EngineStandin engine = EngineStandin.start(EngineOptions.of("e1", "m"), 0)) {
            CountDownLatch started = new CountDownLatch(1);
            engine.faults().crashOn("p");
            engine.faults()
                    .onStart(
                            prompt -> {
                                engine.faults().pause();
                                started.countDown();
                            });
            CLIENT.sendAsync(
                    completion(engine, 30, List.of()), HttpResponse.BodyHandlers.discarding());
            assertThat(started.await(10, TimeUnit.SECONDS)).isTrue();
            engine.faults().crashOn("no prompt");
            engine.faults().onStart(prompt -> {});
            engine.kill();
            engine.restart();
            for (int i = 0; i < 50; i++) {
                assertThat(tokens(stream(engine, 30, List.of()))).hasSize(30);
            }
            assertThat(engine.isAlive()).isTrue();
        }
    }

    @Test
    void orderWithAnOldFencingNumberIsRefusedUnlessFencingIsIgnored() throws Exception {
        try (EngineStandin engine = EngineStandin.start(EngineOptions.of("e1", "m"), 0)) {
            assertThat(order(engine, 5, "a").statusCode()).isEqualTo(200);
            HttpResponse<String> stale = order(engine, 4, "b");
            assertThat(stale.statusCode()).isEqualTo(409);
            assertThat(stale.body()).contains("stale_fencing");
            assertThat(get(engine, "/state").at("/target/role").asText()).isEqualTo("a");
            engine.faults().ignoreFencing(true);
            assertThat(order(engine, 4, "b").statusCode()).isEqualTo(200);
            assertThat(get(engine, "/state").at("/fencing").asLong()).isEqualTo(5);
        }
        EnumSet<Capability> without = EnumSet.complementOf(EnumSet.of(Capability.FENCING));
        EngineOptions options = EngineOptions.of("e2", "m").withCapabilities(without);
        try (EngineStandin engine = EngineStandin.start(options, 0)) {
            order(engine, 5, "a");
            assertThat(order(engine, 4, "b").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void repeatedPromptIsFoundInTheCacheAndEventsHaveGaps() throws Exception {
        EngineOptions plain = EngineOptions.of("e1", "m");
        EngineOptions options =
                new EngineOptions(
                        plain.id(),
                        plain.models(),
                        plain.slots(),
                        plain.timing(),
                        new EngineOptions.Cache(100, Duration.ZERO, 4),
                        plain.capabilities(),
                        false,
                        1);
        try (EngineStandin engine = EngineStandin.start(options, 0)) {
            String prompt = "x".repeat(256 * 10);
            String body = "{\"model\":\"m\",\"max_tokens\":1,\"prompt\":\"" + prompt + "\"}";
            post(engine, "/v1/completions", body);
            post(engine, "/v1/completions", body);
            assertThat(engine.counts().cachedTokens()).isEqualTo(640);
            JsonNode events = get(engine, "/cache_events?after=0");
            // Of ten stored blocks, the events 4 and 8 are missing.
            assertThat(events.path("events")).hasSize(8);
            assertThat(events.path("next").asLong()).isEqualTo(10);
            assertThat(get(engine, "/cache_events?after=10").path("events")).isEmpty();
        }
    }

    private static HttpResponse<String> order(EngineStandin engine, int fencing, String role)
            throws Exception {
        return post(
                engine,
                "/orders",
                "{\"fencing\":" + fencing + ",\"target\":{\"role\":\"" + role + "\"}}");
    }

    private static JsonNode get(EngineStandin engine, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(engine.uri().resolve(path)).build();
        String body = CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return StandinHttp.JSON.readTree(body);
    }

    private static HttpResponse<String> post(EngineStandin engine, String path, String body)
            throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(engine.uri().resolve(path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String stream(EngineStandin engine, int maxTokens, List<Integer> resume)
            throws Exception {
        return CLIENT.send(
                        completion(engine, maxTokens, resume), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static HttpRequest completion(
            EngineStandin engine, int maxTokens, List<Integer> resume) {
        String body =
                """
                {"model":"m","prompt":"p","seed":4,"max_tokens":%d,"stream":true,
                "return_token_ids":true,"resume_token_ids":%s}
                """
                        .formatted(maxTokens, resume);
        return HttpRequest.newBuilder(engine.uri().resolve("/v1/completions"))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static List<Integer> tokens(String events) throws Exception {
        List<Integer> tokens = new ArrayList<>();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: {") && line.endsWith("}")) {
                StandinHttp.JSON
                        .readTree(line.substring(6))
                        .at("/choices/0/token_ids")
                        .forEach(id -> tokens.add(id.asInt()));
            }
        }
        return tokens;
    }
}
