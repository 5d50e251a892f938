import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in for a model engine: its answers are streams of numbered events. */
final class StreamEngine {
    final String id;
    final int port;
    private final int mEvents;
    private final int mPauseMillis;

    StreamEngine(String id, int events, int pauseMillis) throws IOException {
        this.id = id;
        mEvents = events;
        mPauseMillis = pauseMillis;
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (true) {
                                try {
                                    Socket socket = server.accept();
                                    socket.setTcpNoDelay(true);
                                    Thread.ofVirtual().start(() -> serve(socket));
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.request(in); call != null; call = Http.request(in)) {
                String attempt = String.valueOf(call.header("Attempt-Id"));
                if (call.target().equals("/gentianwalk/report")) {
                    Http.write(
                            out,
                            "HTTP/1.1 200 OK",
                            Http.list("Content-Type: application/json"),
                            "{\"stage\":\"hybrid\",\"busy\":false,\"waiting\":0,\"running\":1}"
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                if (!id.equals(call.header("Expect-Instance"))) {
                    Http.write(
                            out,
                            "HTTP/1.1 421 Misdirected Request",
                            Http.list("Attempt-Id: " + attempt, "Instance-Id: " + id),
                            new byte[0]);
                    continue;
                }
                String head =
                        "HTTP/1.1 200 OK\r\nAttempt-Id: "
                                + attempt
                                + "\r\nResponse-Signature: sig-"
                                + attempt
                                + "\r\nContent-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                String last = call.header("Last-Event-Id");
                int first = last == null ? 1 : Integer.parseInt(last) + 1;
                for (int event = first; event <= mEvents; event++) {
                    Thread.sleep(mPauseMillis);
                    String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                    String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
                    out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
                out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The channel was closed.
        }
    }
}
