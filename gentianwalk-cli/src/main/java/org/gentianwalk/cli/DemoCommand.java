package org.gentianwalk.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import org.gentianwalk.server.log.Logging;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.node.ServingNode;
import org.gentianwalk.standin.engine.EngineStandin;
import org.jboss.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk demo}: engines and instances in one process on loopback. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs three engine stand-ins and three instances in two availability zones on"
                        + " loopback, and kills an engine now and then.")
public final class DemoCommand implements Callable<Integer> {
    static final String KEY = "demo-key";
    static final String MODEL = "catalogue-writer";

    private static final Logger LOG = Logger.getLogger(DemoCommand.class);
    private static final Duration BETWEEN_FAULTS = Duration.ofSeconds(6);
    private static final Duration DOWN = Duration.ofSeconds(3);
    private static final int MAX_TOKENS_UNTIL_DEATH = 40;

    /** What may happen to the engines. */
    enum Fault {
        none,
        engine
    }

    @Option(
            names = "--port",
            defaultValue = "8080",
            description = "Port of the first instance (default: ${DEFAULT-VALUE}).")
    private int mPort;

    @Option(
            names = "--fault",
            defaultValue = "engine",
            description =
                    "What fails now and then: ${COMPLETION-CANDIDATES} (default:"
                            + " ${DEFAULT-VALUE}).")
    private Fault mFault = Fault.engine;

    @Option(
            names = "--seconds",
            defaultValue = "0",
            description = "Ends the demonstration after this time; 0 runs until interrupted.")
    private int mSeconds;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of the times of failure (default: ${DEFAULT-VALUE}).")
    private long mSeed;

    @Override
    public Integer call() throws IOException, InterruptedException, MeshException, CliException {
        Path home = Path.of(System.getProperty("gentianwalk.home", "."));
        Logging logging = Logging.start("demo", "info", System.out);
        try (DemoFleet fleet = new DemoFleet(home.resolve("examples/demo"), mPort)) {
            printHelp(fleet.nodes());
            DemoCaller caller = new DemoCaller(fleet.nodes().getFirst().uri());
            Thread calls = Thread.ofVirtual().start(caller);
            run(fleet.engines());
            calls.interrupt();
            return caller.failures() == 0 ? 0 : 1;
        } finally {
            logging.close();
        }
    }

    private void run(List<EngineStandin> engines) throws IOException, InterruptedException {
        Random random = new Random(mSeed);
        long end = System.nanoTime() + Duration.ofSeconds(mSeconds).toNanos();
        while (mSeconds == 0 || System.nanoTime() - end < 0) {
            Thread.sleep(mSeconds == 0 ? BETWEEN_FAULTS : shorter(BETWEEN_FAULTS, end));
            EngineStandin busy =
                    engines.stream().filter(e -> e.running() > 0).findAny().orElse(null);
            if (mFault == Fault.none || busy == null) {
                continue;
            }
            int tokens = 1 + random.nextInt(MAX_TOKENS_UNTIL_DEATH);
            LOG.infof("demo: %s dies after %s more tokens", busy.options().id(), tokens);
            busy.faults().dieAfterTokens(tokens);
            Thread.sleep(DOWN);
            busy.kill();
            busy.restart();
            LOG.infof("demo: %s is back", busy.options().id());
        }
    }

    private static Duration shorter(Duration duration, long end) {
        long left = Math.max(1, end - System.nanoTime());
        return Duration.ofNanos(Math.min(left, duration.toNanos()));
    }

    private static void printHelp(List<ServingNode> instances) {
        String uri = instances.getFirst().uri().toString();
        StringBuilder text = new StringBuilder("\nInstances:");
        instances.forEach(
                i -> text.append(' ').append(i.settings().id()).append(' ').append(i.uri()));
        text.append("\n\nWith curl:\n  curl -N ").append(uri).append("/v1/chat/completions");
        text.append(" -H 'Authorization: Bearer ").append(KEY).append("' -d '{\"model\":\"");
        text.append(MODEL).append("\",\"stream\":true,\"max_tokens\":200,\"messages\":");
        text.append("[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n\nWith an OpenAI client:\n");
        text.append("  base_url=\"").append(uri).append("/v1\", api_key=\"").append(KEY);
        text.append("\", model=\"").append(MODEL).append("\"\n");
        System.out.println(text);
    }
}
