package org.gentianwalk.gateway.sockets;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A caller on a raw socket, which sees whether a response is complete. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;

    private final Socket mSocket = new Socket();

    RawCaller(InetSocketAddress instance) throws IOException {
        this(instance, 0);
    }

    /** Connects with a receive buffer of a size in bytes; 0 for the default of the system. */
    RawCaller(InetSocketAddress instance, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            mSocket.setReceiveBufferSize(receiveBuffer);
        }
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(TIMEOUT_MILLIS);
        mSocket.connect(instance, TIMEOUT_MILLIS);
    }

    /**
     * A response.
     *
     * @param status its status
     * @param headers its headers, with names in lower case
     * @param body its body as far as it arrived
     * @param complete whether it ended as its framing states
     * @param took time from the request to its end
     */
    record Response(
            int status,
            Map<String, String> headers,
            String body,
            boolean complete,
            Duration took) {}

    /** Sends a request and reads its response; null when the connection ended without one. */
    Response call(String target, String id, String... headers) throws IOException {
        long start = System.nanoTime();
        send(target, id, headers);
        return read(start);
    }

    /** Sends a request with a body of a length and reads its response. */
    Response upload(int length, String target, String id, String... headers) throws IOException {
        long start = System.nanoTime();
        send("u".repeat(length), target, id, headers);
        return read(start);
    }

    void send(String target, String id, String... headers) throws IOException {
        send("hi", target, id, headers);
    }

    private void send(String body, String target, String id, String... headers) throws IOException {
        StringBuilder head = new StringBuilder("POST " + target + " HTTP/1.1\r\nHost: host\r\n");
        head.append("x-id: ").append(id).append("\r\nContent-Length: ");
        head.append(body.length()).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        write(head + "\r\n" + body);
    }

    void write(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().flush();
    }

    /** Returns whether a part of a response has arrived that was not read yet. */
    boolean hasInput() {
        try {
            return mSocket.getInputStream().available() > 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Response read() throws IOException {
        return read(System.nanoTime());
    }

    private Response read(long startNanos) throws IOException {
        InputStream input = mSocket.getInputStream();
        String line;
        try {
            line = ScriptedUpstream.line(input);
        } catch (java.net.SocketException e) {
            return null;
        }
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = ScriptedUpstream.line(input);
                header != null && !header.isEmpty();
                header = ScriptedUpstream.line(input)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            readBody(input, headers, body);
            complete = true;
        } catch (EOFException | java.net.SocketException e) {
            // The body is not complete.
        }
        return new Response(
                Integer.parseInt(line.split(" ")[1]),
                headers,
                body.toString(StandardCharsets.ISO_8859_1),
                complete,
                Duration.ofNanos(System.nanoTime() - startNanos));
    }

    private static void readBody(
            InputStream input, Map<String, String> headers, ByteArrayOutputStream body)
            throws IOException {
        if (headers.containsKey("content-length")) {
            readPart(input, Integer.parseInt(headers.get("content-length")), body);
            return;
        }
        if (!"chunked".equals(headers.get("transfer-encoding"))) {
            throw new IOException("the response has neither a length nor chunks");
        }
        while (true) {
            String size = ScriptedUpstream.line(input);
            if (size == null) {
                throw new EOFException("no chunk");
            }
            int length = Integer.parseInt(size.trim(), 16);
            readPart(input, length, body);
            if (ScriptedUpstream.line(input) == null) {
                throw new EOFException("the end of a chunk is missing");
            }
            if (length == 0) {
                return;
            }
        }
    }

    private static void readPart(InputStream input, int length, ByteArrayOutputStream body)
            throws IOException {
        byte[] part = input.readNBytes(length);
        body.writeBytes(part);
        if (part.length < length) {
            throw new EOFException("the body ends early");
        }
    }

    /** Ends the connection with a reset. */
    void reset() throws IOException {
        mSocket.setSoLinger(true, 0);
        mSocket.close();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
