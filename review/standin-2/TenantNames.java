import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version of the manifest adds two tenants, whose names have letters beyond ASCII. Checks that an
 * engine never gets the same tenant for the keys of different tenants.
 */
public final class TenantNames {
    private static final int CONFIG_APPLY_MILLIS = 2_500;
    private static final Map<String, String> TENANT_OF_RUN = new ConcurrentHashMap<>();
    private static final AtomicInteger NEXT = new AtomicInteger();

    private TenantNames() {}

    /** Runs the case; the arguments are its folder and whether there is trouble. */
    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = arguments[1].equals("1");
        Path temporary = Files.createTempDirectory("gentianwalk-review");
        int result = 2;
        Instance instance = null;
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")))) {
            try {
                Store store = new Store();
                new Engine(store, "desk", "i-1", 8, TenantNames::run);
                String first = Manifest.of(7, 1_200, 1_200, "key-1");
                store.put("op", "config", first);
                instance = new Instance(temporary, "front-zone-a-1", store.address(), 8);
                instance.start();
                if (instance.awaitReady(20_000)) {
                    result = play(instance, store, first, trouble, record);
                } else {
                    record.println("the instance is not ready");
                }
            } finally {
                if (instance != null) {
                    instance.kill();
                }
            }
            record.println("result " + result);
        }
        System.exit(result);
    }

    private static byte[] run(Http.Head head, byte[] body) throws InterruptedException {
        TENANT_OF_RUN.put(head.header("attempt-id"), String.valueOf(head.header("tenant")));
        Thread.sleep(20);
        return new byte[800];
    }

    private static int play(Instance instance, Store store, String first, boolean trouble, PrintWriter record)
            throws InterruptedException {
        // Lodz and Zodz, with and without the letters of their language.
        String one = trouble ? "\u0141\u00f3d\u017a" : "Lodz";
        String other = trouble ? "\u017b\u00f3d\u017a" : "Zodz";
        String added =
                ",{\"name\":" + Json.text(one) + ",\"api_keys\":[\"key-2\"]},{\"name\":" + Json.text(other)
                        + ",\"api_keys\":[\"key-3\"]}]}";
        store.put("op", "config", first.replace("\"version\":7", "\"version\":9").replaceAll("]}$", java.util.regex.Matcher.quoteReplacement(added)));
        Thread.sleep(CONFIG_APPLY_MILLIS + 500);
        Map<String, String> tenantOfKey = Map.of("key-1", "huka270", "key-2", one, "key-3", other);
        Map<String, String> keyOfTenant = new HashMap<>();
        int foreign = 0;
        for (int i = 0; i < 30; i++) {
            String key = "key-" + (1 + i % 3);
            String id = String.format("%016x", 0x1000_0000L + NEXT.incrementAndGet());
            try (Client client = new Client(instance.front(), 0)) {
                client.send(Client.request("POST", "/orders/x", id, 2_500, key, new byte[600]));
                Client.Answer answer = client.read(3_000);
                String got = TENANT_OF_RUN.get(id);
                String holder = got == null ? key : keyOfTenant.computeIfAbsent(got, tenant -> key);
                foreign += holder.equals(key) ? 0 : 1;
                record.println("request " + id + " with " + key + " of tenant " + text(tenantOfKey.get(key), true) + ": status " + answer.status()
                        + ", the engine got tenant " + (got == null ? "none" : text(got, false))
                        + (holder.equals(key) ? "" : ", as for " + holder));
            } catch (IOException e) {
                record.println("request " + id + ": " + e);
            }
        }
        record.println("runs: " + TENANT_OF_RUN.size() + "; with the tenant of another key: " + foreign);
        return TENANT_OF_RUN.isEmpty() ? 2 : foreign > 0 ? 1 : 0;
    }

    /** Returns a name with its bytes: those of a manifest in UTF-8, or those of a header. */
    private static String text(String name, boolean manifest) {
        byte[] bytes = name.getBytes(manifest ? StandardCharsets.UTF_8 : StandardCharsets.ISO_8859_1);
        StringBuilder hex = new StringBuilder();
        for (byte b : bytes) {
            hex.append(String.format("%02x", b));
        }
        return name.replaceAll("[^ -~]", ".") + " (" + hex + ")";
    }
}
