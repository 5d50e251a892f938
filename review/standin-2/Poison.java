import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each engine that begins to run it comes again and again, at one of two
 * machines. Checks how often machines send it once more after it has crashed the third engine.
 */
public final class Poison {
    private static final int ENGINES = 8;
    private static final int BACK_MILLIS = 4_000;
    private static final int STABLE_MILLIS = 4_000;
    private static final int PLAY_MILLIS = 45_000;
    private static final int PAUSE_MILLIS = 3_000;
    private static final long START = System.nanoTime();

    /** An arrival of the request at an engine. */
    private record Arrival(long millis, String attempt, String engine) {}

    private static final ConcurrentLinkedQueue<Arrival> ARRIVALS = new ConcurrentLinkedQueue<>();
    private static final ConcurrentLinkedQueue<String> EVENTS = new ConcurrentLinkedQueue<>();
    private static final Map<String, AtomicInteger> OTHERS = new ConcurrentHashMap<>();
    private static final AtomicBoolean STOP = new AtomicBoolean();
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final ScheduledExecutorService TIMER = Executors.newSingleThreadScheduledExecutor();

    private Poison() {}

    private static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /** Runs the case; the arguments are its folder, whether there is trouble, and the path. */
    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = arguments[1].equals("1");
        String path = arguments[2];
        Path temporary = Files.createTempDirectory("gentianwalk-review");
        int result = 2;
        List<Instance> instances = new ArrayList<>();
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")))) {
            try {
                Store store = new Store();
                AtomicInteger starts = new AtomicInteger();
                for (int i = 0; i < ENGINES; i++) {
                    startEngine(store, starts, trouble);
                }
                store.put("op", "config", manifest());
                for (int i = 1; i <= 2; i++) {
                    Instance instance = new Instance(temporary, "front-zone-a-" + i, store.address(), 8);
                    instance.start();
                    instances.add(instance);
                }
                boolean ready = true;
                for (Instance instance : instances) {
                    ready &= instance.awaitReady(20_000);
                }
                if (ready) {
                    result = play(instances, path, record);
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

    private static void startEngine(Store store, AtomicInteger starts, boolean trouble) throws IOException {
        String id = "i-" + Integer.toHexString(0x7f3a00 + starts.incrementAndGet());
        new Engine(
                store,
                "notes",
                id,
                8,
                new Engine.Work() {
                    @Override
                    public byte[] run(Http.Head head, byte[] body) throws InterruptedException {
                        Thread.sleep(head.line().contains(" /unsafe/") ? 300 : 20);
                        return new byte[800];
                    }

                    @Override
                    public int events(Http.Head head) {
                        return head.line().contains(" /stream/") ? 20 : 0;
                    }

                    @Override
                    public boolean crashes(Engine engine, Http.Head head) {
                        if (!head.line().contains("/poison")) {
                            return false;
                        }
                        ARRIVALS.add(new Arrival(millis(), head.header("attempt-id"), engine.id()));
                        if (trouble) {
                            TIMER.schedule(() -> comeBack(store, starts, id, true), BACK_MILLIS, TimeUnit.MILLISECONDS);
                        }
                        return trouble;
                    }
                });
    }

    /** The engine is back some seconds after its crash, with a new id. */
    private static void comeBack(Store store, AtomicInteger starts, String before, boolean trouble) {
        try {
            store.remove("servers", before);
            startEngine(store, starts, trouble);
        } catch (IOException e) {
            EVENTS.add("an engine does not come back: " + e);
        }
    }

    private static String manifest() {
        String route =
                "{\"name\":\"%s\",\"host\":\"ficu95.example\",\"prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":%d,"
                        + "\"target_latency_ms\":1000,\"priority\":0,\"service\":\"notes\",\"max_attempts\":%d,"
                        + "\"allow_anonymous\":false%s}";
        return "{\"version\":7,\"routes\":["
                + String.format(route, "r-1", "stream", "streaming", 25_000, 5, ",\"resumable\":true,\"gap_aim_ms\":700") + ","
                + String.format(route, "r-2", "safe", "safe", 2_500, 5, "") + ","
                + String.format(route, "r-3", "unsafe", "unsafe", 2_500, 1, "")
                + "],\"services\":[{\"name\":\"notes\",\"health_path\":\"/healthz\",\"max_connections\":180,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"key-1\"]}]}";
    }

    private static int play(List<Instance> instances, String path, PrintWriter record) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (Instance instance : instances) {
            for (int i = 0; i < 8; i++) {
                String kind = i % 2 == 0 ? "safe" : "unsafe";
                threads.add(Thread.ofVirtual().start(() -> others(instance.front(), kind)));
            }
        }
        Thread.sleep(5_000);
        long end = System.nanoTime() + PLAY_MILLIS * 1_000_000L;
        for (int i = 0; System.nanoTime() < end; i++) {
            int port = instances.get(i % 2).front();
            String id = String.format("%016x", 0x2000_0000L + NEXT.incrementAndGet());
            long sent = millis();
            try (Client client = new Client(port, 0)) {
                client.send(Client.request("POST", path, id, 25_000, "key-1", Http.bytes("the same body")));
                Client.Answer answer = client.read(10_000);
                EVENTS.add("request " + id + " sent at " + sent + " ms to machine " + (1 + i % 2) + ": "
                        + (answer.error() == null ? "status " + answer.status() : answer.error()) + " after " + (millis() - sent) + " ms");
            } catch (IOException e) {
                EVENTS.add("request " + id + " sent at " + sent + " ms: " + e);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        STOP.set(true);
        for (Thread thread : threads) {
            thread.join(5_000);
        }
        return judge(record);
    }

    private static int judge(PrintWriter record) {
        Set<String> seen = new HashSet<>();
        long third = -1;
        int arrivals = 0;
        int later = 0;
        int retries = 0;
        for (Arrival arrival : ARRIVALS) {
            arrivals++;
            boolean again = !seen.add(arrival.attempt());
            third = arrivals == 3 ? arrival.millis() : third;
            boolean counts = third >= 0 && arrival.millis() > third + STABLE_MILLIS;
            later += counts ? 1 : 0;
            retries += counts && again ? 1 : 0;
            record.println("arrival at " + arrival.millis() + " ms at engine " + arrival.engine() + ", attempt " + arrival.attempt()
                    + (again ? ", sent once more by the machine" : ""));
        }
        EVENTS.forEach(record::println);
        record.println("answers to other requests: " + new TreeMap<>(OTHERS));
        record.println("arrivals: " + arrivals + "; later than " + STABLE_MILLIS + " ms after the third: " + later
                + "; of these sent once more by a machine: " + retries);
        return retries > 3 ? 1 : 0;
    }

    private static void others(int port, String kind) {
        while (!STOP.get()) {
            try (Client client = new Client(port, 0)) {
                boolean closes = false;
                while (!STOP.get() && !closes) {
                    int number = NEXT.incrementAndGet();
                    String id = String.format("%016x", 0x1000_0000L + number);
                    client.send(Client.request("POST", "/" + kind + "/" + number, id, 2_500, "key-1", Http.bytes("body " + number)));
                    Client.Answer answer = client.read(2_500);
                    OTHERS.computeIfAbsent(kind + ": " + (answer.error() == null ? "status " + answer.status() : answer.error()), k -> new AtomicInteger()).incrementAndGet();
                    closes = answer.closes();
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                OTHERS.computeIfAbsent(String.valueOf(e), k -> new AtomicInteger()).incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
