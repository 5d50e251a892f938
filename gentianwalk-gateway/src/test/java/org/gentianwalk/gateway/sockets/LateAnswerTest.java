package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against callers that get the answer to another request, and against requests reported as
 * not executed that an upstream has executed. An upstream writes an additional answer on a kept
 * connection, at different moments and in different forms.
 */
class LateAnswerTest {
    private static final int CALLS = 12;

    private static GatewayFleet sFleet;
    private static GatewayFleet.Instance sInstance;
    private static ScriptedUpstream sUpstream;

    /** Form of the additional answer. */
    private enum Form {
        /** A copy of the answer to the request before. */
        OLDER_SUCCESS,
        /** A refusal of the request before. */
        OLDER_REFUSAL,
        /** A copy of the answer to the same request. */
        SAME,
        /** A success that names no request. */
        ANONYMOUS_SUCCESS,
        /** A refusal that names no request. */
        ANONYMOUS_REFUSAL,
        /** The first half of an older answer; the rest never comes. */
        CUT,
        /** An interim answer. */
        INTERIM,
        /** Bytes that are no answer. */
        NOISE
    }

    /** When the additional answer is written. */
    private enum Moment {
        /** In the same write, after the right answer. */
        TOGETHER,
        /** While the connection is idle. */
        IDLE,
        /** After the next request was read, before its answer. */
        BEFORE_NEXT
    }

    @BeforeAll
    static void start() throws Exception {
        sFleet = new GatewayFleet();
        sUpstream = new ScriptedUpstream("u1", (request, connection) -> {});
        sFleet.list(sUpstream.entry(GatewayFleet.DESK, "a"));
        sInstance = sFleet.start("i1", "a", Duration.ofSeconds(8));
    }

    @AfterAll
    static void stop() throws Exception {
        sFleet.close();
        sUpstream.close();
    }

    static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (Form form : Form.values()) {
            for (Moment moment : Moment.values()) {
                for (String route : List.of("/safe/", "/unsafe/")) {
                    cases.add(Arguments.of(form, moment, route));
                }
            }
        }
        return cases.stream();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void everyCallerGetsItsOwnAnswer(Form form, Moment moment, String route) throws Exception {
        List<String> executed = new ArrayList<>();
        String run = form + "-" + moment + route.replace('/', '-');
        sUpstream.script(script(form, moment, executed));
        int served = 0;
        try (RawCaller caller = sInstance.caller()) {
            for (int i = 0; i < CALLS; i++) {
                String id = run + i;
                RawCaller.Response response = caller.call(route + "a", id);
                assertThat(response).as("response to %s", id).isNotNull();
                assertThat(response.complete()).isTrue();
                if (response.status() == 200) {
                    served++;
                    assertThat(response.body()).isEqualTo("answer to " + id);
                } else if (response.status() == 503) {
                    assertThat(executed).as("executed, but refused").doesNotContain(id);
                } else {
                    assertThat(response.status()).as("status of %s", id).isEqualTo(502);
                }
                if (moment == Moment.IDLE) {
                    Thread.sleep(15);
                }
            }
        }
        assertThat(served).as("calls served").isGreaterThanOrEqualTo(CALLS / 2);
        if (route.equals("/unsafe/")) {
            assertThat(executed).doesNotHaveDuplicates();
        }
    }

    private static ScriptedUpstream.Script script(Form form, Moment moment, List<String> executed) {
        return (request, connection) -> {
            String before;
            synchronized (executed) {
                before = executed.isEmpty() ? "none" : executed.getLast();
                executed.add(request.id());
            }
            String own = ScriptedUpstream.success(request, "answer to " + request.id());
            // An upstream in trouble writes too much now and then, not with each answer.
            boolean odd = executed.size() % 3 == 1;
            String extra = odd ? extra(form, before, request) : "";
            if (moment == Moment.BEFORE_NEXT) {
                connection.write(extra);
                Thread.sleep(2);
                connection.write(own);
            } else if (moment == Moment.TOGETHER) {
                connection.write(own + extra);
            } else {
                connection.write(own);
                Thread.sleep(5);
                connection.write(extra);
            }
        };
    }

    private static String extra(Form form, String before, ScriptedUpstream.Request request) {
        String head = "HTTP/1.1 200 OK\r\nx-signed: 1\r\nContent-Length: 8\r\n";
        String refusal = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n";
        return switch (form) {
            case OLDER_SUCCESS -> head + "x-id: " + before + "\r\n\r\nintruder";
            case OLDER_REFUSAL -> refusal + "x-id: " + before + "\r\n\r\n";
            case SAME -> ScriptedUpstream.success(request, "answer to " + request.id());
            case ANONYMOUS_SUCCESS -> head + "\r\nintruder";
            case ANONYMOUS_REFUSAL -> refusal + "\r\n";
            case CUT -> refusal + "x-id: " + before;
            case INTERIM -> "HTTP/1.1 102 Processing\r\n\r\n";
            case NOISE -> "\u0001\u0002noise";
        };
    }

    /** An upstream may send answers to other requests without end, instead of the awaited one. */
    @Test
    void answersToOtherRequestsAreSkippedForABoundedTime() throws Exception {
        sUpstream.script(
                (request, connection) -> {
                    while (true) {
                        connection.write(
                                "HTTP/1.1 200 OK\r\nx-id: other\r\nContent-Length: 3\r\n\r\nabc");
                    }
                });
        try (RawCaller caller = sInstance.caller()) {
            RawCaller.Response response = caller.call("/unsafe/a", "awaited");

            assertThat(response.status()).isEqualTo(502);
            assertThat(response.took()).isLessThan(Duration.ofSeconds(2));
        }
    }
}
