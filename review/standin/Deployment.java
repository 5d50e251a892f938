import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the programs of the deploy file as processes, started
 * with its command and with settings made from its template, beside a store stand-in.
 */
final class Deployment implements AutoCloseable {
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    final Store store = new Store();
    final List<Node> nodes = new ArrayList<>();
    private final Path mRoot = Path.of("").toAbsolutePath();
    private final Path mTemp;
    private final Map<String, String> mZones;
    private final Set<Process> mStarted = ConcurrentHashMap.newKeySet();

    Deployment(Map<String, String> zones) throws IOException {
        mZones = new LinkedHashMap<>(zones);
        mTemp = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** One machine with its process. */
    final class Node {
        final String name;
        final String zone;
        final int front = freePort();
        final int ready = freePort();
        final int control = freePort();
        final int metrics = freePort();
        final int storePort;
        volatile Process process;
        volatile long stoppedAt;

        Node(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
            storePort = store.open(name);
        }

        void start() throws IOException {
            Path settings = mTemp.resolve(name + ".yaml");
            Files.writeString(settings, render(this));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(mRoot.toFile());
            builder.environment().put("GENTIANWALK_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(mTemp.resolve(name + ".log").toFile()));
            process = builder.start();
            mStarted.add(process);
            stoppedAt = 0;
        }

        /** Sends a signal such as TERM. */
        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        /** Asks for the readiness as the platform does. */
        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", ready), 1_000);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(
                                "GET /gentianwalk/readyz HTTP/1.1\r\nHost: ready\r\n\r\n"
                                        .getBytes());
                InputStream in = socket.getInputStream();
                Http.Message head = Http.head(in);
                return head != null && head.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String log() throws IOException {
            return Files.readString(mTemp.resolve(name + ".log"));
        }
    }

    Node add(String name, String zone) throws IOException {
        Node node = new Node(name, zone);
        nodes.add(node);
        return node;
    }

    /** Waits until all machines say that they are ready. */
    void awaitReady(double seconds) throws InterruptedException, IOException {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (System.nanoTime() > until || !node.process.isAlive()) {
                    throw new IOException(node.name + " is not ready:\n" + node.log());
                }
                Thread.sleep(100);
            }
        }
    }

    private List<String> command() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(mRoot.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        return Arrays.asList(run.group(1).split(" "));
    }

    private String render(Node node) throws IOException {
        StringBuilder zones = new StringBuilder();
        mZones.forEach(
                (zone, region) ->
                        zones.append(zones.isEmpty() ? "" : ",")
                                .append("\"" + zone + "\": \"" + region + "\""));
        String text = Files.readString(mRoot.resolve("deploy/instance.yaml.template"));
        text = text.replaceAll("\\{\\{#zones}}.*\\{\\{/zones}}", zones.toString());
        text = text.replace("{{ip}}:9464", "127.0.0.1:" + node.metrics);
        Map<String, String> values =
                Map.ofEntries(
                        Map.entry("node_name", node.name),
                        Map.entry("zone", node.zone),
                        Map.entry("region", mZones.get(node.zone)),
                        Map.entry("listen.front", "127.0.0.1:" + node.front),
                        Map.entry("listen.ready", "127.0.0.1:" + node.ready),
                        Map.entry("listen.control", "127.0.0.1:" + node.control),
                        Map.entry("platform.address", "127.0.0.1:" + node.storePort),
                        Map.entry("bounds.retry_budget_ratio", "0.8"),
                        Map.entry("bounds.budget_slack", "150"),
                        Map.entry("bounds.budget_window_s", "10"),
                        Map.entry("bounds.grace_s", "8"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("the template has an unknown field:\n" + text);
        }
        return text;
    }

    /** Returns a free port below those that systems choose for outgoing channels. */
    static int freePort() {
        for (int i = 0; i < 1_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            if (!TAKEN.add(port)) {
                continue;
            }
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another program listens there.
            }
        }
        throw new IllegalStateException("no port is free");
    }

    private void killAll() {
        for (Process process : mStarted) {
            process.destroyForcibly();
        }
        for (Process process : mStarted) {
            try {
                process.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        try (var files = Files.list(mTemp)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(mTemp);
        } catch (IOException e) {
            // The temporary folder stays.
        }
    }

    @Override
    public void close() {
        killAll();
    }
}
