import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The settings name another address of the store, with SIGHUP. Later the operator takes a key and a
 * route away. Checks that no request is handled any more as only the version before allows.
 */
public final class StoreMoves {
    private static final int INSTANCES = 2;
    private static final int CONFIG_APPLY_MILLIS = 2_500;

    /** Added to the bound, for the way of a request to the instance. */
    private static final int MARGIN_MILLIS = 500;

    private static final Set<String> RAN = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final long START = System.nanoTime();

    private StoreMoves() {}

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
                AtomicReference<Store> current = new AtomicReference<>(store);
                List<Engine> engines = new ArrayList<>();
                for (int i = 0; i < 3; i++) {
                    engines.add(new Engine(current::get, "desk", "i-" + i, 8, StoreMoves::run));
                }
                store.put("op", "config", Manifest.of(7, 1_200, 1_200, "key-1", "key-2"));
                boolean ready = true;
                for (int i = 1; i <= INSTANCES; i++) {
                    Instance instance = new Instance(temporary, "front-zone-a-" + i, store.address(), 8);
                    instance.start();
                    instances.add(instance);
                }
                for (Instance instance : instances) {
                    ready &= instance.awaitReady(20_000);
                }
                if (ready) {
                    result = play(instances, current, trouble, record);
                } else {
                    record.println("the instances are not ready");
                }
            } finally {
                for (Instance instance : instances) {
                    Files.readAllLines(instance.log()).stream()
                            .filter(line -> line.contains("SIGHUP"))
                            .forEach(record::println);
                    instance.kill();
                }
            }
            record.println("result " + result);
        }
        System.exit(result);
    }

    private static byte[] run(Http.Head head, byte[] body) throws InterruptedException {
        RAN.add(head.header("attempt-id"));
        Thread.sleep(20);
        return new byte[800];
    }

    private static int play(List<Instance> instances, AtomicReference<Store> current, boolean trouble, PrintWriter record)
            throws IOException, InterruptedException {
        Thread.sleep(5_000);
        int before = 0;
        for (Instance instance : instances) {
            before += ran(instance, "key-2", record, "before") ? 1 : 0;
        }
        if (before < instances.size()) {
            record.println("the key is not in force at first");
            return 2;
        }
        if (trouble) {
            // All that the store holds is at its new address, with the engines' check-ins.
            Store old = current.get();
            Store moved = new Store(old);
            current.set(moved);
            for (Instance instance : instances) {
                instance.settings(moved.address(), 8);
                instance.signal("HUP");
            }
            record.println("the store has another address in the settings at " + millis() + " ms, SIGHUP sent");
            Thread.sleep(5_000);
            old.close();
            record.println("the address before is closed at " + millis() + " ms");
        }
        Thread.sleep(10_000);
        current.get().put("op", "config", Manifest.of(9, 1_200, 1_200, "key-1"));
        long ack = millis();
        record.println("version 9 without key-2 acknowledged at " + ack + " ms");
        Thread.sleep(CONFIG_APPLY_MILLIS + MARGIN_MILLIS);
        int stale = 0;
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            for (Instance instance : instances) {
                sent++;
                stale += ran(instance, "key-2", record, millis() - ack + " ms after the ack") ? 1 : 0;
            }
            Thread.sleep(1_000);
        }
        record.println("requests sent later than " + CONFIG_APPLY_MILLIS + " ms after the ack with the key taken away: " + sent);
        record.println("of these run by an engine: " + stale);
        return stale > 0 ? 1 : 0;
    }

    private static boolean ran(Instance instance, String key, PrintWriter record, String when) {
        String id = String.format("%016x", 0x1000_0000L + NEXT.incrementAndGet());
        try (Client client = new Client(instance.front(), 0)) {
            client.send(Client.request("POST", "/orders/x", id, 2_500, key, new byte[600]));
            Client.Answer answer = client.read(3_000);
            record.println("request " + id + " with " + key + " " + when + ": "
                    + (answer.error() == null ? "status " + answer.status() : answer.error()) + (RAN.contains(id) ? ", ran" : ", not run"));
        } catch (IOException e) {
            record.println("request " + id + ": " + e);
        }
        return RAN.contains(id);
    }
}
