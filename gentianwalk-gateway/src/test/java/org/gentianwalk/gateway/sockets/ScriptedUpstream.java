package org.gentianwalk.gateway.sockets;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.gentianwalk.core.dispatch.Upstream;

/** An upstream on loopback whose responses are raw bytes, so that it can violate the protocol. */
final class ScriptedUpstream implements AutoCloseable {
    /** Bytes of a body that are read when the rest of it is not. */
    private static final int FIRST_BYTES = 50;

    private static final int BUFFER_BYTES = 64 << 10;

    private final String mId;
    private final ServerSocket mListener;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final List<String> mReceived = new CopyOnWriteArrayList<>();
    private volatile Script mScript;
    private volatile boolean mReadsBodies = true;

    /** Writes the response to a request. */
    interface Script {
        /**
         * Responds to a request. The connection is closed after an exception.
         *
         * @param request the request
         * @param connection the connection that it came on
         */
        void respond(Request request, Connection connection) throws Exception;
    }

    /** A request that was read whole, or its head and the first bytes of its body. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("x-id", "");
        }

        /** Returns the number of bytes of the body that were not read. */
        int unread() {
            return Integer.parseInt(headers.getOrDefault("content-length", "0")) - body.length;
        }
    }

    /** A connection of an instance. */
    record Connection(Socket socket, OutputStream output) {
        void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        /** Reads the rest of the body of a request that was read in part. */
        void readRest(Request request) throws IOException {
            socket.getInputStream().readNBytes(request.unread());
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        boolean isClosedByPeer() throws IOException {
            socket.setSoTimeout(1);
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            } finally {
                if (!socket.isClosed()) {
                    socket.setSoTimeout(0);
                }
            }
        }
    }

    ScriptedUpstream(String id, Script script) throws IOException {
        mId = id;
        mScript = script;
        mListener = new ServerSocket();
        // The rest of a long body that is not read then stays at its sender.
        mListener.setReceiveBufferSize(BUFFER_BYTES);
        mListener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns a signed success for a request. */
    static String success(Request request, String body) {
        return "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(request.id(), body.length(), body);
    }

    /** Returns a refusal that states that the request was not executed. */
    static String refusal(Request request) {
        return "HTTP/1.1 503 Full\r\nx-id: %s\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"
                .formatted(request.id());
    }

    /** Returns the head of a stream without a length. */
    static String streamHead(Request request) {
        return "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nx-events: 1\r\n\r\n"
                .formatted(request.id());
    }

    Upstream entry(String service, String zone) {
        return new Upstream(
                mId, 1, service, "127.0.0.1:" + mListener.getLocalPort(), zone, 100, false);
    }

    String id() {
        return mId;
    }

    void script(Script script) {
        mScript = script;
    }

    /** Sets whether requests are read whole; otherwise the rest stays in the connection. */
    void readsBodies(boolean readsBodies) {
        mReadsBodies = readsBodies;
    }

    /** Returns the identifiers of the received requests, in their order. */
    List<String> received() {
        return mReceived;
    }

    int connections() {
        return mSockets.size();
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                socket.setTcpNoDelay(true);
                mSockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Connection connection = new Connection(socket, socket.getOutputStream());
            InputStream input = socket.getInputStream();
            for (Request request = read(input); request != null; request = read(input)) {
                if (!request.id().isEmpty()) {
                    mReceived.add(request.id());
                }
                mScript.respond(request, connection);
            }
        } catch (Exception e) {
            // The end of a connection is part of most scripts.
        } finally {
            mSockets.remove(socket);
        }
    }

    private Request read(InputStream input) throws IOException {
        String line = line(input);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(input);
                header != null && !header.isEmpty();
                header = line(input)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String[] words = line.split(" ");
        int read = mReadsBodies ? length : Math.min(length, FIRST_BYTES);
        return new Request(words[0], words[1], headers, input.readNBytes(read));
    }

    /** Returns the next line without its end, or null at the end of the input. */
    static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
