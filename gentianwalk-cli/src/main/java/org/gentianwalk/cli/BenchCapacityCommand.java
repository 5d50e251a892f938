package org.gentianwalk.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import org.gentianwalk.bench.capacity.CapacityBenchmark;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code gentianwalk bench capacity}: the slopes behind docs/CAPACITY.md. */
@Command(
        name = "capacity",
        description = "Measures how the cost of each role grows; writes a table and JSON.")
public final class BenchCapacityCommand extends BaseCommand {
    @Parameters(paramLabel = "DIR", description = "Folder for capacity.md and capacity.json.")
    private Path mFolder = Path.of("out");

    @Override
    public Integer call() throws Exception {
        Files.createDirectories(mFolder);
        CapacityBenchmark.write(new CapacityBenchmark().run(false), mFolder);
        return DONE;
    }
}
