import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** One channel of a requester, which is kept for many requests. */
final class Client implements AutoCloseable {
    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    Client(int port, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            mSocket.setReceiveBufferSize(receiveBuffer);
        }
        mSocket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        mSocket.setTcpNoDelay(true);
        mIn = Http.buffered(mSocket.getInputStream());
    }

    /** The answer to a request; status 0 stands for a channel that was closed, -1 for none in time. */
    record Answer(int status, byte[] body, boolean closes, String signature, String id, String error) {}

    static byte[] request(String method, String path, String id, int deadlineMillis, String key, byte[] body) {
        byte[] head =
                Http.bytes(
                        method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id
                                + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n"
                                + (key == null ? "" : "Authorization: Token " + key + "\r\n")
                                + (body.length == 0 ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    void send(byte[] request) throws IOException {
        mSocket.getOutputStream().write(request);
    }

    Socket socket() {
        return mSocket;
    }

    InputStream in() {
        return mIn;
    }

    Answer read(int timeoutMillis) {
        try {
            mSocket.setSoTimeout(timeoutMillis);
            Http.Head head = Http.readHead(mIn);
            if (head == null) {
                return new Answer(0, new byte[0], true, null, null, "closed");
            }
            byte[] body = Http.readBody(head, mIn);
            return new Answer(head.status(), body, head.closes(), head.header("response-signature"), head.header("attempt-id"), null);
        } catch (SocketTimeoutException e) {
            return new Answer(-1, new byte[0], true, null, null, "no answer in time");
        } catch (IOException e) {
            return new Answer(0, new byte[0], true, null, null, String.valueOf(e.getMessage()));
        }
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            // It ends in any case.
        }
    }
}
