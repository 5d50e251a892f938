package org.gentianwalk.server.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.Scheduler.Loss;
import org.gentianwalk.core.replica.LocalReplicaService;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.FixedRules;
import org.gentianwalk.server.upstream.EngineClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a regenerated output that ends before the tokens that are held already: the answer
 * would have the tokens of one generation and the end of another one.
 */
class RegeneratedOutputTest {
    private static final String END =
            "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

    private final List<String> mEvents = new ArrayList<>();
    private final EngineClient mClient = new EngineClient(1);
    private HttpServer mEngine;
    private volatile String mOutput = "";
    private Generation mGeneration;

    @BeforeEach
    void startEngine() throws Exception {
        mEngine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mEngine.createContext(
                "/",
                exchange -> {
                    exchange.getRequestBody().readAllBytes();
                    byte[] body = mOutput.getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(200, 0);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        mEngine.start();
        ObjectNode json =
                new ObjectMapper().createObjectNode().put("model", "m").put("prompt", "p");
        mGeneration =
                new Generation(
                        new GenerationRequest(
                                new RequestKey("team", "key"),
                                true,
                                new byte[32],
                                new byte[0],
                                json,
                                "m",
                                FixedRules.STANDARD,
                                100,
                                1,
                                0,
                                Long.MAX_VALUE,
                                Long.MAX_VALUE),
                        "i1",
                        0);
    }

    @AfterEach
    void stopEngine() {
        mEngine.stop(0);
        mClient.close();
    }

    @Test
    void anOutputThatEndsBeforeTheHeldTokensIsDivergent() {
        run(1, tokens(5));
        assertThat(mEvents).containsExactly("lost UPSTREAM_FAILED");

        run(2, tokens(3) + END);
        assertThat(mEvents).containsExactly("lost UPSTREAM_FAILED", "failed GENERATION_DIVERGED");
    }

    @Test
    void anOutputThatEndsAfterTheHeldTokensIsComplete() {
        run(1, tokens(5));
        run(2, tokens(5) + END);
        assertThat(mEvents).containsExactly("lost UPSTREAM_FAILED", "finished");
        assertThat(mGeneration.tokens()).isEqualTo(5);
    }

    private void run(int attempt, String output) {
        mOutput = output;
        UpstreamInfo engine =
                new UpstreamInfo(
                        "e" + attempt,
                        URI.create("http://127.0.0.1:" + mEngine.getAddress().getPort()),
                        new Location("r1", "r1-a"),
                        Set.of("m"),
                        1,
                        1,
                        1,
                        EnumSet.of(Capability.TOKEN_IDS));
        Decision.Start start =
                new Decision.Start(
                        mGeneration.request().workItem(), attempt, engine.id(), 0, List.of(), "");
        new AttemptRunner(mGeneration, start, engine, new RecordingContext()).run();
    }

    private static String tokens(int count) {
        StringBuilder events = new StringBuilder();
        for (int i = 0; i < count; i++) {
            events.append(
                    "data: {\"choices\":[{\"text\":\"t\",\"token_ids\":[%d],\"position\":%d}]}\n\n"
                            .formatted(100 + i, i));
        }
        return events.toString();
    }

    /** Records how attempts end. */
    private final class RecordingContext implements AttemptContext {
        private final LocalReplicaService mReplicas = new LocalReplicaService();

        @Override
        public EngineClient client() {
            return mClient;
        }

        @Override
        public ReplicaService replicas() {
            return mReplicas;
        }

        @Override
        public Ticker ticker() {
            return System::nanoTime;
        }

        @Override
        public StallMonitor stalls() {
            return new StallMonitor(System::nanoTime);
        }

        @Override
        public void onAttemptLost(
                Generation generation,
                AttemptRunner runner,
                Loss loss,
                String detail,
                boolean unreachable) {
            mEvents.add("lost " + loss);
        }

        @Override
        public void onFinished(Generation generation, int cachedTokens) {
            mEvents.add("finished");
        }

        @Override
        public void onFailed(Generation generation, ServeError error) {
            assertThat(error.kind()).isEqualTo(ErrorKind.GENERATION_DIVERGED);
            mEvents.add("failed " + error.kind());
        }

        @Override
        public void onException(Generation generation, RuntimeException exception) {
            throw exception;
        }
    }
}
