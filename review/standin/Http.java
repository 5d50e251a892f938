import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    private Http() {}

    /** A message; the body is complete unless {@code broken} is true. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean broken;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** Returns the next line without its end, or null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(b);
        }
        return null;
    }

    /** Reads a head; returns null when the channel ends before one. */
    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null || start.isEmpty()) {
            return null;
        }
        Message message = new Message();
        message.start = start;
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            message.headers.put(
                    next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole request; returns null when the channel ends. */
    static Message request(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) {
            body(in, message);
        }
        return message;
    }

    /** Reads the body of a message; marks it as broken when it ends early. */
    static void body(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String length = message.header("content-length");
        String coding = message.header("transfer-encoding");
        try {
            if (length != null) {
                byte[] read = in.readNBytes(Integer.parseInt(length));
                bytes.writeBytes(read);
                message.broken = read.length < Integer.parseInt(length);
            } else if (coding != null) {
                message.broken = true;
                for (String size = line(in); size != null; size = line(in)) {
                    int count = Integer.parseInt(size.trim(), 16);
                    byte[] read = in.readNBytes(count);
                    bytes.writeBytes(read);
                    if (read.length < count || line(in) == null) {
                        break;
                    }
                    if (count == 0) {
                        message.broken = false;
                        break;
                    }
                }
            }
        } catch (IOException e) {
            message.broken = true;
        }
        message.body = bytes.toByteArray();
    }

    /** Returns the bytes of a message with a length. */
    static byte[] bytes(String start, List<String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    static void write(OutputStream out, String start, List<String> headers, byte[] body)
            throws IOException {
        out.write(bytes(start, headers, body));
        out.flush();
    }

    static List<String> list(String... headers) {
        return new ArrayList<>(List.of(headers));
    }
}
