package org.gentianwalk.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.gentianwalk.bench.policy.PolicyBenchmark;
import org.gentianwalk.bench.policy.PolicyReport;
import org.gentianwalk.bench.report.PolicyPage;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk bench policy}: the experiments with the decisions under load. */
@Command(
        name = "policy",
        description =
                "Runs the scheduler and its baselines on fakes of engines and a virtual clock, and"
                        + " prints each figure with its target.")
public final class BenchPolicyCommand extends BaseCommand {
    @Option(names = "--quick", description = "Two seeds instead of 20.")
    private boolean mQuick;

    @Option(names = "--seeds", description = "Number of seeds.")
    private int mSeeds;

    @Option(names = "--first-seed", description = "The first seed.", defaultValue = "1")
    private long mFirstSeed = 1;

    @Option(
            names = "--only",
            description = "Part of the name of the scenarios to run.",
            defaultValue = "")
    private String mOnly = "";

    @Option(
            names = "--output",
            paramLabel = "DIR",
            description = "Folder for the JSON report and a page with plots.")
    private @Nullable Path mOutput;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PolicyBenchmark.Options base =
                mQuick ? PolicyBenchmark.Options.quick() : PolicyBenchmark.Options.full();
        Path output = mOutput;
        if (output != null) {
            Files.createDirectories(output);
        }
        PolicyReport report =
                new PolicyBenchmark(System.out)
                        .run(
                                new PolicyBenchmark.Options(
                                        mSeeds > 0 ? mSeeds : base.seeds(),
                                        mFirstSeed,
                                        base.threads(),
                                        mOnly,
                                        base.controlSeconds(),
                                        output == null ? null : output.resolve("policy.json")));
        if (output != null) {
            out().println("page: " + new PolicyPage(report).write(output));
        }
        return DONE;
    }
}
