import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines of a zone of three get SIGTERM, one second after the other, while requests go on. The
 * platform's balancer is played as its page says. With TROUBLE=0 no machine is stopped.
 */
final class EndOfGrace {
    private static final int ROUNDS = 4;
    private static final double ROUND_S = 19;
    private static final double RATE = 120;
    private static final int WORK_MS = 21;

    /** The requesters' time limit. */
    private static final int LIMIT_MS = 2_500;

    private static final double GRACE_S = 8;

    private final Record mRecord;
    private final Deployment mDeployment;
    private final Map<Deployment.Node, Integer> mMisses = new ConcurrentHashMap<>();
    private final List<Cut> mCuts = new ArrayList<>();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();

    /** A channel that ended without a complete answer. */
    private record Cut(String id, String node, double sentAfterTerm, double cutAfterTerm) {}

    private EndOfGrace(Record record, Deployment deployment) {
        mRecord = record;
        mDeployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = new Deployment(Map.of("a1", "a"))) {
            int result = new EndOfGrace(record, deployment).run(trouble);
            record.close();
            deployment.close();
            System.exit(result);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private int run(boolean trouble) throws Exception {
        String model =
                ",\"engine\":{\"slots\":24,\"kv_capacity\":88000,\"kv_token_bytes\":163840,"
                        + "\"link_mbps\":130000.0,\"moves\":true,\"backups\":false,\"stride\":9,"
                        + "\"handle_s\":4.0,\"models\":[{\"name\":\"m\"}]}";
        mDeployment.store.put(
                "op",
                "config",
                Rows.config(
                        1,
                        Rows.route("/reorder/", "unsafe", "desk", 1_200, ",\"max_attempts\":1")
                                + ","
                                + Rows.route(
                                        "/quote/",
                                        "streaming",
                                        "writer",
                                        25_000,
                                        ",\"max_attempts\":5,\"resumable\":true,\"gap_aim_ms\":700,"
                                                + "\"sticky_sessions\":true"),
                        Rows.service("desk", "") + "," + Rows.service("writer", model),
                        "\"key-1\""));
        List<CallEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            CallEngine engine = new CallEngine(mRecord, "i-desk-" + i, 6, 24, WORK_MS, 800);
            engines.add(engine);
            mDeployment.store.put("servers", engine.id, Rows.engine("desk", engine.port, "a1", 6));
        }
        // 130 events in about 20 s, which is below the requesters' limit of 25 s.
        StreamEngine writer = new StreamEngine("i-writer-1", 130, 150);
        mDeployment.store.put("servers", writer.id, Rows.engine("writer", writer.port, "a1", 24));
        for (int i = 1; i <= 3; i++) {
            mDeployment.add("front-a1-" + i, "a1").start();
        }
        mDeployment.awaitReady(30);
        Thread.ofVirtual().start(this::balance);
        long start = System.nanoTime();
        Thread.ofVirtual().start(() -> send(start + (long) (ROUNDS * ROUND_S * 1e9)));
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(5_000);
            if (trouble) {
                stop(mDeployment.nodes.get(round % 3), mDeployment.nodes.get((round + 1) % 3));
            }
            long left = start + (long) ((round + 1) * ROUND_S * 1e9) - System.nanoTime();
            Thread.sleep(Math.max(0, left / 1_000_000));
        }
        Thread.sleep(3_500);
        int broken = 0;
        for (Cut cut : mCuts) {
            boolean ran = engines.stream().anyMatch(engine -> engine.runs.containsKey(cut.id()));
            // Within the time that counts, not excused by an early start, and passed on.
            if (ran && cut.sentAfterTerm() > 3 && cut.cutAfterTerm() < GRACE_S + 1) {
                broken++;
                mRecord.say(
                        "BROKEN LOST: %s at %s, sent %.2f s after SIGTERM, ran, cut at %.2f s",
                        cut.id(),
                        cut.node(),
                        cut.sentAfterTerm(),
                        cut.cutAfterTerm());
            }
        }
        mRecord.say(
                "served %d, refused %d, cut %d, broken %d",
                mServed.get(),
                mRefused.get(),
                mCuts.size(),
                broken);
        return broken > 0 ? 1 : mServed.get() > 0 ? 0 : 2;
    }

    /** Sends SIGTERM to two machines, one second apart, and starts each again when it has ended. */
    private void stop(Deployment.Node first, Deployment.Node second) throws Exception {
        // A stream that began before SIGTERM is in progress at each of the two.
        Thread.ofVirtual().start(() -> quote(first));
        Thread.ofVirtual().start(() -> quote(second));
        Thread.sleep(1_000);
        for (Deployment.Node node : List.of(first, second)) {
            node.stoppedAt = System.nanoTime();
            mRecord.add("term    SIGTERM to %s", node.name);
            node.signal("TERM");
            Thread.ofVirtual().start(() -> restart(node));
            Thread.sleep(1_000);
        }
    }

    private void restart(Deployment.Node node) {
        try {
            if (!node.process.waitFor((long) (GRACE_S * 1000), TimeUnit.MILLISECONDS)) {
                mRecord.add("kill    SIGKILL to %s", node.name);
                node.process.destroyForcibly().waitFor();
            }
            mRecord.add(
                    "end     %s has ended after %.2f s",
                    node.name,
                    (System.nanoTime() - node.stoppedAt) / 1e9);
            Thread.sleep(1_500);
            node.start();
        } catch (Exception e) {
            mRecord.say("restart failed: %s", e);
        }
    }

    private void quote(Deployment.Node node) {
        String id = id();
        mRecord.add("send    %s (stream) to %s", id, node.name);
        Client.Answer answer =
                Client.send(
                        node.front,
                        "POST /quote/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: "
                                + id
                                + "\r\nDeadline-Ms: 25000\r\nModel: m\r\nToken-Usage: 8000,1170\r\n"
                                + "Prompt-Prefix: "
                                + id
                                + ":8000\r\nAuthorization: Token key-1\r\n"
                                + "Content-Length: 5\r\n\r\nquote",
                        25_000);
        mRecord.add("answer  %s (stream) status %d", id, answer.status());
    }

    /** Asks each machine for its readiness once a second; two misses take it out of rotation. */
    private void balance() {
        try {
            while (true) {
                for (Deployment.Node node : mDeployment.nodes) {
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        if (node.isReady()) {
                                            mMisses.put(node, 0);
                                        } else {
                                            mMisses.merge(node, 1, Integer::sum);
                                        }
                                    });
                }
                Thread.sleep(1_000);
            }
        } catch (InterruptedException e) {
            return;
        }
    }

    /** Chooses a machine for a new channel: if fewer than half are in rotation, one of all. */
    private Deployment.Node choose() {
        List<Deployment.Node> ready = new ArrayList<>();
        for (Deployment.Node node : mDeployment.nodes) {
            if (mMisses.getOrDefault(node, 0) < 2) {
                ready.add(node);
            }
        }
        List<Deployment.Node> choice =
                ready.size() * 2 < mDeployment.nodes.size() ? mDeployment.nodes : ready;
        return choice.get(ThreadLocalRandom.current().nextInt(choice.size()));
    }

    private void send(long until) {
        try {
            for (double at = System.nanoTime(); at < until; at += 1e9 / RATE) {
                long wait = (long) at - System.nanoTime();
                if (wait > 0) {
                    Thread.sleep(Duration.ofNanos(wait));
                }
                Deployment.Node node = choose();
                Thread.ofVirtual().start(() -> order(node));
            }
        } catch (InterruptedException e) {
            return;
        }
    }

    private void order(Deployment.Node node) {
        String id = id();
        long sent = System.nanoTime();
        long term = node.stoppedAt;
        mRecord.add("send    %s to %s", id, node.name);
        Client.Answer answer =
                Client.send(
                        node.front,
                        "POST /reorder/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: "
                                + id
                                + "\r\nDeadline-Ms: "
                                + LIMIT_MS
                                + "\r\nAuthorization: Token key-1\r\n"
                                + "Content-Length: 5\r\n\r\norder",
                        LIMIT_MS);
        mRecord.add(
                "answer  %s status %d%s%s",
                id,
                answer.status(),
                answer.broken() ? ", no complete answer " : "",
                answer.error());
        if (answer.broken() && term != 0) {
            synchronized (mCuts) {
                mCuts.add(
                        new Cut(
                                id,
                                node.name,
                                (sent - term) / 1e9,
                                (System.nanoTime() - term) / 1e9));
            }
        } else if (answer.status() == 200) {
            mServed.incrementAndGet();
        } else {
            mRefused.incrementAndGet();
        }
    }

    private static String id() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }
}
