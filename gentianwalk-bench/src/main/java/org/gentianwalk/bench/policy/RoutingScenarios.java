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
        public void run(Deployment deployment, long seed, Sheet sheet) {
            List<Stream> streams = new ArrayList<>();
            for (int i = 0; i < Workloads.TEAMS; i++) {
                double rate = LOAD * deployment.capacity() / Workloads.TEAMS / 2;
                String team = Workloads.team(i);
                streams.add(
                        Workloads.urgent(deployment, team, rate)
                                .sharing(PRICE_LISTS, PRICE_LIST_TOKENS)
                                .prompt(150));
                streams.add(
                        Workloads.standard(deployment, team, rate)
                                .sharing(HISTORIES / Workloads.TEAMS, HISTORY_TOKENS)
                                .prompt(150));
            }
            Recorder least = run(deployment, PolicyKind.LEAST_OUTSTANDING, seed, streams);
            for (PolicyKind policy : PolicyKind.values()) {
                Recorder run =
                        policy == PolicyKind.LEAST_OUTSTANDING
                                ? least
                                : run(deployment, policy, seed, streams);
                sheet.put(
                        policy,
                        "prefill tokens / least outstanding's",
                        perToken(run) / perToken(least));
                sheet.put(policy, "first token p95 / least outstanding's", p95(run) / p95(least));
                sheet.put(policy, "first token p95, ms", p95(run));
            }
        }

        private static Recorder run(
                Deployment deployment, PolicyKind policy, long seed, List<Stream> streams) {
            return new World(deployment, policy, seed, WARM_UP, END).add(streams).run(DRAIN);
        }

        private static double perToken(Recorder run) {
            return (double) run.mPrefillTokens / run.mTokens;
        }

        private static double p95(Recorder run) {
            var all = run.mUrgentFirst.copy();
            all.add(run.mStandardFirst);
            return Recorder.p95Millis(all);
        }
    }

    /**
     * Traffic between regions, with spare capacity in each region and with one region overloaded.
     */
    static final class RegionLink implements Scenario {
        private static final double BUDGET_BYTES = 2_500_000;
        private static final double CALM = 0.5;
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
        public void run(Deployment deployment, long seed, Sheet sheet) {
            for (PolicyKind policy : PolicyKind.values()) {
                World calm = new World(deployment, policy, seed, WARM_UP, END);
                Recorder atHome = calm.add(regional(deployment, CALM, CALM)).run(0);
                sheet.put(policy, "bytes with room at home", bytes(atHome));
                World hot = new World(deployment, policy, seed, WARM_UP, END);
                Recorder over = hot.add(regional(deployment, CALM / 2, OVERLOAD)).run(0);
                double highest =
                        over.mLinkBytesBySecond.values().stream()
                                .mapToDouble(Double::doubleValue)
                                .max()
                                .orElse(0);
                sheet.put(policy, "highest second / budget", highest / BUDGET_BYTES);
                sheet.put(policy, "mean use / budget", bytes(over) / END / BUDGET_BYTES);
                sheet.put(
                        policy,
                        "urgent first token p95, ms",
                        Recorder.p95Millis(over.mUrgentFirst));
            }
        }

        private static double bytes(Recorder run) {
            return run.mLinkBytesBySecond.values().stream().mapToDouble(Double::doubleValue).sum();
        }

        /**
         * Returns equal amounts of urgent and standard work at the given loads of the two regions.
         */
        private static List<Stream> regional(Deployment deployment, double first, double second) {
            String region = deployment.zones().getLast().region();
            List<String> there = new ArrayList<>();
            List<String> here = new ArrayList<>();
            for (Map.Entry<String, Location> instance : deployment.instances().entrySet()) {
                boolean isThere = instance.getValue().region().equals(region);
                (isThere ? there : here).add(instance.getKey());
            }
            double capacityThere = deployment.capacity(region);
            double capacityHere = deployment.capacity() - capacityThere;
            List<Stream> streams = new ArrayList<>();
            for (int i = 0; i < Workloads.TEAMS; i++) {
                String team = Workloads.team(i);
                double rateHere = first * capacityHere / Workloads.TEAMS / 2;
                double rateThere = second * capacityThere / Workloads.TEAMS / 2;
                streams.add(Workloads.urgent(deployment, team, rateHere).through(here));
                streams.add(Workloads.standard(deployment, team, rateHere).through(here));
                streams.add(Workloads.urgent(deployment, team, rateThere).through(there));
                streams.add(Workloads.standard(deployment, team, rateThere).through(there));
            }
            return streams;
        }
    }
}
