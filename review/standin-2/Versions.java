import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request at each machine asks for a version of the weights that no engine has, and each engine
 * answers 421.
 * Checks that the other streams, which ask for no version, go on to be served.
 */
public final class Versions {
    private static final int ENGINES = 8;
    private static final int INSTANCES = 2;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final int AFTER_MILLIS = 40_000;

    /** Time after the requests with a version from which on the others are counted. */
    private static final int SETTLE_MILLIS = 5_000;

    private static final ConcurrentLinkedQueue<Request> REQUESTS = new ConcurrentLinkedQueue<>();
    private static final Map<String, AtomicInteger> ARRIVALS = new ConcurrentHashMap<>();
    private static final AtomicBoolean STOP = new AtomicBoolean();
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final long START = System.nanoTime();

    /** A request without a version. */
    private record Request(String kind, long sentMillis, long tookMillis, String result) {}

    private Versions() {}

    private static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /** Runs the case; the arguments are its folder and whether there is trouble. */
    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = arguments[1].equals("1");
        Path temporary = Files.createTempDirectory("gentianwalk-review");
        int result = 2;
        List<Instance> instances = new ArrayList<>();
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")))) {
            try {
                Store store = new Store();
                for (int i = 0; i < ENGINES; i++) {
                    new Engine(store, "writer", "i-7f3a0" + i, 16, new Model());
                }
                for (int i = 0; i < 3; i++) {
                    new Engine(store, "desk", "i-02d90" + i, 6, new Desk());
                }
                store.put("op", "config", manifest());
                for (int i = 1; i <= INSTANCES; i++) {
                    Instance instance = new Instance(temporary, "front-zone-a-" + i, store.address(), 8);
                    instance.start();
                    instances.add(instance);
                }
                boolean ready = true;
                for (Instance instance : instances) {
                    ready &= instance.awaitReady(20_000);
                }
                if (ready) {
                    result = play(instances, trouble, record);
                } else {
                    record.println("the instances are not ready");
                }
            } finally {
                instances.forEach(Instance::kill);
            }
            record.println("result " + result);
        }
        System.exit(result);
    }

    /** A model engine with version 1 of its weights. */
    private static final class Model implements Engine.Work {
        @Override
        public int weights() {
            return 1;
        }

        @Override
        public int events(Http.Head head) {
            return 20;
        }

        @Override
        public byte[] run(Http.Head head, byte[] body) {
            return new byte[0];
        }
    }

    /** An engine of a plain service. */
    private static final class Desk implements Engine.Work {
        @Override
        public byte[] run(Http.Head head, byte[] body) throws InterruptedException {
            Thread.sleep(20);
            return new byte[800];
        }
    }

    private static String manifest() {
        String route =
                "{\"name\":\"%s\",\"host\":\"ficu95.example\",\"prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":%d,"
                        + "\"target_latency_ms\":1000,\"priority\":0,\"service\":\"%s\",\"max_attempts\":%d,"
                        + "\"allow_anonymous\":false%s}";
        return "{\"version\":7,\"routes\":["
                + String.format(route, "r-1", "quotes", "streaming", DEADLINE_MILLIS, "writer", 5,
                        ",\"sticky_sessions\":true,\"resumable\":true,\"gap_aim_ms\":700") + ","
                + String.format(route, "r-2", "lookups", "safe", 1_200, "desk", 2, "")
                + "],\"services\":[{\"name\":\"writer\",\"health_path\":\"/healthz\",\"max_connections\":180,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":16,\"kv_capacity\":88000,\"kv_token_bytes\":163840,\"link_mbps\":130000.0,\"moves\":false,"
                + "\"backups\":false,\"stride\":6,\"handle_s\":4.0,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"key-1\"]}]}";
    }

    private static int play(List<Instance> instances, boolean trouble, PrintWriter record) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (Instance instance : instances) {
            for (int i = 0; i < 8; i++) {
                String kind = i % 2 == 0 ? "quotes" : "lookups";
                threads.add(Thread.ofVirtual().start(() -> requester(instance.front(), kind)));
            }
        }
        Thread.sleep(10_000);
        long from = millis();
        for (int i = 0; i < instances.size(); i++) {
            String id = id();
            String header = trouble ? "Expect-Version: 2\r\n" : "Expect-Version: 1\r\n";
            record.println("request " + id + " with " + header.trim() + " at machine " + (i + 1) + ": " + stream(instances.get(i).front(), id, header));
        }
        long until = millis();
        Thread.sleep(AFTER_MILLIS - DEADLINE_MILLIS);
        STOP.set(true);
        for (Thread thread : threads) {
            thread.join(DEADLINE_MILLIS + 2_000);
        }
        int[] before = new int[2];
        int[] streams = new int[2];
        int[] all = new int[2];
        Map<String, Integer> results = new TreeMap<>();
        for (Request request : REQUESTS) {
            boolean served = request.result().equals("status 200, whole");
            if (request.sentMillis() + request.tookMillis() < from) {
                count(before, served);
            } else if (request.sentMillis() >= until + SETTLE_MILLIS) {
                count(all, served);
                if (request.kind().equals("quotes")) {
                    count(streams, served);
                }
                results.merge(request.kind() + ": " + request.result() + (request.tookMillis() > 7_000 ? " after more than 7 s" : ""), 1, Integer::sum);
            }
        }
        record.println("before " + from + " ms: " + before[0] + " of " + before[1] + " requests served");
        record.println("sent later than " + SETTLE_MILLIS + " ms after the requests with a version: " + results);
        record.println("streams served: " + streams[0] + " of " + streams[1] + "; all requests served: " + all[0] + " of " + all[1]);
        for (int i = 0; i < instances.size(); i++) {
            record.println("machine " + (i + 1) + " says at the end that it is " + (instances.get(i).ready() ? "ready" : "not ready"));
        }
        if (streams[1] == 0 || all[0] == 0) {
            return 2;
        }
        return 4L * streams[0] * all[1] < (long) all[0] * streams[1] ? 1 : 0;
    }

    private static void count(int[] counts, boolean served) {
        counts[0] += served ? 1 : 0;
        counts[1]++;
    }

    private static String id() {
        return String.format("%016x", 0x1000_0000L + NEXT.incrementAndGet());
    }

    private static void requester(int port, String kind) {
        while (!STOP.get()) {
            String id = id();
            long sent = millis();
            String result = kind.equals("quotes") ? stream(port, id, "") : lookup(port, id);
            REQUESTS.add(new Request(kind, sent, millis() - sent, result));
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String lookup(int port, String id) {
        try (Client client = new Client(port, 0)) {
            client.send(Client.request("GET", "/lookups/x", id, 2_500, "key-1", new byte[0]));
            Client.Answer answer = client.read(2_500);
            return answer.error() == null ? "status " + answer.status() + ", whole" : answer.error();
        } catch (IOException e) {
            return String.valueOf(e);
        }
    }

    private static String stream(int port, String id, String header) {
        try (Client client = new Client(port, 0)) {
            client.send(Http.bytes("POST /quotes/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id + "\r\nModel: m\r\n"
                    + "Token-Usage: 400,120\r\nPrompt-Prefix: 5c1e07a2:200," + id.substring(8) + ":200\r\n" + header
                    + "Deadline-Ms: " + DEADLINE_MILLIS + "\r\nAuthorization: Token key-1\r\nContent-Length: 5\r\n\r\nhello"));
            Client.Answer answer = client.read(DEADLINE_MILLIS + 1_000);
            if (answer.error() != null) {
                return answer.error();
            }
            boolean whole = new String(answer.body()).contains("id: 20\n");
            return "status " + answer.status() + (answer.status() != 200 ? "" : whole ? ", whole" : ", cut");
        } catch (IOException e) {
            return String.valueOf(e);
        }
    }
}
