import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The store turns the machines of one region away for some seconds, and the operator takes a key away
 * meanwhile. Then each machine is asked with the key. With TROUBLE=0 the store turns
 * nobody away.
 */
final class StaleConfig {
    private static final int ROUNDS = 10;
    private static final int MACHINES_A = 8;
    private static final int MACHINES_B = 4;

    /** How long the store turns machines away. */
    private static final int DOWN_MS = 3_500;

    /** Time from the operator's change to the end of the disturbance. */
    private static final int CHANGE_MS = 1_500;

    /** Time from the end to the requests; longer than stable_window_ms and config_apply_ms. */
    private static final int CALM_MS = 4_700;

    private StaleConfig() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = new Deployment(zones())) {
            int result = run(record, deployment, trouble);
            record.close();
            deployment.close();
            System.exit(result);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private static Map<String, String> zones() {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("a1", "a");
        zones.put("b1", "b");
        return zones;
    }

    private static String config(int version, String key) {
        return Rows.config(
                version,
                Rows.route("/look/", "safe", "desk", 1_200, ",\"max_attempts\":2"),
                Rows.service("desk", ""),
                "\"key-kept\",\"" + key + "\"");
    }

    private static int run(Record record, Deployment deployment, boolean trouble)
            throws Exception {
        Store store = deployment.store;
        List<CallEngine> engines = new ArrayList<>();
        for (String zone : List.of("a1", "b1")) {
            engines.add(new CallEngine(record, "i-desk-" + zone, 6, 24, 20, 800));
        }
        store.put("op", "config", config(1, "key-0"));
        Runnable beat =
                () -> {
                    for (CallEngine engine : engines) {
                        String zone = engine.id.substring(engine.id.length() - 2);
                        store.put("servers", engine.id, Rows.engine("desk", engine.port, zone, 6));
                    }
                };
        beat.run();
        for (int i = 1; i <= MACHINES_A; i++) {
            deployment.add("front-a1-" + i, "a1").start();
        }
        for (int i = 1; i <= MACHINES_B; i++) {
            deployment.add("front-b1-" + i, "b1").start();
        }
        deployment.awaitReady(30);
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                while (true) {
                                    beat.run();
                                    Thread.sleep(1_200);
                                }
                            } catch (InterruptedException e) {
                                return;
                            }
                        });
        Thread.sleep(4_000);
        int broken = 0;
        int refused = 0;
        int kept = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            String taken = "key-" + (round - 1);
            record.add("down    round %d: the store turns region b away", round);
            turnAway(deployment, trouble ? Store.Mode.SILENT : Store.Mode.SERVES);
            Thread.sleep(DOWN_MS - CHANGE_MS);
            store.put("op", "config", config(round + 1, "key-" + round));
            long acknowledged = System.nanoTime();
            record.add("change  version %d takes %s away", round + 1, taken);
            Thread.sleep(CHANGE_MS);
            turnAway(deployment, Store.Mode.SERVES);
            record.add("up      the store serves all");
            Thread.sleep(CALM_MS);
            for (Deployment.Node node : deployment.nodes) {
                kept += ask(record, node, "key-kept") == 200 ? 1 : 0;
                double since = (System.nanoTime() - acknowledged) / 1e9;
                int status = ask(record, node, taken);
                if (status == 200) {
                    broken++;
                    record.say(
                            "BROKEN CONFIG: round %d, %s serves %s, which version %d took away"
                                    + " %.2f s before",
                            round, node.name, taken, round + 1, since);
                } else if (status == 401) {
                    refused++;
                }
            }
        }
        record.say("kept key served %d, taken key refused %d, broken %d", kept, refused, broken);
        return broken > 0 ? 1 : kept > 0 && refused > 0 ? 0 : 2;
    }

    private static void turnAway(Deployment deployment, Store.Mode mode) {
        for (Deployment.Node node : deployment.nodes) {
            if (node.zone.equals("b1")) {
                deployment.store.mode(node.name, mode);
            }
        }
    }

    private static int ask(Record record, Deployment.Node node, String key) {
        String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        record.add("send    %s to %s with %s", id, node.name, key);
        Client.Answer answer =
                Client.send(
                        node.front,
                        "GET /look/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: "
                                + id
                                + "\r\nDeadline-Ms: 2000\r\nAuthorization: Token "
                                + key
                                + "\r\n\r\n",
                        2_500);
        record.add("answer  %s status %d", id, answer.status());
        return answer.status();
    }
}
