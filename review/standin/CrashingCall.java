import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A safe call crashes each engine that begins to run it, and comes again every five seconds at any
 * machine, beside other requests. With TROUBLE=0 it is an ordinary call.
 */
final class CrashingCall {
    private static final int SECONDS = 75;
    private static final double RATE = 46;
    private static final int AGAIN_MS = 5_000;
    private static final long STABLE_NANOS = 4_000_000_000L;

    private CrashingCall() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = new Deployment(Map.of("a1", "a"))) {
            int result = run(record, deployment, trouble);
            record.close();
            deployment.close();
            System.exit(result);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private static int run(Record record, Deployment deployment, boolean trouble)
            throws Exception {
        deployment.store.put(
                "op",
                "config",
                Rows.config(
                        1,
                        Rows.route("/look/", "safe", "desk", 1_200, ",\"max_attempts\":2")
                                + ","
                                + Rows.route(
                                        "/reorder/", "unsafe", "desk", 1_200, ",\"max_attempts\":1"),
                        Rows.service("desk", ""),
                        "\"key-1\""));
        Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
        AtomicInteger crashes = new AtomicInteger();
        AtomicLong thirdCrash = new AtomicLong();
        AtomicInteger lateRetries = new AtomicInteger();
        CrashingEngine.Listener listener =
                new CrashingEngine.Listener() {
                    @Override
                    public void ran(CrashingEngine engine, String attempt, boolean poison) {
                        if (!poison) {
                            return;
                        }
                        int arrival =
                                arrivals.computeIfAbsent(attempt, key -> new AtomicInteger())
                                        .incrementAndGet();
                        long now = System.nanoTime();
                        long third = thirdCrash.get();
                        if (arrival > 1 && third != 0 && now - third > STABLE_NANOS) {
                            int late = lateRetries.incrementAndGet();
                            record.say(
                                    "retry %d of the request, %s at %s, %.1f s after the third"
                                            + " crash",
                                    late, attempt, engine.id, (now - third) / 1e9);
                        }
                        if (engine.crashes && crashes.incrementAndGet() == 3) {
                            thirdCrash.set(now);
                        }
                    }

                    @Override
                    public void started(CrashingEngine engine) {
                        deployment.store.put("servers", engine.id, row(engine));
                    }
                };
        List<CrashingEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            CrashingEngine engine = new CrashingEngine(record, "i-desk-" + i, 21, listener);
            engine.crashes = trouble;
            engines.add(engine);
            listener.started(engine);
        }
        for (int i = 1; i <= 3; i++) {
            deployment.add("front-a1-" + i, "a1").start();
        }
        deployment.awaitReady(30);
        Map<Integer, AtomicInteger> ends = new ConcurrentHashMap<>();
        AtomicInteger open = new AtomicInteger();
        long start = System.nanoTime();
        long end = start + SECONDS * 1_000_000_000L;
        long again = start + 2_000_000_000L;
        for (double at = start; at < end; at += 1e9 / RATE) {
            long wait = (long) at - System.nanoTime();
            if (wait > 0) {
                Thread.sleep(Duration.ofNanos(wait));
            }
            open.incrementAndGet();
            Thread.ofVirtual()
                    .start(
                            () -> {
                                int status =
                                        send(record, deployment, "POST", "/reorder/1", "order");
                                ends.computeIfAbsent(status, key -> new AtomicInteger())
                                        .incrementAndGet();
                                open.decrementAndGet();
                            });
            if (at >= again) {
                again += AGAIN_MS * 1_000_000L;
                Thread.ofVirtual()
                        .start(() -> send(record, deployment, "GET", "/look/poison", ""));
            }
        }
        for (int i = 0; i < 60 && open.get() > 0; i++) {
            Thread.sleep(50);
        }
        record.say(
                "crashes %d, late retries of the request %d, ends of the other requests %s",
                crashes.get(), lateRetries.get(), ends);
        if (lateRetries.get() > 3) {
            record.say("BROKEN BUDGET: more than three retries of a request that crashes engines");
            return 1;
        }
        return ends.containsKey(200) ? 0 : 2;
    }

    private static String row(CrashingEngine engine) {
        String row = Rows.engine("desk", engine.port, "a1", 6);
        return row.substring(0, row.length() - 1)
                + ",\"born\":"
                + System.currentTimeMillis()
                + "}";
    }

    private static int send(
            Record record, Deployment deployment, String method, String target, String body) {
        String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        Deployment.Node node =
                deployment.nodes.get(
                        ThreadLocalRandom.current().nextInt(deployment.nodes.size()));
        record.add("send    %s %s %s to %s", id, method, target, node.name);
        Client.Answer answer =
                Client.send(
                        node.front,
                        method
                                + " "
                                + target
                                + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: "
                                + id
                                + "\r\nDeadline-Ms: 2500\r\nAuthorization: Token key-1\r\n"
                                + (body.isEmpty()
                                        ? "\r\n"
                                        : "Content-Length: " + body.length() + "\r\n\r\n" + body),
                        3_000);
        record.add("answer  %s status %d", id, answer.status());
        return answer.status();
    }
}
