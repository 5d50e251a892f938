package org.gentianwalk.server.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.UpstreamInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response with an invalid status that is taken for the answer to a call. */
class ServiceClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "999"})
    void aCallWithAnInvalidStatusHasAnUnknownOutcome(String status) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServiceClient client = new ServiceClient()) {
            Thread.ofVirtual().start(() -> respond(server, status));
            UpstreamInfo upstream =
                    new UpstreamInfo(
                            "s1",
                            URI.create("http://127.0.0.1:" + server.getLocalPort()),
                            new Location("r1", "r1-a"),
                            Set.of(),
                            1,
                            1,
                            1,
                            Set.of());

            assertThat(client.lookup(upstream, "/calls", "key", TIMEOUT))
                    .isInstanceOf(SendResult.Unknown.class);
        }
    }

    private static void respond(ServerSocket server, String status) {
        while (!server.isClosed()) {
            // The JDK's client may send a GET again after a broken connection.
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[4_096]);
                String response = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nhi";
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                socket.shutdownOutput();
                socket.getInputStream().read();
            } catch (java.io.IOException e) {
                // The client or the test has ended the connection.
            }
        }
    }
}
