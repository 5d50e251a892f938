import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store: rows, conditional writes and the feed. Its answers take a few ms. */
final class Store {
    private record Row(String table, String part, String key, byte[] value, long version, boolean removed) {}

    /** A page has 1 MB at most; one more row of 64 KiB takes 88 KB as base64. */
    private static final int MAX_PAGE_CHARS = 900_000;

    private final Map<String, TreeMap<String, Row>> mTables = new HashMap<>();
    private final long mStartedAt = System.nanoTime();
    private final ServerSocket mServer;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private long mVersion = 1;
    private volatile boolean mClosed;

    Store() throws IOException {
        mServer = new ServerSocket();
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        Thread.ofVirtual().start(this::accept);
    }

    /** Creates a store at another address with all rows and the versions of this one. */
    Store(Store before) throws IOException {
        this();
        synchronized (before) {
            before.mTables.forEach((table, rows) -> mTables.put(table, new TreeMap<>(rows)));
            mVersion = before.mVersion;
        }
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Writes a row as the operator or an engine does; the return is the ack. */
    synchronized long put(String table, String key, String value) {
        mVersion++;
        rows(table).put(key, new Row(table, "", key, value.getBytes(StandardCharsets.UTF_8), mVersion, false));
        notifyAll();
        return mVersion;
    }

    synchronized void remove(String table, String key) {
        mVersion++;
        rows(table).put(key, new Row(table, "", key, new byte[0], mVersion, true));
        notifyAll();
    }

    void close() {
        mClosed = true;
        try {
            mServer.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
        } catch (IOException e) {
            // The store ends in any case.
        }
    }

    private TreeMap<String, Row> rows(String table) {
        return mTables.computeIfAbsent(table, name -> new TreeMap<>());
    }

    private void accept() {
        while (!mClosed) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(head, in);
                Thread.sleep(4);
                String[] line = head.line().split(" ");
                String[] target = line[1].split("\\?", 2);
                Map<String, String> query = query(target.length > 1 ? target[1] : "");
                int[] status = {200};
                String answer =
                        switch (target[0]) {
                            case "/gentianwalk/rows-get" -> get(query);
                            case "/gentianwalk/rows-feed" -> feed(query);
                            case "/gentianwalk/rows-tx" -> transact(new String(body, StandardCharsets.UTF_8), status);
                            default -> {
                                status[0] = 404;
                                yield "{}";
                            }
                        };
                byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
                byte[] start =
                        Http.bytes(
                                "HTTP/1.1 " + status[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                        + bytes.length + "\r\n\r\n");
                byte[] all = new byte[start.length + bytes.length];
                System.arraycopy(start, 0, all, 0, start.length);
                System.arraycopy(bytes, 0, all, start.length, bytes.length);
                socket.getOutputStream().write(all);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left.
        } finally {
            mSockets.remove(socket);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized String get(Map<String, String> query) {
        StringBuilder rows = new StringBuilder();
        String from = query.getOrDefault("from", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        int listed = 0;
        boolean more = false;
        for (Row row : rows(query.get("table")).tailMap(from).values()) {
            if (row.removed()) {
                continue;
            }
            if (listed == limit || rows.length() > MAX_PAGE_CHARS) {
                more = true;
                break;
            }
            listed++;
            append(rows, row);
        }
        return "{\"rows\":[" + rows + "],\"has_more\":" + more + "," + end() + "}";
    }

    private String end() {
        return end(mVersion);
    }

    private String end(long version) {
        return "\"ver\":" + version + ",\"now_ms\":" + (System.nanoTime() - mStartedAt) / 1_000_000;
    }

    private static void append(StringBuilder rows, Row row) {
        rows.append(rows.isEmpty() ? "" : ",")
                .append("{\"table\":").append(Json.text(row.table()))
                .append(",\"part\":\"\",\"key\":").append(Json.text(row.key()))
                .append(row.removed()
                        ? ",\"removed\":true"
                        : ",\"value\":\"" + Base64.getEncoder().encodeToString(row.value()) + "\"")
                .append(",\"ver\":").append(row.version()).append("}");
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("since_revision"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            StringBuilder rows = new StringBuilder();
            // A page ends with the version of its last row.
            List<Row> changed =
                    rows(query.get("table")).values().stream()
                            .filter(row -> row.version() > since)
                            .sorted((a, b) -> Long.compare(a.version(), b.version()))
                            .toList();
            String end = end();
            for (Row row : changed) {
                if (rows.length() > MAX_PAGE_CHARS) {
                    break;
                }
                append(rows, row);
                end = row == changed.getLast() ? end() : end(row.version());
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0 || mClosed) {
                return "{\"rows\":[" + rows + "]," + end + "}";
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(String text, int[] status) {
        Map<String, Object> call = (Map<String, Object>) Json.read(text);
        StringBuilder current = new StringBuilder();
        boolean holds = true;
        for (Object entry : (List<Object>) call.getOrDefault("expected_revision", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) entry;
            Row row = rows((String) expected.get("table")).get((String) expected.get("key"));
            long version = row == null || row.removed() ? 0 : row.version();
            holds &= version == (Long) expected.get("ver");
            if (row != null) {
                append(current, row);
            }
        }
        if (!holds) {
            status[0] = 412;
            return "{\"rows\":[" + current + "]," + end() + "}";
        }
        mVersion++;
        for (Object entry : (List<Object>) call.getOrDefault("set_keys", List.of())) {
            Map<String, Object> set = (Map<String, Object>) entry;
            String table = (String) set.get("table");
            String key = (String) set.get("key");
            rows(table).put(key, new Row(table, "", key, Base64.getDecoder().decode((String) set.get("value")), mVersion, false));
        }
        for (Object entry : (List<Object>) call.getOrDefault("remove", List.of())) {
            Map<String, Object> removed = (Map<String, Object>) entry;
            String table = (String) removed.get("table");
            String key = (String) removed.get("key");
            rows(table).put(key, new Row(table, "", key, new byte[0], mVersion, true));
        }
        notifyAll();
        return "{" + end() + "}";
    }
}
