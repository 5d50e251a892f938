import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A requester that sends one request on a channel of its own. */
final class Client {
    private Client() {}

    /** What a requester saw: the status is 0 when the channel ended without an answer. */
    record Answer(int status, byte[] body, boolean broken, String error) {}

    static Answer send(int port, String request, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            Http.Message answer = Http.head(in);
            if (answer == null) {
                return new Answer(0, new byte[0], true, "closed");
            }
            Http.body(in, answer);
            return new Answer(answer.status(), answer.body, answer.broken, "");
        } catch (IOException e) {
            return new Answer(0, new byte[0], true, String.valueOf(e.getMessage()));
        }
    }
}
