package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * A named load on a fleet.
 *
 * @param name name for reports and for choosing it
 * @param patterns what happens while requests arrive
 */
public record Experiment(String name, List<Pattern> patterns) {
    /** Time during which requests arrive, milliseconds. */
    public static final long DAY_MILLIS = 34_000;

    private static final Pattern ZONE_CRASHES = Patterns.zoneCrashes(4_500, 6_500, 1_200);
    private static final Pattern REFRESH_BURST = Patterns.burst(1, 2.4, 3_000, 9_000);
    private static final Pattern QUOTE_BURST = Patterns.burst(0, 1.6, 13_000, 16_500);

    public Experiment {
        patterns = List.copyOf(patterns);
    }

    /**
     * Returns a day without disturbances.
     *
     * @return the experiment
     */
    public static Experiment calm() {
        return new Experiment("calm", List.of());
    }

    /**
     * Returns a day on which nine of ten engines of one zone after the other are away for 1.2 s.
     *
     * @return the experiment
     */
    public static Experiment zoneCrashes() {
        return new Experiment("zone-crashes", List.of(ZONE_CRASHES));
    }

    /**
     * Returns zone crashes while the less urgent kind of request comes 2.4 times as often for six
     * seconds, and the urgent kind 1.6 times as often later.
     *
     * @return the experiment
     */
    public static Experiment burst() {
        return heavy("burst", List.of());
    }

    /**
     * Returns the burst, with one engine in seven taking five times as long and a release of ten
     * engines.
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
     * @return the lightest first
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
