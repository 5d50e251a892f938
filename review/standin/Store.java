import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's store. Each caller gets an address of its own, so that the store can
 * turn single callers away. Its answers are linearizable.
 */
final class Store {
    /** How the store treats the calls of one caller. */
    enum Mode {
        SERVES,
        BUSY,
        SILENT
    }

    private static final Pattern ROW =
            Pattern.compile(
                    "\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\"(?:,\"value\":\"([^\"]*)\")?");

    record Row(String table, String key, String value, boolean removed, long ver) {}

    private final Map<String, TreeMap<String, Row>> mTables = new HashMap<>();
    private final List<Row> mHistory = new ArrayList<>();
    private final Map<String, Mode> mModes = new ConcurrentHashMap<>();
    private long mVersion = 1;

    /** Opens an address for a caller and returns its port. */
    int open(String caller) throws IOException {
        ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (true) {
                                try {
                                    Socket socket = server.accept();
                                    socket.setTcpNoDelay(true);
                                    Thread.ofVirtual().start(() -> serve(caller, socket));
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
        return server.getLocalPort();
    }

    void mode(String caller, Mode mode) {
        mModes.put(caller, mode);
    }

    private Mode mode(String caller) {
        return mModes.getOrDefault(caller, Mode.SERVES);
    }

    /** Writes a row as the operator or an engine does, and returns its version. */
    synchronized long put(String table, String key, String json) {
        String value =
                Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        apply(new Row(table, key, value, false, ++mVersion));
        return mVersion;
    }

    synchronized long remove(String table, String key) {
        apply(new Row(table, key, "", true, ++mVersion));
        return mVersion;
    }

    private void apply(Row row) {
        TreeMap<String, Row> table = mTables.computeIfAbsent(row.table(), t -> new TreeMap<>());
        if (row.removed()) {
            table.remove(row.key());
        } else {
            table.put(row.key(), row);
        }
        mHistory.add(row);
        notifyAll();
    }

    private void serve(String caller, Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.request(in); call != null; call = Http.request(in)) {
                if (mode(caller) == Mode.SILENT) {
                    // A channel on which a response is lost delivers nothing further.
                    while (in.read() >= 0) {}
                    return;
                }
                String body = mode(caller) == Mode.BUSY ? null : answer(caller, call);
                if (body == null && mode(caller) == Mode.SILENT) {
                    while (in.read() >= 0) {}
                    return;
                }
                if (body == null) {
                    Http.write(
                            socket.getOutputStream(),
                            "HTTP/1.1 503 Service Unavailable",
                            Http.list(),
                            new byte[0]);
                } else {
                    Http.write(
                            socket.getOutputStream(),
                            "HTTP/1.1 200 OK",
                            Http.list("Content-Type: application/json"),
                            body.getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the channel.
        }
    }

    /** Answers a call; null when the caller is turned away meanwhile. */
    private synchronized String answer(String caller, Http.Message call)
            throws InterruptedException {
        String target = call.target();
        String path = target.split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(
                        parts[0],
                        URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        if (path.endsWith("/rows-tx")) {
            write(new String(call.body, StandardCharsets.UTF_8));
            return "{" + tail();
        }
        String table = query.get("table");
        if (path.endsWith("/rows-get")) {
            String from = query.getOrDefault("from", "");
            return rows(
                            mTables.getOrDefault(table, new TreeMap<>())
                                    .tailMap(from, true)
                                    .values())
                    + ",\"has_more\":false,"
                    + tail();
        }
        long since = Long.parseLong(query.get("since_revision"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            if (mode(caller) != Mode.SERVES) {
                return null;
            }
            List<Row> changed = new ArrayList<>();
            Map<String, Row> newest = new TreeMap<>();
            for (int i = mHistory.size() - 1; i >= 0 && mHistory.get(i).ver() > since; i--) {
                Row row = mHistory.get(i);
                if (row.table().equals(table)) {
                    newest.putIfAbsent(row.key(), row);
                }
            }
            changed.addAll(newest.values());
            changed.sort((a, b) -> Long.compare(a.ver(), b.ver()));
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                return rows(changed) + "," + tail();
            }
            wait(Math.min(left, 50));
        }
    }

    private void write(String body) {
        int sets = body.indexOf("\"set_keys\"");
        int removes = body.indexOf("\"remove\"");
        Matcher rows = ROW.matcher(body);
        mVersion++;
        while (rows.find()) {
            boolean set =
                    sets < rows.start() && (removes < sets || rows.start() < removes);
            apply(
                    new Row(
                            rows.group(1),
                            rows.group(3),
                            set ? rows.group(4) : "",
                            !set,
                            mVersion));
        }
    }

    private static String rows(Iterable<Row> rows) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        String comma = "";
        for (Row row : rows) {
            text.append(comma)
                    .append("{\"table\":\"" + row.table() + "\",\"part\":\"\",\"key\":\"")
                    .append(row.key())
                    .append("\",")
                    .append(
                            row.removed()
                                    ? "\"removed\":true"
                                    : "\"value\":\"" + row.value() + "\"")
                    .append(",\"ver\":" + row.ver() + "}");
            comma = ",";
        }
        return text.append("]").toString();
    }

    private String tail() {
        return "\"ver\":" + mVersion + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
    }
}
