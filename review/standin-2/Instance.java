import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command and the template of the deploy file. */
final class Instance {
    private final Path mFolder;
    private final String mName;
    private final List<Integer> mPorts;
    private final Path mSettings;
    private Process mProcess;
    private String mStore;
    private int mGrace;

    Instance(Path folder, String name, String store, int graceSeconds) throws IOException {
        mFolder = folder;
        mName = name;
        mStore = store;
        mGrace = graceSeconds;
        mPorts = freePorts(4);
        mSettings = folder.resolve(name + ".yaml");
        writeSettings();
    }

    /** Writes the settings file as the platform does at a start and at a change. */
    void settings(String store, int graceSeconds) throws IOException {
        mStore = store;
        mGrace = graceSeconds;
        writeSettings();
    }

    private void writeSettings() throws IOException {
        String text = Files.readString(Path.of("deploy/instance.yaml.template"));
        text = text.replaceAll("\\{\\{#zones}}.*\\{\\{/zones}}", "\"zone-a\": \"region-a\"");
        String[][] fields = {
            {"node_name", mName},
            {"zone", "zone-a"},
            {"region", "region-a"},
            {"listen.front", "127.0.0.1:" + mPorts.get(0)},
            {"listen.ready", "127.0.0.1:" + mPorts.get(1)},
            {"listen.control", "127.0.0.1:" + mPorts.get(2)},
            {"ip}}:9464", "127.0.0.1:" + mPorts.get(3)},
            {"platform.address", mStore},
            {"bounds.retry_budget_ratio", "0.8"},
            {"bounds.budget_slack", "150"},
            {"bounds.budget_window_s", "10"},
            {"bounds.grace_s", String.valueOf(mGrace)},
        };
        for (String[] field : fields) {
            String placeholder = "{{" + field[0] + (field[0].contains("}}") ? "" : "}}");
            text = text.replace(placeholder, field[1]);
        }
        if (text.contains("{{")) {
            throw new IOException("the template has a field that is not known here: " + text);
        }
        Files.writeString(mSettings, text);
    }

    void start() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        int from = deploy.indexOf("run = \"") + 7;
        List<String> command = new ArrayList<>(List.of(deploy.substring(from, deploy.indexOf('"', from)).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(name));
        builder.environment().put("GENTIANWALK_BOOT", mSettings.toString());
        builder.environment().put("GENTIANWALK_CONFIG_CHANGE_MS", "2500");
        builder.environment().put("GENTIANWALK_UPSTREAM_CHANGE_MS", "2500");
        builder.environment().put("GENTIANWALK_EXPOSURE_SHARE", "");
        builder.environment().put("GENTIANWALK_EXPOSURE_SLACK", "");
        builder.environment().put("GENTIANWALK_ROLLBACK_MS", "");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".log").toFile()));
        mProcess = builder.start();
    }

    Process process() {
        return mProcess;
    }

    Path log() {
        return mFolder.resolve(mName + ".log");
    }

    int front() {
        return mPorts.get(0);
    }

    /** Sends a signal to the process that this script started. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(mProcess.pid())).inheritIO().start().waitFor();
    }

    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), mPorts.get(1)), 500);
            socket.setSoTimeout(1_000);
            OutputStream out = socket.getOutputStream();
            out.write(Http.bytes("GET /gentianwalk/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
            InputStream in = Http.buffered(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            if (ready()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    void kill() {
        if (mProcess != null && mProcess.isAlive()) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns free ports below the range of outgoing channels, which could take them meanwhile. */
    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int tries = 0; ports.size() < count && tries < 1_000; tries++) {
            int port = ThreadLocalRandom.current().nextInt(11_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (!ports.contains(socket.getLocalPort())) {
                    ports.add(port);
                }
            } catch (IOException e) {
                // The port is taken; another one is tried.
            }
        }
        if (ports.size() < count) {
            throw new IOException("there are no free ports");
        }
        return ports;
    }
}
