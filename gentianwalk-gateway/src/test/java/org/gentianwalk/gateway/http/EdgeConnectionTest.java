package org.gentianwalk.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gentianwalk.core.route.CallerLimits;
import org.gentianwalk.core.time.ManualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against request smuggling, malformed requests and leaked connections. */
class EdgeConnectionTest {
    private static final CallerLimits LIMITS =
            new CallerLimits(1024, 2048, Duration.ofSeconds(3), Duration.ofSeconds(15));

    private final ManualTicker mTicker = new ManualTicker();
    private final List<CallerRequest> mRequests = new ArrayList<>();
    private final List<CallerChannel> mChannels = new ArrayList<>();
    private int mDisconnects;
    private boolean mStopping;
    private EdgeConnection mConnection;
    private EmbeddedChannel mChannel;

    @BeforeEach
    void connect() {
        RequestHandler handler =
                (request, channel) -> {
                    if (request.target().equals("/fails")) {
                        throw new IllegalStateException("the request can't be handled");
                    }
                    mRequests.add(request);
                    mChannels.add(channel);
                    return new RequestHandler.CallerListener() {
                        @Override
                        public void callerDisconnected() {
                            mDisconnects++;
                        }

                        @Override
                        public void writabilityChanged() {}

                        @Override
                        public void instanceEnds() {}
                    };
                };
        mConnection =
                new EdgeConnection(
                        new EdgeOptions(new PlainDialect(), () -> LIMITS, () -> mStopping, mTicker),
                        handler);
        mChannel = new EmbeddedChannel(new EdgeServer.ArrivalMonitor(mConnection));
        CallerCodec.addTo(mChannel.pipeline(), 1024, mConnection::isHeadRequest);
        mChannel.pipeline().addLast(mConnection);
        mConnection.channelActive(mChannel.pipeline().lastContext());
    }

    static Stream<String> rejectedInputs() {
        return Stream.of(
                "two-lengths", "length-and-coding", "unknown-coding", "no-http", "bad-chunk");
    }

    @ParameterizedTest
    @MethodSource("rejectedInputs")
    void ambiguousOrMalformedFramingIsRefusedAndTheConnectionClosed(String name)
            throws IOException {
        send(input(name));

        assertThat(mRequests).isEmpty();
        assertThat(written()).startsWith("HTTP/1.1 400 ");
        mTicker.advance(Duration.ofSeconds(1));
        mChannel.advanceTimeBy(1, TimeUnit.SECONDS);
        mChannel.runScheduledPendingTasks();
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void aRequestSmuggledInARejectedOneIsNotHandled() throws IOException {
        send(input("smuggled"));

        assertThat(mRequests).isEmpty();
    }

    @Test
    void aChunkedBodyIsAssembled() throws IOException {
        send(input("chunked"));

        assertThat(mRequests).hasSize(1);
        assertThat(new String(mRequests.getFirst().body(), StandardCharsets.UTF_8))
                .isEqualTo("hello world");
    }

    @Test
    void hopByHopHeadersAreNotForwarded() throws IOException {
        send(input("hop-headers"));

        assertThat(mRequests.getFirst().headers().names()).containsExactlyInAnyOrder("Host", "X-A");
    }

    @Test
    void aBodyBeyondTheLimitIsRefused() {
        send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");

        assertThat(written()).startsWith("HTTP/1.1 413 ");
        assertThat(mRequests).isEmpty();
    }

    @Test
    void longHeadersAreRefused() {
        send("GET /a HTTP/1.1\r\nHost: h\r\nX-Long: " + "x".repeat(3000) + "\r\n\r\n");

        assertThat(written()).startsWith("HTTP/1.1 431 ");
    }

    @Test
    void anIncompleteRequestIsRejectedAfterTheHeaderTimeout() {
        send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe");
        elapse(Duration.ofMillis(3_100));

        assertThat(written()).startsWith("HTTP/1.1 408 ");
        assertThat(mRequests).isEmpty();
    }

    @Test
    void anIdleConnectionIsClosedAfterTheIdleTimeout() {
        send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        mChannels.getFirst().respond(200, new DefaultHttpHeaders(), new byte[0]);
        elapse(Duration.ofSeconds(14));
        assertThat(mChannel.isOpen()).isTrue();
        elapse(Duration.ofSeconds(2));
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void aPipelinedRequestWaitsForThePreviousResponse() {
        send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        assertThat(mRequests).extracting(CallerRequest::target).containsExactly("/a");

        mChannels.getFirst().respond(200, new DefaultHttpHeaders(), new byte[0]);

        assertThat(mRequests).extracting(CallerRequest::target).containsExactly("/a", "/b");
    }

    @Test
    void aDisconnectIsReportedWhileNothingIsWritten() {
        send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");

        mChannel.close();

        assertThat(mDisconnects).isEqualTo(1);
    }

    @Test
    void anAbortedResponseDoesNotLookComplete() {
        send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        CallerChannel channel = mChannels.getFirst();
        channel.writeHead(200, new DefaultHttpHeaders());
        channel.write("part".getBytes(StandardCharsets.UTF_8));
        channel.abort();

        assertThat(written()).contains("transfer-encoding: chunked").doesNotContain("0\r\n\r\n");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void onlyTheFirstResponseIsWritten() {
        send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        CallerChannel channel = mChannels.getFirst();
        channel.respond(200, new DefaultHttpHeaders(), new byte[0]);
        channel.respond(503, "late", null);

        assertThat(written()).startsWith("HTTP/1.1 200 ").doesNotContain("503");
    }

    @Test
    void responsesCloseTheirConnectionsWhileStopping() {
        send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        mStopping = true;
        mChannels.getFirst().respond(200, new DefaultHttpHeaders(), new byte[0]);

        assertThat(written()).contains("connection: close");
        // Input is read for a time, so that a reset does not drop the response.
        elapse(Duration.ofMillis(600));
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void aConnectionWithARequestIsNotClosedAsIdle() {
        send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        mConnection.closeIfIdle();
        assertThat(mChannel.isOpen()).isTrue();
    }

    @Test
    void theResponseToAHeadRequestHasNoBody() {
        send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
        mChannels.getFirst().respond(200, new DefaultHttpHeaders(), new byte[] {'x'});

        assertThat(written()).contains("content-length: 1").endsWith("\r\n\r\n");
    }

    /** The connection would otherwise be closed without an answer. */
    @Test
    void aRequestThatCannotBeHandledIsAnswered() {
        send("GET /fails HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");

        assertThat(written()).startsWith("HTTP/1.1 500 ");
        assertThat(mRequests).extracting(CallerRequest::target).containsExactly("/b");
    }

    @Test
    void retryAfterIsGivenInFractionsOfASecond() {
        send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        mChannels.getFirst().respond(503, "full", Duration.ofMillis(250));

        assertThat(written()).contains("retry-after: 0.250");
    }

    private void elapse(Duration time) {
        mTicker.advance(time);
        mChannel.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }

    private void send(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private String written() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = mChannel.readOutbound(); part != null; part = mChannel.readOutbound()) {
            text.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        return text.toString();
    }

    /** Reads an input file; its lines end with line feeds, which are sent as CR LF. */
    private static String input(String name) throws IOException {
        try (InputStream in =
                EdgeConnectionTest.class.getResourceAsStream("/requests/" + name + ".http")) {
            String text = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            return text.replace("\n", "\r\n");
        }
    }
}
