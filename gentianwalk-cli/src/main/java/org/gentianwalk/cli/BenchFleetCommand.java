package org.gentianwalk.cli;

import java.util.List;
import org.gentianwalk.bench.fleet.Experiment;
import org.gentianwalk.bench.fleet.FleetBenchmark;
import org.gentianwalk.bench.fleet.FleetTraits;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk bench fleet}: whole fleets before model engines under patterns of load. */
@Command(
        name = "fleet",
        description =
                "Runs fleets of instances before model engines on a virtual clock, and prints the"
                        + " part of the worth that callers got: mean and worst seed, urgent and"
                        + " other requests on time, prompts read again, time to the whole answer.")
public final class BenchFleetCommand extends BaseCommand {
    @Option(names = "--seeds", description = "Number of seeds.", defaultValue = "8")
    private int mSeeds = 8;

    @Option(
            names = "--only",
            description = "Part of the names of the experiments and deployments to run.",
            defaultValue = "")
    private String mOnly = "";

    @Override
    public Integer call() {
        List<FleetTraits> deployments = FleetTraits.all();
        List<Experiment> experiments = Experiment.all();
        List<FleetTraits> someDeployments =
                deployments.stream().filter(traits -> traits.name().contains(mOnly)).toList();
        List<Experiment> someExperiments =
                experiments.stream().filter(one -> one.name().contains(mOnly)).toList();
        new FleetBenchmark(System.out)
                .run(
                        someDeployments.isEmpty() ? deployments : someDeployments,
                        someExperiments.isEmpty() ? experiments : someExperiments,
                        Math.max(1, mSeeds));
        return DONE;
    }
}
