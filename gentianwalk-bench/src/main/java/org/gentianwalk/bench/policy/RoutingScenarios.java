package org.gentianwalk.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.model.Location;

/** Scenarios on prefix reuse and on traffic between regions. */
final class RoutingScenarios {
    private static final double WARM_UP = 10;
    private static final double END = 40;
    private static final double DRAIN = 70;

    private RoutingScenarios() {}

    /** Prompts that share long histories or price lists as prefixes. */
    static final class PrefixReuse implements Scenario {
        private static final double LOAD = 0.6;
        private static final int HISTORIES = 60;
        private static final int HISTORY_TOKENS = 1_920;
        private static final int PRICE_LISTS = 6;
        private static final int PRICE_LIST_TOKENS = 1_280;

        @Override
        public String name() {
            return "prefix reuse";
        }

        @Override
        public Map<String, Target> targets() {
            return Map.of(
                    "prefill tokens / least outstanding's", Target.atMost(0.6),
                    "first token p95 / least outstanding's", Target.atMost(1));
        }

        @Override
        public void run(Deployment deployment, long seed, Measures measures) {
            List<Stream> streams = new ArrayList<>();
            for (int i = 0; i < Workloads.TEAMS; i++) {
                double rate = LOAD * deployment.capacity() / Workloads.TEAMS / 2;
                String team = Workloads.team(i);
                streams.add(
                        Workloads.urgent(deployment, team, rate)
                                .withSharedPrefixes(PRICE_LISTS, PRICE_LIST_TOKENS)
                                .withPrompt(150));
                streams.add(
                        Workloads.standard(deployment, team, rate)
                                .withSharedPrefixes(HISTORIES / Workloads.TEAMS, HISTORY_TOKENS)
                                .withPrompt(150));
            }
            Recorder least = run(deployment, PolicyKind.LEAST_OUTSTANDING, seed, streams);
            for (PolicyKind policy : PolicyKind.values()) {
                Recorder run =
                        policy == PolicyKind.LEAST_OUTSTANDING
                                ? least
                                : run(deployment, policy, seed, streams);
                measures.put(
                        policy,
                        "prefill tokens / least outstanding's",
                        prefillPerToken(run) / prefillPerToken(least));
                measures.put(
                        policy, "first token p95 / least outstanding's", p95(run) / p95(least));
                measures.put(policy, "first token p95, ms", p95(run));
            }
        }

        private static Recorder run(
                Deployment deployment, PolicyKind policy, long seed, List<Stream> streams) {
            return new Simulation(deployment, policy, seed, WARM_UP, END)
                    .addStreams(streams)
                    .run(DRAIN);
        }

        private static double prefillPerToken(Recorder run) {
            return (double) run.mPrefillTokens / run.mTokens;
        }

        private static double p95(Recorder run) {
            var all = run.mUrgentFirstToken.copy();
            all.add(run.mStandardFirstToken);
            return Recorder.p95Millis(all);
        }
    }

    /**
     * Traffic between regions, with spare capacity in each region and with one region overloaded.
     */
    static final class RegionLink implements Scenario {
        private static final double BUDGET_BYTES = 2_500_000;
        private static final double NORMAL_LOAD = 0.5;
        private static final double OVERLOAD = 1.6;

        @Override
        public String name() {
            return "region link";
        }

        @Override
        public Map<String, Target> targets() {
            return Map.of(
                    "bytes with room at home", Target.atMost(0),
                    "highest second / budget", Target.atMost(1));
        }

        @Override
        public void run(Deployment deployment, long seed, Measures measures) {
            for (PolicyKind policy : PolicyKind.values()) {
                Simulation normal = new Simulation(deployment, policy, seed, WARM_UP, END);
                Recorder normalRun =
                        normal.addStreams(regionalStreams(deployment, NORMAL_LOAD, NORMAL_LOAD))
                                .run(0);
                measures.put(policy, "bytes with room at home", bytes(normalRun));
                Simulation overloaded = new Simulation(deployment, policy, seed, WARM_UP, END);
                Recorder overloadedRun =
                        overloaded
                                .addStreams(regionalStreams(deployment, NORMAL_LOAD / 2, OVERLOAD))
                                .run(0);
                double highest =
                        overloadedRun.mLinkBytesBySecond.values().stream()
                                .mapToDouble(Double::doubleValue)
                                .max()
                                .orElse(0);
                measures.put(policy, "highest second / budget", highest / BUDGET_BYTES);
                measures.put(
                        policy, "mean use / budget", bytes(overloadedRun) / END / BUDGET_BYTES);
                measures.put(
                        policy,
                        "urgent first token p95, ms",
                        Recorder.p95Millis(overloadedRun.mUrgentFirstToken));
            }
        }

        private static double bytes(Recorder run) {
            return run.mLinkBytesBySecond.values().stream().mapToDouble(Double::doubleValue).sum();
        }

        /**
         * Returns equal amounts of urgent and standard work at the given loads of the two regions.
         */
        private static List<Stream> regionalStreams(
                Deployment deployment, double first, double second) {
            String region = deployment.zones().getLast().region();
            List<String> lastRegion = new ArrayList<>();
            List<String> otherRegions = new ArrayList<>();
            for (Map.Entry<String, Location> instance : deployment.instances().entrySet()) {
                boolean inLastRegion = instance.getValue().region().equals(region);
                (inLastRegion ? lastRegion : otherRegions).add(instance.getKey());
            }
            double lastRegionCapacity = deployment.capacity(region);
            double otherCapacity = deployment.capacity() - lastRegionCapacity;
            List<Stream> streams = new ArrayList<>();
            for (int i = 0; i < Workloads.TEAMS; i++) {
                String team = Workloads.team(i);
                double otherRate = first * otherCapacity / Workloads.TEAMS / 2;
                double lastRegionRate = second * lastRegionCapacity / Workloads.TEAMS / 2;
                streams.add(Workloads.urgent(deployment, team, otherRate).arrivingAt(otherRegions));
                streams.add(
                        Workloads.standard(deployment, team, otherRate).arrivingAt(otherRegions));
                streams.add(
                        Workloads.urgent(deployment, team, lastRegionRate).arrivingAt(lastRegion));
                streams.add(
                        Workloads.standard(deployment, team, lastRegionRate)
                                .arrivingAt(lastRegion));
            }
            return streams;
        }
    }
}
