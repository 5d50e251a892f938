package org.gentianwalk.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.model.Rank;

/** Scenarios that flood one rank and measure the service of the other. */
final class FloodScenarios {
    private static final double WARM_UP = 10;
    private static final double FLOOD_FROM = 6;
    private static final double END = 35;
    private static final double DRAIN = 70;
    private static final double TEAMS = Workloads.TEAMS;

    private FloodScenarios() {}

    private static Recorder run(
            Deployment deployment, PolicyKind policy, long seed, List<Stream> streams) {
        return new Simulation(deployment, policy, seed, WARM_UP, END)
                .addStreams(streams)
                .run(DRAIN);
    }

    private static List<Stream> flood(Deployment deployment, Rank rank, double factor) {
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < Workloads.TEAMS; i++) {
            double rate = factor * deployment.capacity() / TEAMS;
            Stream stream =
                    rank == Rank.URGENT
                            ? Workloads.urgent(deployment, Workloads.team(i), rate)
                            : Workloads.standard(deployment, Workloads.team(i), rate);
            streams.add(stream.startingAt(FLOOD_FROM));
        }
        return streams;
    }

    /** Standard work is offered at ten times the capacity. */
    static final class Standard implements Scenario {
        private static final double URGENT = 0.4;
        private static final double STANDARD = 0.2;
        private static final double FACTOR = 10;

        @Override
        public String name() {
            return "flood of standard work";
        }

        @Override
        public Map<String, Target> targets() {
            return Map.of(
                    "urgent first token p95, ms", Target.atMost(1_200),
                    "urgent gap p95, ms", Target.atMost(72),
                    "urgent goodput / without flood", Target.atLeast(0.99),
                    "slowest refusal, ms", Target.atMost(2_050));
        }

        @Override
        public void run(Deployment deployment, long seed, Measures measures) {
            for (PolicyKind policy : PolicyKind.values()) {
                List<Stream> base = Workloads.baseLoad(deployment, URGENT, STANDARD);
                Recorder baseline = FloodScenarios.run(deployment, policy, seed, base);
                List<Stream> all = new ArrayList<>(base);
                all.addAll(flood(deployment, Rank.STANDARD, FACTOR));
                Recorder flood = FloodScenarios.run(deployment, policy, seed, all);
                measures.put(
                        policy,
                        "urgent first token p95, ms",
                        Recorder.p95Millis(flood.mUrgentFirstToken));
                measures.put(
                        policy, "urgent gap p95, ms", Recorder.p95Millis(flood.mUrgentTokenGap));
                measures.put(
                        policy,
                        "urgent goodput / without flood",
                        flood.mGoodput.getOrDefault(Rank.URGENT, 0.0)
                                / baseline.mGoodput.getOrDefault(Rank.URGENT, 1.0));
                measures.put(
                        policy, "slowest refusal, ms", flood.mRefusalTime.getMaxValue() / 1_000.0);
                measures.put(
                        policy,
                        "standard tokens / capacity",
                        flood.served(Rank.STANDARD)
                                / flood.seconds()
                                / (deployment.capacity() + deployment.deskCapacity()));
            }
        }
    }

    /** Urgent work is offered at three times the capacity. */
    static final class Urgent implements Scenario {
        private static final double STANDARD = 0.5;
        private static final double FACTOR = 3;
        private static final double KEPT_SHARE = 0.1;

        @Override
        public String name() {
            return "flood of urgent work";
        }

        @Override
        public Map<String, Target> targets() {
            return Map.of(
                    "standard tokens / kept share", Target.atLeast(0.9),
                    "urgent tokens / capacity left", Target.atLeast(0.95),
                    "slowest refusal, ms", Target.atMost(2_050));
        }

        @Override
        public void run(Deployment deployment, long seed, Measures measures) {
            List<Stream> streams = new ArrayList<>();
            for (int i = 0; i < Workloads.TEAMS; i++) {
                double rate = STANDARD * deployment.capacity() / TEAMS;
                streams.add(Workloads.standard(deployment, Workloads.team(i), rate));
            }
            streams.addAll(flood(deployment, Rank.URGENT, FACTOR));
            Recorder fifo = FloodScenarios.run(deployment, PolicyKind.FIFO, seed, streams);
            double capacity = fifo.served();
            for (PolicyKind policy : PolicyKind.values()) {
                Recorder run =
                        policy == PolicyKind.FIFO
                                ? fifo
                                : FloodScenarios.run(deployment, policy, seed, streams);
                double standard = run.served(Rank.STANDARD);
                measures.put(
                        policy, "standard tokens / kept share", standard / KEPT_SHARE / capacity);
                measures.put(
                        policy,
                        "urgent tokens / capacity left",
                        run.served(Rank.URGENT) / Math.max(1, capacity - standard));
                measures.put(
                        policy, "slowest refusal, ms", run.mRefusalTime.getMaxValue() / 1_000.0);
                measures.put(
                        policy,
                        "urgent first token p95, ms",
                        Recorder.p95Millis(run.mUrgentFirstToken));
            }
        }
    }
}
