package org.gentianwalk.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gentianwalk.core.time.ManualTicker;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a response whose head is cut and that is delivered with the headers received so
 * far. Each cut point is tried on a socket.
 */
class CutHeadTest {
    private static final int LIMIT_SECONDS = 10;

    private static final EventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static ServerSocket sServer;

    @BeforeAll
    static void listen() throws Exception {
        sServer = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    }

    @AfterAll
    static void close() throws Exception {
        sServer.close();
        GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    static Stream<Arguments> heads() {
        List<Arguments> heads = new ArrayList<>();
        for (String version : List.of("HTTP/1.1", "HTTP/1.0")) {
            for (String earlier : List.of("", "HTTP/1.1 100 Continue\r\n\r\n")) {
                // The framing is the last header, so that all others arrive before some cuts.
                for (String framing : List.of("Content-Length: 512", "Connection: close")) {
                    for (boolean reset : new boolean[] {false, true}) {
                        heads.add(Arguments.of(version, earlier, framing, reset));
                    }
                }
            }
        }
        return heads.stream();
    }

    @ParameterizedTest
    @MethodSource("heads")
    void aCutHeadIsABrokenResponse(String version, String earlier, String framing, boolean reset)
            throws Exception {
        String head =
                version
                        + " 200 OK\r\nx-id: one\r\nx-signed: 1\r\nx-events: 1\r\n"
                        + framing
                        + "\r\n\r\n";
        for (int cut = 0; cut < head.length(); cut++) {
            String end = respond(earlier + head.substring(0, cut), reset);

            assertThat(end).as("cut after byte %d", cut).isEqualTo("BROKEN");
        }
    }

    /** Sends a request and returns its end after a response of these bytes. */
    private static String respond(String bytes, boolean reset) throws Exception {
        CompletableFuture<String> end = new CompletableFuture<>();
        UpstreamClient client = new UpstreamClient(GROUP, new PlainDialect(), new ManualTicker());
        UpstreamRequest request =
                new UpstreamRequest(
                        HttpMethod.GET, "/a", DefaultHttpHeaders::new, new byte[0], "one", false);
        String address = "127.0.0.1:" + sServer.getLocalPort();
        GROUP.execute(() -> client.send(address, request, new EndListener(end)));
        try (Socket upstream = sServer.accept()) {
            upstream.getInputStream().readNBytes("GET /a HTTP/1.1\r\n\r\n".length());
            upstream.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            if (reset) {
                upstream.setSoLinger(true, 0);
            }
        }
        return end.get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Reports the first sign of a response or its failure. */
    private record EndListener(CompletableFuture<String> end) implements UpstreamListener {
        @Override
        public void onHead(ResponseHead head, HttpHeaders headers) {
            end.complete("a head with " + headers);
        }

        @Override
        public void onBody(byte[] part) {
            end.complete("a body");
        }

        @Override
        public void onComplete() {
            end.complete("complete");
        }

        @Override
        public void onFailure(Failure failure, String cause) {
            end.complete(failure.name());
        }
    }
}
