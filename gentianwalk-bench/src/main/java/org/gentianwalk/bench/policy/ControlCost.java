package org.gentianwalk.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Measures the cost of the policy's control work per instance as a function of the numbers of
 * teams, engines and instances, with a linear fit for each. The load per node is that of the large
 * size. Load reports are counted as if every instance polled its engines every five seconds.
 */
final class ControlCost {
    private static final int INSTANCES = 350;
    private static final int ENGINES = 12_000;
    private static final int TEAMS = 9_500;
    private static final int PERCENT = 100;
    private static final double MEGABYTE = 1e6;
    private static final double KILOBYTE = 1e3;

    private final int mSeconds;

    /**
     * Creates a measurement.
     *
     * @param seconds virtual duration per size; only the second half is measured
     */
    ControlCost(int seconds) {
        mSeconds = seconds;
    }

    /** Measures all sizes and returns the values at the large size and the slopes. */
    Map<String, Double> measure() {
        measure(INSTANCES / 4, ENGINES / 4, TEAMS / 4);
        Cost large = measure(INSTANCES, ENGINES, TEAMS);
        Map<String, Double> values = new TreeMap<>();
        values.put("control, % of a core", large.control() * PERCENT);
        values.put("requests and tokens, % of a core", large.decisions() * PERCENT);
        values.put("memory, MB", large.memory() / MEGABYTE);
        values.put("mean traffic, KB/s", large.meanBytes() / KILOBYTE);
        values.put("traffic of the busiest instance, KB/s", large.highestBytes() / KILOBYTE);
        List<Cost> teams = new ArrayList<>(List.of(large));
        List<Cost> engines = new ArrayList<>(List.of(large));
        List<Cost> instances = new ArrayList<>(List.of(large));
        for (int part : new int[] {2, 4}) {
            teams.add(measure(INSTANCES, ENGINES, TEAMS / part));
            engines.add(measure(INSTANCES, ENGINES / part, TEAMS));
            instances.add(measure(INSTANCES / part, ENGINES, TEAMS));
        }
        addSlopes("1,000 teams", teams, Cost::teams, values);
        addSlopes("1,000 engines", engines, Cost::engines, values);
        addSlopes("1,000 instances", instances, Cost::instances, values);
        return values;
    }

    private Cost measure(int instances, int engines, int teams) {
        long before = usedHeapBytes();
        CostRegion region = new CostRegion(instances, engines, teams, 1);
        region.run(mSeconds);
        long after = usedHeapBytes();
        return new Cost(
                instances,
                engines,
                teams,
                region.controlCores(mSeconds),
                region.decisionCores(mSeconds),
                Math.max(0, (double) (after - before) / region.instances()),
                region.meanBytesPerSecond(mSeconds),
                region.maxBytesPerSecond(mSeconds));
    }

    private static void addSlopes(
            String unit, List<Cost> costs, ToDoubleFunction<Cost> size, Map<String, Double> out) {
        out.put(
                "control for " + unit + ", % of a core",
                slope(costs, size, Cost::control) * PERCENT * KILOBYTE);
        out.put(
                "memory for " + unit + ", MB",
                slope(costs, size, Cost::memory) * KILOBYTE / MEGABYTE);
        out.put("busiest traffic for " + unit + ", KB/s", slope(costs, size, Cost::highestBytes));
    }

    /** Returns the slope of the least-squares line of cost over size. */
    static double slope(
            List<Cost> costs, ToDoubleFunction<Cost> size, ToDoubleFunction<Cost> cost) {
        double meanSize = costs.stream().mapToDouble(size).average().orElse(0);
        double meanCost = costs.stream().mapToDouble(cost).average().orElse(0);
        double products = 0;
        double squares = 0;
        for (Cost each : costs) {
            double distance = size.applyAsDouble(each) - meanSize;
            products += distance * (cost.applyAsDouble(each) - meanCost);
            squares += distance * distance;
        }
        return products / squares;
    }

    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Cost of one instance at a size: CPU in fractions of a core, memory in bytes, traffic in bytes
     * per second.
     */
    record Cost(
            int instances,
            int engines,
            int teams,
            double control,
            double decisions,
            double memory,
            double meanBytes,
            double highestBytes) {}
}
