package org.gentianwalk.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.lease.LeaseAction;
import org.gentianwalk.core.lease.LeaseEvent;
import org.gentianwalk.core.lease.LeaseHolder;
import org.gentianwalk.core.placement.EngineTarget;
import org.gentianwalk.core.placement.ModelDemand;
import org.gentianwalk.core.placement.PlacementEngine;
import org.gentianwalk.core.placement.PlacementPlanner;
import org.gentianwalk.core.placement.PlacementRules;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;

/**
 * Measures the costs of leases, in store operations, and of the placement that runs under a lease.
 */
final class LeaseProbes {
    private static final long SECOND = 1_000_000_000L;
    private static final int SECONDS = 300;
    private static final int CANDIDATES = 3;
    private static final int MODELS = 21;
    private static final int ENGINES = 12_000;
    private static final double TOKENS_PER_SECOND = 400;
    private static final double LOAD = 0.7;

    private final Meter mMeter;
    private final int[] mEngines;

    LeaseProbes(boolean quick) {
        mMeter = new Meter(quick);
        mEngines = quick ? new int[] {200, 400, 800} : new int[] {1_500, 3_000, 6_000, 12_000};
    }

    List<CapacityProbe> all() {
        int[] leases = {1, 2, 4};
        int[] candidates = {2, 3, 6};
        return List.of(
                new Probe(
                        "leases",
                        "store writes a second",
                        "leases with 3 candidates",
                        leases,
                        2,
                        size -> size * measureLease(CANDIDATES).writes()),
                new Probe(
                        "leases",
                        "store reads a second",
                        "candidates for one lease",
                        candidates,
                        CANDIDATES,
                        size -> measureLease(size).reads()),
                new Probe(
                        "placement",
                        "processor time of a plan, µs",
                        "engines",
                        mEngines,
                        ENGINES,
                        this::measurePlan),
                new Probe(
                        "placement",
                        "memory of the holder, bytes",
                        "engines",
                        mEngines,
                        ENGINES,
                        size -> Meter.heapBytes(4, () -> createEngines(size))));
    }

    private Rate measureLease(int candidates) {
        Map<String, Row> rows = new HashMap<>();
        List<LeaseHolder> holders = new ArrayList<>();
        List<Long> dueNanos = new ArrayList<>();
        for (int i = 0; i < candidates; i++) {
            holders.add(new LeaseHolder("placement", "entry-instance-" + i, 1, 0));
            dueNanos.add(i * SECOND / 7);
        }
        int writes = 0;
        int reads = 0;
        // The counts exclude the first 60 s, since the lease is initially acquired only once.
        for (long now = 0; now < (SECONDS + 60) * SECOND; now += SECOND / 10) {
            for (int i = 0; i < candidates; i++) {
                if (now < dueNanos.get(i)) {
                    continue;
                }
                LeaseAction action = holders.get(i).on(new LeaseEvent.TimerFired(), now);
                while (!(action instanceof LeaseAction.Wait)) {
                    boolean counted = now >= 60 * SECOND;
                    writes += counted && action instanceof LeaseAction.WriteRow ? 1 : 0;
                    reads += counted && action instanceof LeaseAction.ReadRow ? 1 : 0;
                    action = holders.get(i).on(execute(rows, action), now);
                }
                dueNanos.set(i, ((LeaseAction.Wait) action).untilNanos());
            }
        }
        return new Rate((double) writes / SECONDS, (double) reads / SECONDS);
    }

    private static LeaseEvent execute(Map<String, Row> rows, LeaseAction action) {
        return switch (action) {
            case LeaseAction.ReadRow read -> {
                Row row = rows.get(read.key());
                yield new LeaseEvent.ReadReturned(
                        row == null ? new ReadResult.Missing() : new ReadResult.Found(row));
            }
            case LeaseAction.WriteRow write -> {
                Row row = rows.get(write.key());
                long version = row == null ? Row.ABSENT : row.version();
                if (version != write.expected()) {
                    yield new LeaseEvent.WriteReturned(new WriteResult.Conflict(row));
                }
                byte[] value = write.value().toByteArray();
                rows.put(write.key(), new Row(write.key(), version + 1, value));
                yield new LeaseEvent.WriteReturned(new WriteResult.Written(version + 1));
            }
            case LeaseAction.Wait wait ->
                    throw new IllegalStateException("not a store operation: " + wait);
        };
    }

    private double measurePlan(int size) {
        List<PlacementEngine> engines = createEngines(size);
        List<ModelDemand> demand = new ArrayList<>();
        for (int model = 0; model < MODELS; model++) {
            double modelDemand =
                    (0.6 + 0.8 * model / MODELS) * LOAD * TOKENS_PER_SECOND * size / MODELS;
            demand.add(new ModelDemand("model-" + model, modelDemand / 3, modelDemand * 2 / 3));
        }
        PlacementPlanner planner = new PlacementPlanner(PlacementRules.defaults());
        long[] now = {0};
        // The demand of some models exceeds their capacity, so each plan searches for engines to
        // move.
        return mMeter.nanosPerCall(
                        () -> {
                            now[0] += 61 * SECOND;
                            planner.plan(demand, engines, now[0]);
                        })
                / 1_000;
    }

    private static List<PlacementEngine> createEngines(int size) {
        List<PlacementEngine> engines = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            EngineTarget target =
                    new EngineTarget(List.of("model-" + i % MODELS), List.of(), "generate");
            engines.add(new PlacementEngine("engine-" + i, 1, TOKENS_PER_SECOND, target));
        }
        return engines;
    }

    private record Rate(double writes, double reads) {}
}
