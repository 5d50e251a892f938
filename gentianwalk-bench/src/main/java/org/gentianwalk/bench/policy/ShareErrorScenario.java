package org.gentianwalk.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.bench.policy.Scenario.Target;

/**
 * Measures the error of a team's share when messages between instances are delayed, lost or blocked
 * by a partition. Ten teams share a contended pool; one of them requests five times as much as each
 * of the others and uses every instance.
 */
final class ShareErrorScenario implements Scenario {
    private static final double WARM_UP = 30;
    private static final double END = 75;
    private static final double DRAIN = 0;
    private static final double OTHERS_LOAD = 0.2;
    private static final long MESSAGE_DELAY = 4 * VirtualClock.SECOND;
    private static final double MESSAGE_LOSS = 0.3;
    private static final String HEAVY_TEAM = "heavy";

    @Override
    public String name() {
        return "error of a team's share";
    }

    @Override
    public Map<String, Target> targets() {
        return Map.of();
    }

    @Override
    public void run(Deployment deployment, long seed, Measures measures) {
        List<String> isolated = new ArrayList<>();
        for (String instance : deployment.instances().keySet()) {
            if (isolated.size() < deployment.instances().size() / 3) {
                isolated.add(instance);
            }
        }
        putShares(measures, "with messages", simulation(deployment, seed));
        putShares(
                measures,
                "4 s late, 30% lost",
                simulation(deployment, seed).messageFaults(MESSAGE_LOSS, MESSAGE_DELAY));
        putShares(measures, "a third cut off", simulation(deployment, seed).partition(isolated));
        putShares(measures, "no messages", simulation(deployment, seed).messageFaults(1, 0));
    }

    private static Simulation simulation(Deployment deployment, long seed) {
        Simulation simulation = new Simulation(deployment, PolicyKind.FAIR, seed, WARM_UP, END);
        List<Stream> streams = new ArrayList<>();
        for (int i = 1; i < Workloads.TEAMS; i++) {
            double rate = OTHERS_LOAD * deployment.capacity();
            streams.add(Workloads.standard(deployment, Workloads.team(i), rate));
        }
        streams.add(Workloads.standard(deployment, HEAVY_TEAM, deployment.capacity()));
        return simulation.addStreams(streams);
    }

    private static void putShares(Measures measures, String condition, Simulation simulation) {
        Recorder run = simulation.run(DRAIN);
        double fair = run.served() / Workloads.TEAMS;
        double least = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, Double> team : run.mServed.entrySet()) {
            if (!team.getKey().equals(HEAVY_TEAM)) {
                least = Math.min(least, team.getValue() / fair);
            }
        }
        double heavy = run.mServed.getOrDefault(HEAVY_TEAM, 0.0) / fair;
        measures.put(PolicyKind.FAIR, "heavy team / fair share, " + condition, heavy);
        measures.put(PolicyKind.FAIR, "least other team / fair share, " + condition, least);
    }
}
