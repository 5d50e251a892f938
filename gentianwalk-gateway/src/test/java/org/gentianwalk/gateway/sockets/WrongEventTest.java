package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.route.RequestKind;
import org.gentianwalk.core.route.Route;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that an engine did not generate, or that are numbered wrongly. */
class WrongEventTest {
    private static final int EVENTS = 12;

    private final AtomicInteger mRuns = new AtomicInteger();
    private GatewayFleet mFleet;
    private GatewayFleet.Instance mInstance;
    private ScriptedUpstream mFirst;
    private ScriptedUpstream mSecond;

    /** Number of runs whose stream has wrong bytes. */
    private int mWrongRuns = 1;

    @BeforeEach
    void start() throws Exception {
        mFleet = new GatewayFleet();
        mFleet.configure(
                List.of(
                        route("stream", RequestKind.RESUMABLE_STREAM),
                        route("single", RequestKind.SINGLE_STREAM)),
                List.of(GatewayFleet.engineService(GatewayFleet.WRITER)),
                GatewayFleet.LIMITS,
                Map.of());
        mFirst = new ScriptedUpstream("w1", (request, connection) -> {});
        mSecond = new ScriptedUpstream("w2", (request, connection) -> {});
        mFleet.list(mFirst.entry(GatewayFleet.WRITER, "a"));
        mFleet.list(mSecond.entry(GatewayFleet.WRITER, "a"));
        mInstance = mFleet.start("i1", "a", Duration.ofSeconds(8));
    }

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
        mFirst.close();
        mSecond.close();
    }

    private void script(ScriptedUpstream.Script script) {
        mFirst.script(script);
        mSecond.script(script);
    }

    @ParameterizedTest
    @EnumSource(WrongEvent.class)
    void aWrongEventWithinAStreamIsNotForwarded(WrongEvent wrong) throws Exception {
        script((request, connection) -> stream(request, connection, wrong.bytes(6), 6, false));

        assertWholeStream(2);
    }

    @ParameterizedTest
    @EnumSource(WrongEvent.class)
    void aWrongEventAtTheStartOfAStreamIsNotForwarded(WrongEvent wrong) throws Exception {
        script((request, connection) -> stream(request, connection, wrong.bytes(1), 1, false));

        assertWholeStream(2);
    }

    @ParameterizedTest
    @EnumSource(WrongEvent.class)
    void aWrongEventThatEndsAStreamDoesNotCompleteIt(WrongEvent wrong) throws Exception {
        script((request, connection) -> stream(request, connection, wrong.bytes(6), 6, true));

        assertWholeStream(2);
    }

    /** The rest of an event that was cut must not be joined with the next response. */
    @ParameterizedTest
    @EnumSource(CutEvent.class)
    void aCutEventIsNotJoinedWithTheNextResponse(CutEvent cut) throws Exception {
        script(
                (request, connection) -> {
                    if (request.id().isEmpty()) {
                        connection.write(ScriptedUpstream.success(request, "alive"));
                        return;
                    }
                    connection.write(ScriptedUpstream.streamHead(request));
                    int last = Integer.parseInt(request.headers().getOrDefault("x-last", "0"));
                    if (mRuns.incrementAndGet() == 1) {
                        connection.write(events(last + 1, 5) + cut.mBytes);
                        Thread.sleep(10);
                        if (cut.mReset) {
                            connection.reset();
                            return;
                        }
                    } else {
                        connection.write("\n\r\n" + events(last + 1, EVENTS));
                    }
                    connection.socket().close();
                });

        assertWholeStream(2);
    }

    /** How an event is cut. */
    private enum CutEvent {
        IN_DATA("id: 6\ndata: wro", false),
        IN_DATA_RESET("id: 6\ndata: wro", true),
        BEFORE_EMPTY_LINE("data: wrong\n", false),
        BEFORE_EMPTY_LINE_RESET("data: wrong\n", true),
        AFTER_CARRIAGE_RETURN("data: wrong\n\r", true);

        private final String mBytes;
        private final boolean mReset;

        CutEvent(String bytes, boolean reset) {
            mBytes = bytes;
            mReset = reset;
        }
    }

    /** A sound request must not be stopped because two engines in a row garble its stream. */
    @Test
    void aSoundEngineFollowsTwoThatSendWrongEvents() throws Exception {
        try (ScriptedUpstream third = new ScriptedUpstream("w3", (request, connection) -> {})) {
            mFleet.list(third.entry(GatewayFleet.WRITER, "a"));
            mWrongRuns = 2;
            ScriptedUpstream.Script script =
                    (request, connection) ->
                            stream(request, connection, "data: wrong\n\n", 1, false);
            script(script);
            third.script(script);

            assertWholeStream(3);
            assertWholeStream(4);
        }
    }

    /** A body of another type has no events that could be checked, and can't be resumed. */
    @ParameterizedTest
    @ValueSource(ints = {5, 300_000})
    void aSuccessThatIsNoStreamIsNotAnAnswerOfAResumableStream(int length) throws Exception {
        script(
                (request, connection) -> {
                    if (mRuns.get() == 0 && !request.id().isEmpty()) {
                        mRuns.incrementAndGet();
                        connection.write(ScriptedUpstream.success(request, "x".repeat(length)));
                    } else {
                        stream(request, connection, "", 1, false);
                    }
                });

        assertWholeStream(2);
    }

    /** Keep-alive comments and a retry time are for this connection, and hold no event. */
    @Test
    void blocksWithoutAnEventAreNotForwarded() throws Exception {
        script(
                (request, connection) ->
                        stream(request, connection, ": alive\n\nretry: 100\n\n", 6, false));

        assertWholeStream(1);
    }

    /** A caller must get all events in any form of the format, each of them once. */
    @Test
    void eventsMayEndWithAnyLineEndAndHaveFurtherFields() throws Exception {
        String body =
                "\u00ef\u00bb\u00bfid: 1\ndata: x\n\n"
                        + "id:2\rdata: x\r\r"
                        + "id: 3\r\ndata: x\r\n\r\n"
                        + "weights: 7\nid: 4\nevent: token\n:comment\n"
                        + "data: x\ndata: y\nretry: 9\n\n";
        script(
                (request, connection) -> {
                    connection.write(ScriptedUpstream.streamHead(request) + body);
                    mRuns.incrementAndGet();
                    connection.socket().close();
                });
        try (RawCaller caller = mInstance.caller()) {
            RawCaller.Response response = caller.call("/stream/a", "forms");

            assertThat(response.body()).isEqualTo(body.substring(3));
            assertThat(response.complete()).isTrue();
            assertThat(mRuns).hasValue(1);
        }
    }

    /** A stream that can't be resumed may have no numbers at all. */
    @Test
    void aStreamWithoutNumbersIsForwarded() throws Exception {
        String body = "data: a\n\ndata: b\n\ndata: [DONE]\n\n";
        script(
                (request, connection) -> {
                    connection.write(ScriptedUpstream.streamHead(request) + body);
                    connection.socket().close();
                });
        try (RawCaller caller = mInstance.caller()) {
            RawCaller.Response response = caller.call("/single/a", "unnumbered");

            assertThat(response.body()).isEqualTo(body);
            assertThat(response.complete()).isTrue();
        }
    }

    /** It can't be continued, so that the caller has to see that it is not complete. */
    @ParameterizedTest
    @EnumSource(WrongEvent.class)
    void aWrongEventBreaksOffANumberedStreamThatCannotBeResumed(WrongEvent wrong) throws Exception {
        script((request, connection) -> stream(request, connection, wrong.bytes(6), 6, false));
        try (RawCaller caller = mInstance.caller()) {
            RawCaller.Response response = caller.call("/single/a", "single-" + wrong);

            assertThat(response.body()).isEqualTo(events(1, 5));
            assertThat(response.complete()).isFalse();
            assertThat(mRuns).hasValue(1);
        }
    }

    private static Route route(String name, RequestKind kind) {
        return GatewayFleet.route(name, kind, Duration.ofSeconds(4), GatewayFleet.WRITER);
    }

    /** Streams all events after the last one; the first runs have wrong bytes before an event. */
    private void stream(
            ScriptedUpstream.Request request,
            ScriptedUpstream.Connection connection,
            String wrong,
            int before,
            boolean ends)
            throws Exception {
        if (request.id().isEmpty()) {
            connection.write(ScriptedUpstream.success(request, "alive"));
            return;
        }
        int last = Integer.parseInt(request.headers().getOrDefault("x-last", "0"));
        connection.write(ScriptedUpstream.streamHead(request));
        if (mRuns.incrementAndGet() <= mWrongRuns) {
            connection.write(events(last + 1, before - 1) + wrong);
            if (!ends) {
                connection.write(events(before, EVENTS));
            }
        } else {
            connection.write(events(last + 1, EVENTS));
        }
        connection.socket().close();
    }

    private void assertWholeStream(int runs) throws Exception {
        try (RawCaller caller = mInstance.caller()) {
            RawCaller.Response response = caller.call("/stream/a", "stream-" + runs);

            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo(events(1, EVENTS));
            assertThat(response.complete()).isTrue();
            assertThat(mRuns).hasValue(runs);
        }
    }

    private static String events(int from, int to) {
        StringBuilder events = new StringBuilder();
        for (int event = from; event <= to; event++) {
            events.append("id: ").append(event).append("\ndata: x\n\n");
        }
        return events.toString();
    }
}
