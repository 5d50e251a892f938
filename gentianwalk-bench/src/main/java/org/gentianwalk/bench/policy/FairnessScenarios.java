package org.gentianwalk.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gentianwalk.core.policy.fairness.MaxMinLevel;

/** Scenarios that measure the shares of teams across instances. */
final class FairnessScenarios {
    /** Covers generations that started before contention; they take 20 s in a full batch. */
    private static final double WARM_UP = 30;

    private static final double END = 75;
    private static final double DRAIN = 70;

    private FairnessScenarios() {}

    private static Recorder run(
            Deployment deployment, PolicyKind policy, long seed, List<Stream> streams) {
        return new Simulation(deployment, policy, seed, WARM_UP, END)
                .addStreams(streams)
                .run(DRAIN);
    }

    /** Two teams request fifty times as much as each of the others. */
    static final class LargeTeams implements Scenario {
        private static final double SMALL_TEAM_LOAD = 0.02;
        private static final double FACTOR = 50;
        private static final double URGENT_FRACTION = 0.1;

        @Override
        public String name() {
            return "two teams ask 50 times the rest";
        }

        @Override
        public Map<String, Target> targets() {
            return Map.of(
                    "smallest satisfied demand of a small team", Target.atLeast(0.98),
                    "Jain's index", Target.atLeast(0.98),
                    "tokens / FIFO's", Target.atLeast(0.95));
        }

        @Override
        public void run(Deployment deployment, long seed, Measures measures) {
            List<Stream> streams = new ArrayList<>();
            for (int i = 0; i < Workloads.TEAMS; i++) {
                double rate = SMALL_TEAM_LOAD * deployment.capacity();
                rate *= i < Workloads.LARGE_TEAMS ? FACTOR : 1;
                String team = Workloads.team(i);
                streams.add(Workloads.urgent(deployment, team, rate * URGENT_FRACTION));
                streams.add(Workloads.standard(deployment, team, rate * (1 - URGENT_FRACTION)));
            }
            double fifoServed = 0;
            for (PolicyKind policy : fifoFirst()) {
                Recorder run = FairnessScenarios.run(deployment, policy, seed, streams);
                fifoServed = policy == PolicyKind.FIFO ? run.served() : fifoServed;
                measures.put(
                        policy,
                        "smallest satisfied demand of a small team",
                        smallestSatisfied(run));
                measures.put(policy, "Jain's index", jainIndex(run));
                measures.put(policy, "tokens / FIFO's", run.served() / fifoServed);
                measures.put(
                        policy,
                        "urgent first token p95, ms",
                        Recorder.p95Millis(run.mUrgentFirstToken));
            }
        }

        private static List<PolicyKind> fifoFirst() {
            List<PolicyKind> order = new ArrayList<>(List.of(PolicyKind.values()));
            order.remove(PolicyKind.FIFO);
            order.addFirst(PolicyKind.FIFO);
            return order;
        }

        private static double smallestSatisfied(Recorder run) {
            double least = 1;
            for (int i = Workloads.LARGE_TEAMS; i < Workloads.TEAMS; i++) {
                String team = Workloads.team(i);
                double demand = run.mDemand.getOrDefault(team, 1.0);
                least = Math.min(least, run.mFinished.getOrDefault(team, 0.0) / demand);
            }
            return least;
        }

        /** Returns Jain's index of the served tokens relative to their max-min fair allocation. */
        private static double jainIndex(Recorder run) {
            Map<String, Double> finished = new TreeMap<>(run.mFinished);
            double capacity = finished.values().stream().mapToDouble(d -> d).sum();
            List<MaxMinLevel.WeightedDemand> claims = new ArrayList<>();
            run.mDemand.values().forEach(d -> claims.add(new MaxMinLevel.WeightedDemand(d, 1)));
            double level = MaxMinLevel.of(claims, capacity);
            double sum = 0;
            double squares = 0;
            for (Map.Entry<String, Double> demand : run.mDemand.entrySet()) {
                double fair = Math.min(demand.getValue(), level);
                double satisfied = finished.getOrDefault(demand.getKey(), 0.0) / fair;
                sum += satisfied;
                squares += satisfied * satisfied;
            }
            return sum * sum / (run.mDemand.size() * squares);
        }
    }

    /** A caller sends its requests through all instances instead of one. */
    static final class SpreadCaller implements Scenario {
        private static final double OTHERS_LOAD = 0.2;
        private static final double CALLER_LOAD = 1.0;
        private static final String CALLER_TEAM = "spread";

        @Override
        public String name() {
            return "a caller spread over all instances";
        }

        @Override
        public Map<String, Target> targets() {
            return Map.of("share spread / through one", Target.atMost(1.1));
        }

        @Override
        public void run(Deployment deployment, long seed, Measures measures) {
            List<Stream> others = new ArrayList<>();
            for (int i = 1; i < Workloads.TEAMS; i++) {
                double rate = OTHERS_LOAD * deployment.capacity();
                others.add(Workloads.standard(deployment, Workloads.team(i), rate));
            }
            Stream caller =
                    Workloads.standard(
                            deployment, CALLER_TEAM, CALLER_LOAD * deployment.capacity());
            for (PolicyKind policy : PolicyKind.values()) {
                double one =
                        share(
                                deployment,
                                policy,
                                seed,
                                others,
                                caller.arrivingAt(singleInstance()));
                double all = share(deployment, policy, seed, others, caller);
                double region =
                        share(
                                deployment,
                                policy,
                                seed,
                                others,
                                caller.arrivingAt(instancesInRegion(deployment)));
                measures.put(policy, "share spread / through one", all / one);
                measures.put(policy, "share spread over its region / through one", region / one);
                measures.put(policy, "share spread / fair share", all * Workloads.TEAMS);
                measures.put(policy, "share through one / fair share", one * Workloads.TEAMS);
            }
        }

        /** Returns the instances in the region of the single instance. */
        private static List<String> instancesInRegion(Deployment deployment) {
            String region = deployment.zones().getFirst().region();
            return deployment.instances().entrySet().stream()
                    .filter(instance -> instance.getValue().region().equals(region))
                    .map(Map.Entry::getKey)
                    .toList();
        }

        private static List<String> singleInstance() {
            return List.of("i0");
        }

        private static double share(
                Deployment deployment,
                PolicyKind policy,
                long seed,
                List<Stream> others,
                Stream caller) {
            List<Stream> all = new ArrayList<>(others);
            all.add(caller);
            Recorder run = FairnessScenarios.run(deployment, policy, seed, all);
            return run.mServed.getOrDefault(CALLER_TEAM, 0.0) / run.served();
        }
    }
}
