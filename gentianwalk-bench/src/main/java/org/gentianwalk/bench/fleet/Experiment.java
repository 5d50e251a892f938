package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * A named combination of load and failure patterns.
 *
 * @param name name in reports and for selection
 * @param patterns patterns applied while requests arrive
 */
public record Experiment(String name, List<Pattern> patterns) {
    /** Duration of the arrivals, milliseconds. */
    public static final long ARRIVALS_MILLIS = 34_000;

    private static final Pattern ZONE_CRASHES = Patterns.zoneCrashes(4_500, 6_500, 1_200);
    private static final Pattern REFRESH_BURST = Patterns.burst(1, 2.4, 3_000, 9_000);
    private static final Pattern QUOTE_BURST = Patterns.burst(0, 1.6, 13_000, 16_500);

    public Experiment {
        patterns = List.copyOf(patterns);
    }

    /**
     * Returns an experiment without bursts or failures.
     *
     * @return the experiment
     */
    public static Experiment calm() {
        return new Experiment("calm", List.of());
    }

    /**
     * Returns an experiment in which the zones lose about nine of ten engines in turn, for 1.2 s
     * each.
     *
     * @return the experiment
     */
    public static Experiment zoneCrashes() {
        return new Experiment("zone-crashes", List.of(ZONE_CRASHES));
    }

    /**
     * Returns zone crashes combined with bursts: the less urgent kind of request arrives 2.4 times
     * as often for six seconds, and later the urgent kind 1.6 times as often.
     *
     * @return the experiment
     */
    public static Experiment burst() {
        return heavy("burst", List.of());
    }

    /**
     * Returns the burst experiment with, in addition, one engine in seven slowed down by a factor
     * of five and a release that replaces ten engines.
     *
     * @return the experiment
     */
    public static Experiment slowAndRelease() {
        return heavy(
                "slow-and-release",
                List.of(
                        Patterns.slowEngines(0.15, 5, 14_000, 20_000),
                        Patterns.release(17_000, 900, 10)));
    }

    /**
     * Returns all experiments.
     *
     * @return the experiments by increasing load
     */
    public static List<Experiment> all() {
        return List.of(calm(), zoneCrashes(), burst(), slowAndRelease());
    }

    private static Experiment heavy(String name, List<Pattern> further) {
        List<Pattern> patterns = new ArrayList<>(List.of(ZONE_CRASHES, REFRESH_BURST, QUOTE_BURST));
        patterns.addAll(further);
        return new Experiment(name, patterns);
    }
}
