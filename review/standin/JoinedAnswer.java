import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Safe requests with long answers. For some seconds at a time, one engine of three breaks off two in
 * a hundred of its answers, each time another one; with TROUBLE=0 none does.
 */
final class JoinedAnswer {
    private static final int BODY_BYTES = 1_000_000;
    private static final double RATE = 50;
    private static final int SECONDS = 64;
    private static final double TROUBLE_S = 5.5;
    private static final double PERIOD_S = 8;

    private JoinedAnswer() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = new Deployment(Map.of("a1", "a"))) {
            deployment.store.put(
                    "op",
                    "config",
                    Rows.config(
                            1,
                            Rows.route("/look/", "safe", "desk", 5_000, ",\"max_attempts\":2"),
                            Rows.service("desk", ""),
                            "\"key-1\""));
            List<LongEngine> engines = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                LongEngine engine = new LongEngine(record, "i-desk-" + i, BODY_BYTES);
                engines.add(engine);
                deployment.store.put("servers", engine.id, Rows.engine("desk", engine.port, "a1", 6));
            }
            Deployment.Node node = deployment.add("front-a1-1", "a1");
            node.start();
            deployment.awaitReady(20);
            AtomicInteger whole = new AtomicInteger();
            AtomicInteger mixed = new AtomicInteger();
            AtomicInteger failed = new AtomicInteger();
            AtomicInteger open = new AtomicInteger();
            long start = System.nanoTime();
            long end = start + SECONDS * 1_000_000_000L;
            for (double at = start; at < end; at += 1e9 / RATE) {
                double phase = (at - start) / 1e9 % PERIOD_S;
                int faulty = (int) ((at - start) / 1e9 / PERIOD_S) % engines.size();
                for (int i = 0; i < engines.size(); i++) {
                    boolean breaks = trouble && i == faulty && phase < TROUBLE_S;
                    engines.get(i).breakShare = breaks ? 0.02 : 0;
                }
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
                                                    "GET /look/1 HTTP/1.1\r\n"
                                                            + "Host: desk.example\r\n"
                                                            + ("Attempt-Id: " + id + "\r\n")
                                                            + "Deadline-Ms: 5000\r\n"
                                                            + "Authorization: Token key-1\r\n\r\n",
                                                    6_000);
                                    record.add(
                                            "answer  %s status %d, %d bytes%s",
                                            id,
                                            answer.status(),
                                            answer.body().length,
                                            answer.broken() ? ", broken off" : ", complete");
                                    if (answer.status() != 200 || answer.broken()) {
                                        failed.incrementAndGet();
                                    } else if (Arrays.equals(
                                            answer.body(), LongEngine.body(id, BODY_BYTES))) {
                                        whole.incrementAndGet();
                                    } else {
                                        mixed.incrementAndGet();
                                        record.say(
                                                "BROKEN MIXED: %s got a complete 200 of %d bytes;"
                                                        + " the engines' body has %d",
                                                id,
                                                answer.body().length,
                                                BODY_BYTES);
                                    }
                                    open.decrementAndGet();
                                });
            }
            for (int i = 0; i < 140 && open.get() > 0; i++) {
                Thread.sleep(50);
            }
            record.say(
                    "whole %d, failed %d, broken off by the engine %d, mixed %d",
                    whole.get(),
                    failed.get(),
                    engines.stream().mapToInt(engine -> engine.brokenOff.get()).sum(),
                    mixed.get());
            boolean ran = whole.get() > 0;
            record.close();
            deployment.close();
            System.exit(mixed.get() > 0 ? 1 : ran ? 0 : 2);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
