package org.gentianwalk.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses with a status that no response may have: the JDK's client passes on 600
 * to 999, and a write that may have taken effect would count as answered.
 */
class ResponseStatusTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private ServerSocket mServer;
    private PlatformHttp mHttp;
    private volatile String mStatusLine = "";

    @BeforeEach
    void start() throws IOException {
        mServer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::serve);
        URI uri = URI.create("http://127.0.0.1:" + mServer.getLocalPort());
        mHttp =
                new PlatformHttp(
                        new PlatformHttp.Options(uri, TIMEOUT, TIMEOUT), new MetricRegistry());
    }

    @AfterEach
    void stop() throws IOException {
        mHttp.close();
        mServer.close();
    }

    private void serve() {
        while (!mServer.isClosed()) {
            try (Socket socket = mServer.accept()) {
                InputStream input = socket.getInputStream();
                for (int matched = 0; matched < 4; ) {
                    matched = input.read() == "\r\n\r\n".charAt(matched) ? matched + 1 : 0;
                }
                String response = "HTTP/1.1 " + mStatusLine + "\r\nContent-Length: 2\r\n\r\n{}";
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The client or the test has ended the connection.
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 Odd",
                "001 Odd",
                "099 Odd",
                "600 Odd",
                "700 Odd",
                "999 Odd",
                "206 Part",
                "101 Switching Protocols"
            })
    void anInvalidStatusIsNoAnswer(String statusLine) {
        mStatusLine = statusLine;
        HttpRequest request = mHttp.request("/a").POST(HttpRequest.BodyPublishers.noBody()).build();

        assertThat(mHttp.write(request)).isInstanceOf(PlatformHttp.Exchange.Unanswered.class);
    }

    @ParameterizedTest
    @CsvSource({"200", "299", "404", "599"})
    void aValidStatusIsAnAnswer(int status) {
        mStatusLine = status + " Text";
        HttpRequest request = mHttp.request("/a").POST(HttpRequest.BodyPublishers.noBody()).build();

        assertThat(mHttp.write(request))
                .isInstanceOfSatisfying(
                        PlatformHttp.Exchange.Answered.class,
                        answered -> assertThat(answered.response().statusCode()).isEqualTo(status));
    }
}
