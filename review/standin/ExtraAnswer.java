import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Unsafe requests at about the rate that one engine can run; it rejects what it has no room for. For
 * some seconds at a time, three in a hundred of its answers are followed by a late extra copy; with
 * TROUBLE=0 they never are.
 */
final class ExtraAnswer {
    private static final int SLOTS = 6;
    private static final int QUEUE = 4;
    private static final int WORK_MS = 21;

    /** Requests a second; the engine can run 285. */
    private static final double RATE = 290;

    private static final int SECONDS = 64;

    /** Length of each disturbance, and of it and the calm after it. */
    private static final double TROUBLE_S = 5;

    private static final double PERIOD_S = 8;

    private ExtraAnswer() {}

    /** Time to the next request; requests arrive independently of each other. */
    private static double gapNanos() {
        return -Math.log(1 - ThreadLocalRandom.current().nextDouble()) * 1e9 / RATE;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = new Deployment(Map.of("a1", "a"))) {
            CallEngine engine = new CallEngine(record, "i-desk-1", SLOTS, QUEUE, WORK_MS, 800);
            CallEngine other = new CallEngine(record, "i-info-1", SLOTS, QUEUE, WORK_MS, 800);
            deployment.store.put(
                    "op",
                    "config",
                    Rows.config(
                            1,
                            Rows.route("/reorder/", "unsafe", "desk", 1_200, ",\"max_attempts\":1")
                                    + ","
                                    + Rows.route(
                                            "/info/", "safe", "info", 1_200, ",\"max_attempts\":2"),
                            Rows.service("desk", "") + "," + Rows.service("info", ""),
                            "\"key-1\""));
            deployment.store.put("servers", engine.id, Rows.engine("desk", engine.port, "a1", SLOTS));
            deployment.store.put("servers", other.id, Rows.engine("info", other.port, "a1", SLOTS));
            Deployment.Node node = deployment.add("front-a1-1", "a1");
            node.start();
            deployment.awaitReady(20);
            Map<String, Integer> statuses = new ConcurrentHashMap<>();
            AtomicInteger open = new AtomicInteger();
            long start = System.nanoTime();
            long end = System.nanoTime() + SECONDS * 1_000_000_000L;
            for (double at = System.nanoTime(); at < end; at += gapNanos()) {
                double phase = (at - start) / 1e9 % PERIOD_S;
                engine.extraShare = trouble && phase < TROUBLE_S ? 0.03 : 0;
                long wait = (long) at - System.nanoTime();
                if (wait > 0) {
                    Thread.sleep(Duration.ofNanos(wait));
                }
                    String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
                    open.incrementAndGet();
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        record.add("send    %s", id);
                                        Client.Answer answer =
                                                Client.send(
                                                        node.front,
                                                        "POST /reorder/1 HTTP/1.1\r\n"
                                                                + "Host: desk.example\r\n"
                                                                + ("Attempt-Id: " + id + "\r\n")
                                                                + "Deadline-Ms: 2500\r\n"
                                                                + "Authorization: Token key-1\r\n"
                                                                + "Content-Length: 5\r\n\r\norder",
                                                        2_500);
                                        statuses.put(id, answer.status());
                                        record.add("answer  %s status %d", id, answer.status());
                                        open.decrementAndGet();
                                    });
            }
            for (int i = 0; i < 100 && open.get() > 0; i++) {
                Thread.sleep(50);
            }
            // A request that was refused must not run later either.
            Thread.sleep(1_500);
            engine.extraShare = 0;
            int twice = 0;
            int refused = 0;
            int served = 0;
            for (Map.Entry<String, Integer> sent : statuses.entrySet()) {
                AtomicInteger runs = engine.runs.get(sent.getKey());
                int count = runs == null ? 0 : runs.get();
                int status = sent.getValue();
                served += status == 200 ? 1 : 0;
                if (count > 1) {
                    twice++;
                    record.say("BROKEN TWICE: %s ran %d times", sent.getKey(), count);
                }
                if (count > 0 && (status == 503 || status == 429)) {
                    refused++;
                    record.say("BROKEN REFUSED: %s got %d and ran", sent.getKey(), status);
                }
            }
            record.say(
                    "sent %d, served %d, rejections %d, extra answers %d, ran twice %d, refused and"
                            + " ran %d",
                    statuses.size(),
                    served,
                    engine.rejections.get(),
                    engine.extras.get(),
                    twice,
                    refused);
            record.close();
            deployment.close();
            if (served == 0 || engine.rejections.get() == 0) {
                System.exit(2);
            }
            System.exit(twice + refused > 0 ? 1 : 0);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
