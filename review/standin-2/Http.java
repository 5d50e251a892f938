import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes messages of HTTP/1.1 on plain sockets. */
final class Http {
    private Http() {}

    /** The first line and the headers of a message, whose names are in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name);
        }

        int length() {
            String length = headers.get("content-length");
            return length == null ? 0 : Integer.parseInt(length.trim());
        }

        boolean chunked() {
            return "chunked".equalsIgnoreCase(headers.getOrDefault("transfer-encoding", ""));
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(headers.getOrDefault("connection", ""));
        }
    }

    static BufferedInputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 4096);
    }

    /** Returns null at the end of the input before the first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = readLine(in); ; header = readLine(in)) {
            if (header == null) {
                throw new EOFException("a head is cut");
            }
            if (header.isEmpty()) {
                return new Head(line, headers);
            }
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        if (line.size() > 0) {
            throw new EOFException("a line is cut");
        }
        return null;
    }

    static byte[] readBody(Head head, InputStream in) throws IOException {
        if (!head.chunked()) {
            byte[] body = in.readNBytes(head.length());
            if (body.length < head.length()) {
                throw new EOFException("a body is cut");
            }
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("a body is cut");
            }
            int size = Integer.parseInt(line.trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size || readLine(in) == null) {
                throw new EOFException("a body is cut");
            }
            if (size == 0) {
                return body.toByteArray();
            }
            body.write(chunk);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
