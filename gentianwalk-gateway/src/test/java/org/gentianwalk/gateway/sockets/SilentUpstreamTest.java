package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against streams that are cut, refused or repeated while sound engines are silent for about
 * a second: they write nothing, do not answer checks, keep their connections, and go on.
 */
class SilentUpstreamTest {
    private static final int STREAMS = 8;
    private static final int EVENTS = 60;
    private static final int EVENT_MILLIS = 50;
    private static final int MAX_ATTEMPTS = 3;

    /** Time limit of the routes. */
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    /** Time after a loss within which output has to go on. */
    private static final Duration MAX_GAP = Duration.ofSeconds(5);

    /** A time without output, relative to the arrival of the requests. */
    private record Pause(long startMillis, long endMillis) {}

    /** An engine that writes nothing during its pauses, whatever it is asked. */
    private static final class PausingEngine {
        private final List<Pause> mPauses;
        private final LongSupplier mMillis;

        PausingEngine(List<Pause> pauses, LongSupplier millis) {
            mPauses = pauses;
            mMillis = millis;
        }

        void respond(ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
                throws Exception {
            awaitPauses();
            if (request.id().isEmpty()) {
                connection.write("HTTP/1.1 200 OK\r\nx-signed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            connection.write(ScriptedUpstream.streamHead(request));
            int last = Integer.parseInt(request.headers().getOrDefault("x-last", "0"));
            for (int event = last + 1; event <= EVENTS; event++) {
                awaitPauses();
                connection.write("id: " + event + "\ndata: " + request.id() + "\n\n");
                Thread.sleep(EVENT_MILLIS);
            }
            connection.socket().close();
        }

        private void awaitPauses() throws InterruptedException {
            for (Pause pause : mPauses) {
                long now = mMillis.getAsLong();
                if (now >= pause.startMillis() && now < pause.endMillis()) {
                    Thread.sleep(pause.endMillis() - now);
                }
            }
        }
    }

    private static List<Pause> series(long startMillis, int count, long betweenMillis) {
        List<Pause> pauses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long start = startMillis + i * (1_200 + betweenMillis);
            pauses.add(new Pause(start, start + 1_200));
        }
        return pauses;
    }

    static Stream<Arguments> pauses() {
        List<Pause> none = List.of();
        List<Pause> once = series(1_000, 1, 0);
        List<Pause> fourTimes = series(1_000, 4, 700);
        List<Pause> start = List.of(new Pause(-100, 1_300));
        return Stream.of(
                Arguments.of("one engine, once", List.of(once)),
                Arguments.of("one of two engines, once", List.of(once, none)),
                Arguments.of("two engines at the same time", List.of(once, once)),
                Arguments.of("one engine, four times", List.of(fourTimes)),
                Arguments.of("two engines, four times each", List.of(fourTimes, fourTimes)),
                Arguments.of(
                        "two engines in turn",
                        List.of(series(800, 4, 1_400), series(2_100, 4, 1_400))),
                Arguments.of(
                        "three engines in turn",
                        List.of(
                                series(800, 2, 2_700),
                                series(2_100, 2, 2_700),
                                series(3_400, 2, 2_700))),
                Arguments.of("two engines from the start", List.of(start, start)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("pauses")
    void streamsAreWholeAlthoughTheirEnginesPause(String name, List<List<Pause>> pauses)
            throws Exception {
        long[] startNanos = {System.nanoTime() + Duration.ofDays(1).toNanos()};
        LongSupplier millis = () -> (System.nanoTime() - startNanos[0]) / 1_000_000;
        List<ScriptedUpstream> engines = new ArrayList<>();
        try (GatewayFleet fleet = new GatewayFleet()) {
            fleet.configure(TIMEOUT);
            for (List<Pause> pausesOfOne : pauses) {
                PausingEngine engine = new PausingEngine(pausesOfOne, millis);
                engines.add(new ScriptedUpstream("w" + engines.size(), engine::respond));
                fleet.list(engines.getLast().entry(GatewayFleet.WRITER, "a"));
            }
            GatewayFleet.Instance instance = fleet.start("i1", "a", Duration.ofSeconds(4));
            startNanos[0] = System.nanoTime();

            List<RawCaller.Response> responses = callAll(instance);

            for (int i = 0; i < STREAMS; i++) {
                RawCaller.Response response = responses.get(i);
                assertThat(response).as("answer to stream-%d", i).isNotNull();
                assertThat(response.status())
                        .as("status of stream-%d: %s", i, response.body())
                        .isEqualTo(200);
                assertThat(response.complete()).as("stream-%d is complete", i).isTrue();
                assertThat(response.body()).isEqualTo(wholeBody("stream-" + i));
            }
            assertNoEngineIsSentARequestTwiceInVain(engines);
        } finally {
            close(engines);
        }
    }

    /** A pause must not cost attempts: none is sent to an engine that is known to be silent. */
    private static void assertNoEngineIsSentARequestTwiceInVain(List<ScriptedUpstream> engines) {
        Map<String, Set<String>> enginesOfRequests = new HashMap<>();
        for (ScriptedUpstream engine : engines) {
            for (String id : engine.received()) {
                enginesOfRequests.computeIfAbsent(id, key -> new HashSet<>()).add(engine.id());
            }
        }
        assertThat(enginesOfRequests.values())
                .allSatisfy(used -> assertThat(used).hasSizeLessThanOrEqualTo(MAX_ATTEMPTS));
        if (engines.size() == 1) {
            assertThat(engines.getFirst().received()).hasSize(STREAMS);
        }
    }

    /** An engine that never comes back must not hold up its streams until their time limit. */
    @Test
    void outputGoesOnAfterAnEngineIsSilentForGood() throws Exception {
        long[] startNanos = {System.nanoTime() + Duration.ofDays(1).toNanos()};
        LongSupplier millis = () -> (System.nanoTime() - startNanos[0]) / 1_000_000;
        List<Pause> forGood = List.of(new Pause(1_000, Duration.ofDays(1).toMillis()));
        List<ScriptedUpstream> engines = new ArrayList<>();
        try (GatewayFleet fleet = new GatewayFleet()) {
            fleet.configure(TIMEOUT);
            PausingEngine lost = new PausingEngine(forGood, millis);
            PausingEngine sound = new PausingEngine(List.of(), millis);
            engines.add(new ScriptedUpstream("w0", lost::respond));
            engines.add(new ScriptedUpstream("w1", sound::respond));
            for (ScriptedUpstream engine : engines) {
                fleet.list(engine.entry(GatewayFleet.WRITER, "a"));
            }
            GatewayFleet.Instance instance = fleet.start("i1", "a", Duration.ofSeconds(4));
            startNanos[0] = System.nanoTime();

            List<RawCaller.Response> responses = callAll(instance);

            Duration longest =
                    Duration.ofMillis((long) EVENTS * EVENT_MILLIS + 1_000).plus(MAX_GAP);
            for (int i = 0; i < STREAMS; i++) {
                RawCaller.Response response = responses.get(i);
                assertThat(response.complete()).as("stream-%d is complete", i).isTrue();
                assertThat(response.body()).isEqualTo(wholeBody("stream-" + i));
                assertThat(response.took()).as("stream-%d", i).isLessThan(longest);
            }
            assertThat(engines.getFirst().received()).as("used engine").isNotEmpty();
        } finally {
            close(engines);
        }
    }

    private static List<RawCaller.Response> callAll(GatewayFleet.Instance instance)
            throws Exception {
        List<Future<RawCaller.Response>> responses = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < STREAMS; i++) {
                String id = "stream-" + i;
                responses.add(
                        threads.submit(
                                () -> {
                                    try (RawCaller caller = instance.caller()) {
                                        return caller.call("/stream/a", id);
                                    }
                                }));
            }
        }
        List<RawCaller.Response> read = new ArrayList<>();
        for (Future<RawCaller.Response> response : responses) {
            read.add(response.get());
        }
        return read;
    }

    private static String wholeBody(String id) {
        StringBuilder body = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            body.append("id: ").append(event).append("\ndata: ").append(id).append("\n\n");
        }
        return body.toString();
    }

    private static void close(Collection<ScriptedUpstream> engines) throws Exception {
        for (ScriptedUpstream engine : engines) {
            engine.close();
        }
    }
}
