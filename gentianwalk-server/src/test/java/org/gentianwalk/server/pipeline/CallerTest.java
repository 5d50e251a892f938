package org.gentianwalk.server.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianwalk.core.config.ServingRules.Limits;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.LocalReplicaService;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.server.http.ConnectionTable;
import org.junit.jupiter.api.Test;

/** Tests the guarantees for callers that disconnect, reconnect, share a key or set a deadline. */
class CallerTest {
    private static final Duration CANCEL_LIMIT = Duration.ofSeconds(1);

    @Test
    void engineWorkIsCancelledWithinASecondOfTheDisconnect() throws Exception {
        try (TestFleet fleet = new TestFleet(List.of(TestFleet.slow("e1", 20)))) {
            TestCaller.Stream stream = fleet.caller().open(TestFleet.body("p", 1, 4000, true));
            stream.read(tokens -> tokens >= 3);
            stream.close();
            TestFleet.await(
                    "streaming work is cancelled",
                    CANCEL_LIMIT,
                    () -> fleet.engine(0).counts().cancelled() == 1);
        }
    }

    @Test
    void workOfACallerThatWaitsForAWholeAnswerIsCancelledToo() throws Exception {
        try (TestFleet fleet = new TestFleet(List.of(TestFleet.slow("e1", 20)))) {
            Socket socket = new Socket(fleet.uri().getHost(), fleet.uri().getPort());
            String body = TestFleet.body("p", 1, 4000, false);
            String head =
                    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + TestFleet.KEY
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes("US-ASCII"));
            TestFleet.await(
                    "the generation runs",
                    Duration.ofSeconds(5),
                    () -> fleet.engine(0).running() == 1);
            socket.close();
            TestFleet.await(
                    "work is cancelled",
                    CANCEL_LIMIT,
                    () -> fleet.engine(0).counts().cancelled() == 1);
        }
    }

    @Test
    void callerIsDisconnectedOnlyWhenRepeatedSnapshotsLackItsConnection() throws Exception {
        AtomicInteger snapshots = new AtomicInteger();
        // The kernel's table is not read atomically; here every second snapshot lacks all
        // connections.
        ConnectionTable flawed =
                () -> {
                    boolean missing = snapshots.getAndIncrement() % 2 == 0;
                    return (local, remote) ->
                            missing ? ConnectionTable.State.ABSENT : ConnectionTable.State.OPEN;
                };
        assertThat(completes(flawed)).isTrue();
        assertThat(snapshots.get()).isGreaterThan(4);
        assertThat(completes(() -> (local, remote) -> ConnectionTable.State.ABSENT)).isFalse();
    }

    private static boolean completes(ConnectionTable peers) throws Exception {
        try (TestFleet fleet =
                new TestFleet(
                        List.of(TestFleet.slow("e1", 15)),
                        Limits.DEFAULT,
                        Map.of(),
                        parts -> parts.withConnections(peers))) {
            return fleet.caller().stream(TestFleet.body("p", 1, 100, true)).mDone;
        }
    }

    @Test
    void twoConnectionsForOneKeySeeOneGeneration() throws Exception {
        try (TestFleet fleet = new TestFleet(List.of(TestFleet.slow("e1", 5)))) {
            String body = TestFleet.body("p", 7, 100, true);
            CompletableFuture<TestCaller.Stream> first =
                    CompletableFuture.supplyAsync(
                            () -> fleet.caller().stream(body, "Idempotency-Key", "k1"));
            CompletableFuture<TestCaller.Stream> second =
                    CompletableFuture.supplyAsync(
                            () -> fleet.caller().stream(body, "Idempotency-Key", "k1"));
            List<Integer> expected = TestFleet.expected("p", 7, 100);
            assertThat(first.get().mTokens).isEqualTo(expected);
            assertThat(second.get().mTokens).isEqualTo(expected);
            assertThat(fleet.caller().stream(body, "Idempotency-Key", "k1").mTokens)
                    .isEqualTo(expected);
            assertThat(fleet.engine(0).counts().started()).isEqualTo(1);

            String other = TestFleet.body("q", 7, 100, true);
            HttpResponse<String> refused =
                    fleet.caller().post("/v1/completions", other, "Idempotency-Key", "k1");
            assertThat(refused.statusCode()).isEqualTo(409);
            assertThat(code(refused)).isEqualTo("key_reused");
        }
    }

    @Test
    void callerContinuesAfterItsLastEvent() throws Exception {
        try (TestFleet fleet = new TestFleet(List.of(TestFleet.slow("e1", 5)))) {
            String body = TestFleet.body("p", 7, 100, true);
            TestCaller.Stream broken = fleet.caller().open(body, "Idempotency-Key", "k1");
            broken.read(tokens -> tokens >= 30);
            broken.close();
            TestCaller.Stream rest = fleet.caller().resume("k1", broken.mLastId).readAll();
            List<Integer> all = new java.util.ArrayList<>(broken.mTokens);
            all.addAll(rest.mTokens);
            assertThat(all).isEqualTo(TestFleet.expected("p", 7, 100));
            assertThat(rest.mDone).isTrue();
            assertThat(fleet.engine(0).counts().started()).isEqualTo(1);

            assertThat(fleet.caller().resume("k1", "3.50").mStatus).isEqualTo(409);
            assertThat(fleet.caller().resume("k1", "1.101").mStatus).isEqualTo(409);
            assertThat(fleet.caller().resume("k2", "1.5").mStatus).isEqualTo(410);
        }
    }

    @Test
    void generationOfAnotherInstanceIsTakenOverAtItsPosition() throws Exception {
        List<Integer> expected = TestFleet.expected("p", 7, 60);
        String body = TestFleet.body("p", 7, 60, true);
        List<GenerationState.Token> held =
                expected.subList(0, 20).stream()
                        .map(id -> new GenerationState.Token(id, id + " "))
                        .toList();
        GenerationState state =
                new GenerationState(
                        new RequestKey("team-1", "k1"),
                        new byte[32],
                        body.getBytes("UTF-8"),
                        TestFleet.MODEL,
                        "standard",
                        Rank.STANDARD,
                        7,
                        0,
                        List.of(
                                new GenerationState.LineageEntry(1, 0, "i0"),
                                new GenerationState.LineageEntry(2, 20, "i1")),
                        held,
                        null);
        ReplicaService replicas = new FixedTakeover(state);
        try (TestFleet fleet =
                new TestFleet(
                        List.of(TestFleet.slow("e1", 2)),
                        Limits.DEFAULT,
                        Map.of(),
                        parts -> parts.withReplicas(replicas))) {
            TestCaller.Stream rest = fleet.caller().resume("k1", "1.15").readAll();
            assertThat(rest.mTokens).isEqualTo(expected.subList(15, 60));
            assertThat(rest.mLastId).isEqualTo("2.60");
            // Position 25 of attempt 1 was never released, so the caller must have read a different
            // answer.
            assertThat(fleet.caller().resume("k1", "1.25").mStatus).isEqualTo(409);
        }
    }

    @Test
    void fencedInstanceStopsReleasingAndCancelsItsWork() throws Exception {
        AtomicReference<ReplicaService.Listener> listener = new AtomicReference<>();
        LocalReplicaService local = new LocalReplicaService();
        ReplicaService replicas =
                new ReplicaService() {
                    @Override
                    public Session open(GenerationState initial, Listener l) {
                        listener.set(l);
                        return local.open(initial, l);
                    }

                    @Override
                    public Takeover takeOver(RequestKey key) {
                        return local.takeOver(key);
                    }
                };
        try (TestFleet fleet =
                new TestFleet(
                        List.of(TestFleet.slow("e1", 5)),
                        Limits.DEFAULT,
                        Map.of(),
                        parts -> parts.withReplicas(replicas))) {
            TestCaller.Stream stream = fleet.caller().open(TestFleet.body("p", 1, 4000, true));
            stream.read(tokens -> tokens >= 10);
            listener.get().onFenced(2);
            stream.readAll();
            assertThat(stream.mDone).isFalse();
            assertThat(stream.mTokens).hasSizeLessThan(4000);
            TestFleet.await(
                    "work is cancelled",
                    CANCEL_LIMIT,
                    () -> fleet.engine(0).counts().cancelled() == 1);
        }
    }

    @Test
    void workBeyondItsDeadlineIsCancelledAndAnsweredByAnError() throws Exception {
        try (TestFleet fleet = new TestFleet(List.of(TestFleet.slow("e1", 20)))) {
            String body = TestFleet.body("p", 1, 400, false);
            HttpResponse<String> answer =
                    fleet.caller().post("/v1/completions", body, "Gentianwalk-Deadline-Ms", "300");
            assertThat(answer.statusCode()).isEqualTo(504);
            assertThat(code(answer)).isEqualTo(ErrorKind.DEADLINE_EXCEEDED.code());
            TestFleet.await(
                    "no work is left at the engine",
                    CANCEL_LIMIT,
                    () -> fleet.engine(0).running() == 0);
        }
    }

    @Test
    void gracefulShutdownFinishesStreamsAndRefusesNewWork() throws Exception {
        try (TestFleet fleet = new TestFleet(List.of(TestFleet.slow("e1", 10)))) {
            TestCaller.Stream stream = fleet.caller().open(TestFleet.body("p", 1, 100, true));
            stream.read(tokens -> tokens >= 5);
            Thread stop = Thread.ofVirtual().start(() -> shutdown(fleet));
            TestFleet.await("not ready", Duration.ofSeconds(2), () -> !fleet.instance().isReady());
            assertThat(fleet.caller().get("/readyz").statusCode()).isEqualTo(503);
            HttpResponse<String> refused =
                    fleet.caller().post("/v1/completions", TestFleet.body("q", 1, 5, false));
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.headers().firstValue("Gentianwalk-Outcome")).contains("not-run");
            stream.readAll();
            assertThat(stream.mTokens).isEqualTo(TestFleet.expected("p", 1, 100));
            assertThat(stream.mDone).isTrue();
            assertThat(stop.join(Duration.ofSeconds(5))).isTrue();
        }
    }

    @Test
    void drainingEngineGetsNoNewWorkWithinThreeSeconds() throws Exception {
        try (TestFleet fleet = TestFleet.of(2)) {
            fleet.engine(0).faults().drain(true);
            TestFleet.await(
                    "all new work goes to the other engine",
                    Duration.ofSeconds(3),
                    () -> tenRequestsGoToTheOtherEngine(fleet));
        }
    }

    private static boolean tenRequestsGoToTheOtherEngine(TestFleet fleet) {
        long before = fleet.engine(1).counts().started();
        for (int i = 0; i < 10; i++) {
            fleet.caller().post("/v1/completions", TestFleet.body("p", i, 1, false));
        }
        return fleet.engine(1).counts().started() == before + 10;
    }

    private static void shutdown(TestFleet fleet) {
        try {
            fleet.instance().shutdown();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String code(HttpResponse<String> answer) {
        return TestCaller.json(answer.body()).at("/error/code").asText();
    }

    /** Returns one generation, once. */
    private static final class FixedTakeover implements ReplicaService {
        private final AtomicReference<GenerationState> mState;
        private final LocalReplicaService mLocal = new LocalReplicaService();

        FixedTakeover(GenerationState state) {
            mState = new AtomicReference<>(state);
        }

        @Override
        public Session open(GenerationState initial, Listener listener) {
            return mLocal.open(initial, listener);
        }

        @Override
        public Takeover takeOver(RequestKey key) {
            GenerationState state = mState.getAndSet(null);
            return state == null ? new Takeover.NotFound() : new Takeover.Taken(state);
        }
    }
}
