package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that broke off at the upstream and look complete to the caller. */
class BrokenAnswerTest {
    private static GatewayFleet sFleet;
    private static GatewayFleet.Instance sInstance;
    private static ScriptedUpstream sDesk;
    private static ScriptedUpstream sSecondDesk;
    private static ScriptedUpstream sWriter;

    /** How an answer breaks off. */
    private enum Break {
        WITHIN_LENGTH("Content-Length: 400\r\n", "x".repeat(100), false),
        WITHIN_LENGTH_RESET("Content-Length: 400\r\n", "x".repeat(100), true),
        WITHIN_CHUNK("Transfer-Encoding: chunked\r\n", "64\r\n" + "x".repeat(30), false),
        BETWEEN_CHUNKS("Transfer-Encoding: chunked\r\n", "5\r\nxxxxx\r\n", false),
        WITHOUT_LAST_LINE("Transfer-Encoding: chunked\r\n", "5\r\nxxxxx\r\n0\r\n", false),
        NO_FRAMING_RESET("", "x".repeat(100), true);

        private final String mFraming;
        private final String mBody;
        private final boolean mReset;

        Break(String framing, String body, boolean reset) {
            mFraming = framing;
            mBody = body;
            mReset = reset;
        }

        void write(
                ScriptedUpstream.Request request,
                ScriptedUpstream.Connection connection,
                String version)
                throws Exception {
            connection.write(
                    version
                            + " 200 OK\r\nx-signed: 1\r\nx-id: "
                            + request.id()
                            + "\r\n"
                            + mFraming
                            + "\r\n"
                            + mBody);
            Thread.sleep(10);
            if (mReset) {
                connection.reset();
            } else {
                connection.socket().close();
            }
        }
    }

    /** Where a stream breaks off. */
    private enum StreamBreak {
        BETWEEN_EVENTS("id: 1\ndata: a\n\n", true),
        WITHIN_EVENT("id: 1\ndata: a\n\nid: 2\nda", true),
        WITHIN_EVENT_CLOSED("id: 1\ndata: a\n\nid: 2\nda", false),
        BEFORE_FIRST_EVENT("id: 1\nda", true);

        private final String mEvents;
        private final boolean mReset;

        StreamBreak(String events, boolean reset) {
            mEvents = events;
            mReset = reset;
        }
    }

    @BeforeAll
    static void start() throws Exception {
        sFleet = new GatewayFleet();
        sDesk = new ScriptedUpstream("u1", (request, connection) -> {});
        sWriter = new ScriptedUpstream("w1", (request, connection) -> {});
        sSecondDesk = new ScriptedUpstream("u2", (request, connection) -> {});
        sFleet.list(sDesk.entry(GatewayFleet.DESK, "a"));
        sFleet.list(sSecondDesk.entry(GatewayFleet.DESK, "a"));
        sFleet.list(sWriter.entry(GatewayFleet.WRITER, "a"));
        sInstance = sFleet.start("i1", "a", Duration.ofSeconds(8));
    }

    @AfterAll
    static void stop() throws Exception {
        sFleet.close();
        sDesk.close();
        sSecondDesk.close();
        sWriter.close();
    }

    private static void script(ScriptedUpstream.Script script) {
        sDesk.script(script);
        sSecondDesk.script(script);
    }

    @ParameterizedTest
    @EnumSource(Break.class)
    void aBrokenAnswerToACallIsAnError(Break broken) throws Exception {
        for (String version : new String[] {"HTTP/1.1", "HTTP/1.0"}) {
            script((request, connection) -> broken.write(request, connection, version));
            try (RawCaller caller = sInstance.caller()) {
                RawCaller.Response response = caller.call("/unsafe/a", broken + version);

                assertThat(response.status()).as(version).isEqualTo(502);
                assertThat(response.body()).doesNotContain("xxx");
            }
        }
    }

