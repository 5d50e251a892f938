package org.gentianwalk.server.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.ServingRules.Limits;
import org.gentianwalk.standin.engine.EngineOptions;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

/**
 * Guards against malformed requests that get a wrong error, reach an engine or affect other
 * requests.
 */
class BadInputTest {
    private static final int MAX_BODY = 64 << 10;
    private static final String LONG_MODEL = "m".repeat(2000);
    private static TestFleet sFleet;

    @BeforeAll
    static void start() throws Exception {
        Limits limits =
                new Limits(
                        MAX_BODY,
                        Duration.ofMillis(300),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(1));
        EngineOptions.Timing fast =
                new EngineOptions.Timing(Duration.ZERO, Duration.ofNanos(50_000), Duration.ZERO);
        sFleet =
                new TestFleet(
                        List.of(
                                TestFleet.slow("e1", 2),
                                EngineOptions.of("e2", LONG_MODEL).withTiming(fast)),
                        limits,
                        Map.of(),
                        parts -> parts);
    }

    @AfterAll
    static void stop() {
        sFleet.close();
    }

    @ParameterizedTest
    @CsvFileSource(resources = "/bad-input/cases.csv", delimiter = '|', numLinesToSkip = 1)
    void badRequestIsRefusedWithItsReason(
            String path, int status, String code, String parameter, String body) {
        long before = sFleet.engine(0).counts().started();
        HttpResponse<String> answer = sFleet.caller().post(path, body);
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
        JsonNode error = TestCaller.json(answer.body()).path("error");
        assertThat(error.path("code").asText()).isEqualTo(code);
        assertThat(error.path("param").asText("none")).isEqualTo(parameter);
        assertThat(error.path("message").asText()).isNotEmpty();
        assertThat(answer.headers().firstValue("Gentianwalk-Outcome")).contains("not-run");
        assertThat(sFleet.engine(0).counts().started()).isEqualTo(before);
    }

    @Test
    void badHeadersAreRefused() {
        String body = TestFleet.body("p", 1, 5, false);
        TestCaller caller = sFleet.caller();
        String path = "/v1/completions";
        assertThat(caller.post(path, body, "Gentianwalk-Kind", "secret").statusCode())
                .isEqualTo(403);
        assertThat(caller.post(path, body, "Gentianwalk-Deadline-Ms", "soon").statusCode())
                .isEqualTo(400);
        assertThat(caller.post(path, body, "Gentianwalk-Deadline-Ms", "-5").statusCode())
                .isEqualTo(400);
        assertThat(caller.post(path, body, "Last-Event-ID", "x.y").statusCode()).isEqualTo(400);
        assertThat(caller.post(path, body, "Idempotency-Key", "k".repeat(129)).statusCode())
                .isEqualTo(400);
        assertThat(caller.get(path).statusCode()).isEqualTo(405);
        assertThat(caller.get("/v1/nothing").statusCode()).isEqualTo(404);
    }

    @Test
    void largeBodyIsRefusedWhetherDeclaredOrNot() throws Exception {
        String large = TestFleet.body("x".repeat(MAX_BODY), 1, 5, false);
        HttpResponse<String> answer = sFleet.caller().post("/v1/completions", large);
        assertThat(answer.statusCode()).isEqualTo(413);
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(head("Transfer-Encoding: chunked").getBytes(StandardCharsets.US_ASCII));
            String chunk = Integer.toHexString(MAX_BODY + 1) + "\r\n" + "x".repeat(MAX_BODY + 1);
            socket.getOutputStream().write((chunk + "\r\n0\r\n\r\n").getBytes("US-ASCII"));
            assertThat(statusLine(socket)).contains(" 413 ");
        }
    }

    @Test
    void slowBodyIsRefusedAndOthersAreServed() throws Exception {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write((head("Content-Length: 100") + "{").getBytes("US-ASCII"));
            HttpResponse<String> other =
                    sFleet.caller().post("/v1/completions", TestFleet.body("p", 1, 5, false));
            assertThat(other.statusCode()).isEqualTo(200);
            assertThat(statusLine(socket)).contains(" 408 ");
        }
    }

    @Test
    void callerThatDoesNotReadIsDisconnected() throws Exception {
        // Long events make the answer exceed the socket buffers.
        String body =
                """
                {"model":"%s","prompt":"p","max_tokens":8192,"stream":true}
                """
                        .formatted(LONG_MODEL);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4096);
            socket.setSoTimeout(10_000);
            socket.connect(new InetSocketAddress(sFleet.uri().getHost(), sFleet.uri().getPort()));
            socket.getOutputStream()
                    .write((head("Content-Length: " + body.length()) + body).getBytes("US-ASCII"));
            TestFleet.await(
                    "the exchange is open",
                    Duration.ofSeconds(5),
                    () -> sFleet.instance().openExchanges() > 0);
            TestFleet.await(
                    "the exchange is closed",
                    Duration.ofSeconds(20),
                    () -> sFleet.instance().openExchanges() == 0);
            assertThat(readAll(socket)).contains("data: ").doesNotContain("[DONE]");
        }
    }

    private static String readAll(Socket socket) throws Exception {
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[65_536];
        try {
            InputStream input = socket.getInputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                text.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
            }
        } catch (SocketException e) {
            text.append(" connection reset");
        }
        return text.toString();
    }

    private static Socket connect() throws Exception {
        URI uri = sFleet.uri();
        Socket socket = new Socket(uri.getHost(), uri.getPort());
        socket.setSoTimeout(5000);
        return socket;
    }

    private static String head(String length) {
        return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + TestFleet.KEY
                + "\r\n"
                + length
                + "\r\n\r\n";
    }

    private static String statusLine(Socket socket) throws Exception {
        InputStream input = socket.getInputStream();
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next >= 0 && next != '\n'; next = input.read()) {
            line.append((char) next);
        }
        return line.toString();
    }
}
