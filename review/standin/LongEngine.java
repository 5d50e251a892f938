import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for an engine whose answers are long; it breaks off a few of them. */
final class LongEngine {
    final String id;
    final int port;
    final AtomicInteger brokenOff = new AtomicInteger();
    private final Record mRecord;
    private final int mBodyBytes;

    /** Share of the answers that are broken off. */
    volatile double breakShare;

    LongEngine(Record record, String id, int bodyBytes) throws IOException {
        mRecord = record;
        this.id = id;
        mBodyBytes = bodyBytes;
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

    /** The body of the answer to a request; its content depends on the request only. */
    static byte[] body(String attempt, int length) {
        byte[] line = (attempt + "\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            body[i] = line[i % line.length];
        }
        return body;
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.request(in); call != null; call = Http.request(in)) {
                String attempt = String.valueOf(call.header("Attempt-Id"));
                if (!id.equals(call.header("Expect-Instance"))) {
                    Http.write(
                            out,
                            "HTTP/1.1 421 Misdirected Request",
                            Http.list("Attempt-Id: " + attempt, "Instance-Id: " + id),
                            new byte[0]);
                    continue;
                }
                mRecord.add("run     %s runs %s", id, attempt);
                byte[] answer =
                        Http.bytes(
                                "HTTP/1.1 200 OK",
                                Http.list(
                                        "Attempt-Id: " + attempt,
                                        "Response-Signature: sig-" + attempt),
                                body(attempt, mBodyBytes));
                if (ThreadLocalRandom.current().nextDouble() < breakShare) {
                    int sent = ThreadLocalRandom.current().nextInt(answer.length);
                    out.write(Arrays.copyOf(answer, sent));
                    out.flush();
                    brokenOff.incrementAndGet();
                    mRecord.add("break   %s breaks off %s after %d bytes", id, attempt, sent);
                    return;
                }
                out.write(answer);
                out.flush();
            }
        } catch (IOException e) {
            // The channel was closed.
        }
    }
}