    /**
     * The headers that arrived must not make an answer. CutHeadTest tries further forms of the head
     * without an instance.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAnswerToACallWhoseHeadIsCutIsAnError(boolean reset) throws Exception {
        String head = "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nContent-Length: 512\r\n\r\n";
        for (int cut = 0; cut < head.formatted("h000").length(); cut++) {
            String id = "h%03d".formatted(cut);
            String begin = head.formatted(id).substring(0, cut);
            script((request, connection) -> cut(request, connection, begin, reset));
            try (RawCaller caller = sInstance.caller()) {
                RawCaller.Response response = caller.call("/unsafe/a", id);

                assertThat(response.status()).as("cut after byte %d", cut).isEqualTo(502);
                assertThat(response.complete()).isTrue();
            }
        }
    }

    /** The only engine cuts each answer, so that no other one can answer. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aStreamThatIsCutBeforeItsFirstEventIsAnError(boolean reset) throws Exception {
        List<String> begins =
                List.of(
                        "HTTP/1.1 2",
                        "HTTP/1.1 200 OK\r\n",
                        "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nx-eve",
                        "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nx-events: 1\r\n",
                        "HTTP/1.0 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nx-events: 1\r\n\r",
                        "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nx-events: 1\r\n\r\n",
                        "HTTP/1.1 100 Continue\r\n\r\n");
        String ids = "cut-stream-" + reset + "-";
        sWriter.script(
                (request, connection) -> {
                    String begin = "";
                    if (request.id().startsWith(ids)) {
                        begin = begins.get(Integer.parseInt(request.id().substring(ids.length())));
                    }
                    cut(request, connection, begin.formatted(request.id()), reset);
                });
        List<RawCaller> callers = new ArrayList<>();
        try {
            for (int i = 0; i < begins.size(); i++) {
                callers.add(sInstance.caller());
                callers.getLast().send("/stream/a", ids + i);
            }
            for (int i = 0; i < begins.size(); i++) {
                RawCaller.Response response = callers.get(i).read();

                assertThat(response.status()).as(begins.get(i)).isGreaterThanOrEqualTo(500);
                assertThat(response.complete()).isTrue();
            }
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
    }

    private static void cut(
            ScriptedUpstream.Request request,
            ScriptedUpstream.Connection connection,
            String begin,
            boolean reset)
            throws Exception {
        if (request.id().isEmpty()) {
            connection.write(ScriptedUpstream.success(request, "alive"));
            return;
        }
        connection.write(begin);
        if (reset) {
            connection.reset();
        } else {
            connection.socket().close();
        }
    }

    /** Its first part has been forwarded when it breaks off. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLongAnswerThatBreaksOffIsNotComplete(boolean reset) throws Exception {
        AtomicInteger executions = new AtomicInteger();
        script(
                (request, connection) -> {
                    if (request.id().isEmpty()) {
                        // A check after a reset connection, of this call or of an earlier one.
                        connection.write(ScriptedUpstream.success(request, "alive"));
                        return;
                    }
                    executions.incrementAndGet();
                    connection.write(
                            "HTTP/1.1 200 OK\r\nx-signed: 1\r\nContent-Length: 900000\r\nx-id: "
                                    + request.id()
                                    + "\r\n\r\n"
                                    + "x".repeat(600_000));
                    Thread.sleep(20);
                    if (reset) {
                        connection.reset();
                    } else {
                        connection.socket().close();
                    }
                });
        try (RawCaller caller = sInstance.caller()) {
            RawCaller.Response response = caller.call("/safe/a", "long-" + reset);

            assertThat(response.complete()).isFalse();
            assertThat(executions.get()).as("a second body can't follow").isEqualTo(1);
        }
    }

    /** An answer may have no length and end with its connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void anAnswerThatEndsWithItsConnectionIsComplete(String version) throws Exception {
        script(
                (request, connection) -> {
                    connection.write(
                            version
                                    + " 200 OK\r\nx-signed: 1\r\nx-id: "
                                    + request.id()
                                    + "\r\n\r\nwhole");
                    connection.socket().close();
                });
        try (RawCaller caller = sInstance.caller()) {
            RawCaller.Response response = caller.call("/unsafe/a", "unframed" + version);

            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("whole");
            assertThat(response.complete()).isTrue();
        }
    }

    /** The engine is the only one, so that no other one can continue. */
    @ParameterizedTest
    @EnumSource(StreamBreak.class)
    void aStreamThatBreaksOffForGoodIsNotComplete(StreamBreak broken) throws Exception {
        sWriter.script(
                (request, connection) -> {
                    connection.write(ScriptedUpstream.streamHead(request) + broken.mEvents);
                    Thread.sleep(10);
                    if (broken.mReset) {
                        connection.reset();
                    } else {
                        connection.socket().close();
                    }
                });
        try (RawCaller caller = sInstance.caller()) {
            RawCaller.Response response = caller.call("/stream/a", "stream-" + broken);

            boolean refused = response.status() >= 500;
            assertThat(refused || !response.complete()).isTrue();
            assertThat(response.body()).doesNotContain("id: 2");
        }
    }

    /** The attempts that follow may fail in each way; nothing of them may show in the stream. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 Failed\r\nx-signed: 1\r\nContent-Length: 5\r\nx-id: %s\r\n\r\noops!",
                "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\nx-id: %s\r\n\r\n",
                "HTTP/1.1 200 OK\r\nx-signed: 1\r\nContent-Length: 5\r\nx-id: %s\r\n\r\nplain",
                "noise without end",
                ""
            })
    void anErrorAfterTheBeginOfAStreamIsNotPartOfIt(String next) throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        sWriter.script(
                (request, connection) -> {
                    if (request.id().isEmpty()) {
                        // The check of an engine after the losses of a test before is no attempt.
                        connection.write(ScriptedUpstream.success(request, "alive"));
                        return;
                    }
                    if (attempts.incrementAndGet() == 1) {
                        connection.write(ScriptedUpstream.streamHead(request));
                        connection.write("id: 1\ndata: a\n\n");
                        Thread.sleep(10);
                        connection.reset();
                        return;
                    }
                    connection.write(next.formatted(request.id()));
                    connection.socket().close();
                });
        try (RawCaller caller = sInstance.caller()) {
            RawCaller.Response response = caller.call("/stream/a", "error-" + next.hashCode());

            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("id: 1\ndata: a\n\n");
            assertThat(response.complete()).isFalse();
        }
    }

    @Test
    void aStreamThatAnotherAttemptContinuesIsWhole() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        sWriter.script(
                (request, connection) -> {
                    if (request.id().isEmpty()) {
                        connection.write(ScriptedUpstream.success(request, "alive"));
                        return;
                    }
                    connection.write(ScriptedUpstream.streamHead(request));
                    int last = Integer.parseInt(request.headers().getOrDefault("x-last", "0"));
                    for (int event = last + 1; event <= 6; event++) {
                        connection.write("id: " + event + "\ndata: x\n\n");
                        if (event == 3 && attempts.incrementAndGet() == 1) {
                            connection.reset();
                            return;
                        }
                    }
                    connection.socket().close();
                });
        try (RawCaller caller = sInstance.caller()) {
            RawCaller.Response response = caller.call("/stream/a", "continued");

            StringBuilder whole = new StringBuilder();
            for (int event = 1; event <= 6; event++) {
                whole.append("id: ").append(event).append("\ndata: x\n\n");
            }
            assertThat(response.body()).isEqualTo(whole.toString());
            assertThat(response.complete()).isTrue();
        }
    }
}
