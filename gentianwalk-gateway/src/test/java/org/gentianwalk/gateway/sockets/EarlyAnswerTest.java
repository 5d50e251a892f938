package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.gentianwalk.core.route.CallerLimits;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against answers that look complete since the upstream ended the connection without having
 * read the request, and against statuses that no response may have.
 */
class EarlyAnswerTest {
    private static final int LONG_UPLOAD = 4 << 20;
    private static final List<Integer> UPLOADS = List.of(0, 10, 64 << 10, LONG_UPLOAD);

    private static GatewayFleet sFleet;
    private static GatewayFleet.Instance sInstance;
    private static ScriptedUpstream sFirst;
    private static ScriptedUpstream sSecond;

    /** How an upstream ends a connection whose request it has not read. */
    private enum End {
        CLOSE {
            @Override
            void apply(ScriptedUpstream.Connection connection) throws IOException {
                connection.socket().close();
            }
        },
        END_OUTPUT_THEN_CLOSE {
            @Override
            void apply(ScriptedUpstream.Connection connection) throws Exception {
                connection.socket().shutdownOutput();
                Thread.sleep(20);
                connection.socket().close();
            }
        };

        abstract void apply(ScriptedUpstream.Connection connection) throws Exception;
    }

    @BeforeAll
    static void start() throws Exception {
        sFleet = new GatewayFleet();
        Duration limit = Duration.ofSeconds(4);
        sFleet.configure(
                List.of(
                        GatewayFleet.route(
                                "safe", RequestKind.IDEMPOTENT_CALL, limit, GatewayFleet.DESK),
                        GatewayFleet.route(
                                "unsafe", RequestKind.SINGLE_CALL, limit, GatewayFleet.DESK)),
                List.of(GatewayFleet.plainService(GatewayFleet.DESK)),
                CallerLimits.UNCONFIGURED,
                Map.of());
        sFirst = new ScriptedUpstream("u1", EarlyAnswerTest::respond);
        sSecond = new ScriptedUpstream("u2", EarlyAnswerTest::respond);
        sFleet.list(sFirst.entry(GatewayFleet.DESK, "a"));
        sFleet.list(sSecond.entry(GatewayFleet.DESK, "a"));
        sInstance = sFleet.start("i1", "a", Duration.ofSeconds(8));
    }

    @AfterAll
    static void stop() throws Exception {
        sFleet.close();
        sFirst.close();
        sSecond.close();
    }

    private static void respond(
            ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
            throws IOException {
        connection.write(ScriptedUpstream.success(request, "alive"));
    }

    private static void script(
            ScriptedUpstream upstream, boolean readsBody, ScriptedUpstream.Script script) {
        upstream.readsBodies(readsBody);
        upstream.script(
                (request, connection) -> {
                    if (request.id().isEmpty()) {
                        respond(request, connection);
                    } else {
                        script.respond(request, connection);
                    }
                });
    }

    /**
     * One upstream sends a part of its answer, then ends the connection; the other one is sound.
     */
    @ParameterizedTest
    @CsvSource({
        "/unsafe/a, CLOSE", "/unsafe/a, END_OUTPUT_THEN_CLOSE",
        "/safe/a, CLOSE", "/safe/a, END_OUTPUT_THEN_CLOSE"
    })
    void aPartOfAnAnswerToAnUnreadUploadIsNotTheAnswer(String target, End end) throws Exception {
        for (int i = 0; i < 5; i++) {
            String id = target + end + i;
            ScriptedUpstream.Script part =
                    (request, connection) -> {
                        connection.write(head(request, 200, "") + "part");
                        Thread.sleep(20);
                        end.apply(connection);
                        throw new IOException("the connection has ended");
                    };
            boolean first = i % 2 == 0;
            script(first ? sFirst : sSecond, false, part);
            script(first ? sSecond : sFirst, !target.startsWith("/unsafe"), part(target, part));
            RawCaller.Response response = call(target, id, LONG_UPLOAD);

            assertThat(response.complete()).as(id).isTrue();
            if (target.startsWith("/unsafe")) {
                assertThat(response.status()).as(id).isEqualTo(502);
                assertThat(received(id)).as("a call that may have run is not sent again").isOne();
            } else {
                assertThat(response.body()).as(id).isEqualTo("alive");
            }
        }
    }

    private static ScriptedUpstream.Script part(String target, ScriptedUpstream.Script part) {
        return target.startsWith("/unsafe") ? part : EarlyAnswerTest::respond;
    }

    /** The upstream tells why it does not read on; without that the caller can't know. */
    @ParameterizedTest
    @CsvSource({"413, 4194304", "413, 65536", "500, 4194304"})
    void anErrorWithALengthBeforeTheUploadIsWrittenReachesTheCaller(int status, int length)
            throws Exception {
        for (ScriptedUpstream upstream : List.of(sFirst, sSecond)) {
            script(
                    upstream,
                    false,
                    (request, connection) -> {
                        connection.write(head(request, status, "Content-Length: 4\r\n") + "why?");
                        connection.socket().close();
                    });
        }
        for (int i = 0; i < 5; i++) {
            RawCaller.Response response = call("/unsafe/a", "early-" + status + length + i, length);

            assertThat(response.status()).isEqualTo(status);
            assertThat(response.body()).isEqualTo("why?");
        }
    }

    private static Stream<Arguments> invalidStatuses() {
        return Stream.of(0, 1, 99, 600, 700, 999)
                .flatMap(status -> UPLOADS.stream().map(length -> Arguments.of(status, length)));
    }

    @ParameterizedTest
    @MethodSource("invalidStatuses")
    void anInvalidStatusIsNoAnswer(int status, int length) throws Exception {
        for (String target : List.of("/unsafe/a", "/safe/a")) {
            String id = target + status + "-" + length;
            ScriptedUpstream.Script invalid =
                    (request, connection) ->
                            connection.write(
                                    head(request, status, "Content-Length: 5\r\n") + "wrong");
            script(sFirst, true, invalid);
            script(sSecond, true, part(target, invalid));
            RawCaller.Response response = call(target, id, length);

            if (target.startsWith("/unsafe")) {
                assertThat(response.status()).as(id).isEqualTo(502);
                assertThat(received(id)).as("a call that may have run is not sent again").isOne();
            } else {
                assertThat(response.body()).as(id).isEqualTo("alive");
            }
        }
    }

    private static String head(ScriptedUpstream.Request request, int status, String framing) {
        return "HTTP/1.1 %03d Text\r\nx-id: %s\r\nx-signed: 1\r\n%s\r\n"
                .formatted(status, request.id(), framing);
    }

    private static int received(String id) {
        return (int)
                Stream.of(sFirst, sSecond)
                        .flatMap(upstream -> upstream.received().stream())
                        .filter(id::equals)
                        .count();
    }

    private static RawCaller.Response call(String target, String id, int length) throws Exception {
        try (RawCaller caller = sInstance.caller()) {
            caller.write(
                    "POST %s HTTP/1.1\r\nHost: host\r\nx-id: %s\r\nContent-Length: %d\r\n\r\n"
                            .formatted(target, id, length));
            caller.write("u".repeat(length));
            return caller.read();
        }
    }
}
