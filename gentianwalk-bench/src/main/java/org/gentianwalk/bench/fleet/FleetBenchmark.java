package org.gentianwalk.bench.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;

/** Runs experiments on modelled fleets over several seeds and prints the results for callers. */
public final class FleetBenchmark {
    private static final String ROW = "%-12s %-18s %6s %6s %7s %7s %6s %7s %7s%n";

    private final PrintStream mOut;

    /**
     * Creates a benchmark.
     *
     * @param out receives one line per deployment and experiment
     */
    public FleetBenchmark(PrintStream out) {
        mOut = out;
    }

    /**
     * Runs every experiment on every deployment.
     *
     * @param deployments the deployments
     * @param experiments the experiments
     * @param seeds number of seeds, at least 1
     */
    public void run(List<FleetTraits> deployments, List<Experiment> experiments, int seeds) {
        mOut.printf(
                ROW,
                "deployment",
                "experiment",
                "worth",
                "worst",
                "urgent",
                "others",
                "again",
                "p50 ms",
                "p95 ms");
        for (FleetTraits deployment : deployments) {
            for (Experiment experiment : experiments) {
                print(deployment, experiment, runSeeds(deployment, experiment, seeds));
            }
        }
    }

    private static List<FleetResult> runSeeds(
            FleetTraits deployment, Experiment experiment, int seeds) {
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(
                        seed ->
                                FleetModel.run(
                                        deployment,
                                        seed,
                                        Experiment.ARRIVALS_MILLIS,
                                        experiment.patterns()))
                .toList();
    }

    private void print(FleetTraits deployment, Experiment experiment, List<FleetResult> results) {
        double worth = 0;
        double worst = 1;
        double urgent = 0;
        double others = 0;
        double again = 0;
        List<Long> p50s = new ArrayList<>();
        List<Long> p95s = new ArrayList<>();
        for (FleetResult result : results) {
            worth += result.worth() / results.size();
            worst = Math.min(worst, result.worth());
            urgent += result.kind(0).onTime() / results.size();
            others += result.kind(1).onTime() / results.size();
            again += result.readAgain() / results.size();
            p50s.add(result.kind(1).completionMillis(0.5));
            p95s.add(result.kind(1).completionMillis(0.95));
        }
        mOut.printf(
                ROW,
                deployment.name(),
                experiment.name(),
                format(worth),
                format(worst),
                format(urgent),
                format(others),
                format(again),
                median(p50s),
                median(p95s));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private static long median(List<Long> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }
}
