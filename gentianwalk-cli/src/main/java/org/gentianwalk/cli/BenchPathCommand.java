package org.gentianwalk.cli;

import java.io.IOException;
import java.time.Duration;
import org.gentianwalk.bench.path.PathBenchmark;
import org.gentianwalk.bench.path.PathOptions;
import org.gentianwalk.server.log.Logging;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk bench path}: the delay that one instance adds. */
@Command(
        name = "path",
        description =
                "Streams through one instance and directly from stand-in engines in the same run,"
                        + " and prints both delays and their ratio.")
public final class BenchPathCommand extends BaseCommand {
    @Option(names = "--streams", description = "Concurrent streams.", defaultValue = "1000")
    private int mStreams = 1000;

    @Option(names = "--rate", description = "Tokens a second.", defaultValue = "10000")
    private int mRate = 10_000;

    @Option(names = "--seconds", description = "Length of each phase.", defaultValue = "10")
    private int mSeconds = 10;

    @Option(names = "--rounds", description = "Rounds of both phases.", defaultValue = "2")
    private int mRounds = 2;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PathOptions options =
                new PathOptions(mStreams, mRate, Duration.ofSeconds(mSeconds), mRounds);
        // Decision lines of thousands of requests would be part of the measurement.
        try (Logging _ = Logging.start("bench", "warn", System.err)) {
            out().println(new PathBenchmark(options).run().text());
            return DONE;
        }
    }
}
