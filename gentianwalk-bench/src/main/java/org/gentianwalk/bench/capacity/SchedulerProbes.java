package org.gentianwalk.bench.capacity;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.FairScheduler;
import org.gentianwalk.core.policy.OfferResult;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.PolicyOptions.Routing;
import org.gentianwalk.core.policy.ShareRules;

/**
 * Measures the costs of one scheduler at the load of a node (35 requests and 9,400 tokens per
 * second), and of the usage reports and pool levels of all schedulers of a region.
 */
final class SchedulerProbes {
    static final int MODELS = 21;
    static final int REGIONS = 4;
    static final int ZONES = 2;
    static final int TEAMS = 9_500;
    static final int ENGINES = 12_000;

    /** Engines in the subset per model and region, as in {@link PolicyOptions#defaults()}. */
    private static final int SUBSET = 8;

    private static final int INSTANCES = 350;
    private static final String SCHEDULER = "scheduler";
    private static final String USAGE = "usage reports";
    private static final int RUNNING_GENERATIONS = 275;
    private static final long REQUEST_INTERVAL_NANOS = 28_571_429L;

    private final Meter mMeter;
    private final boolean mQuick;
    private final Map<List<Integer>, PolicyRegion.Cost> mCosts = new HashMap<>();

    SchedulerProbes(boolean quick) {
        mMeter = new Meter(quick);
        mQuick = quick;
    }

    List<CapacityProbe> all() {
        List<CapacityProbe> probes = new ArrayList<>(schedulerProbes());
        int[] instances = mQuick ? new int[] {8, 12, 16} : new int[] {88, 176, 352};
        int[] teams = mQuick ? new int[] {50, 100, 200} : new int[] {1_000, 4_000, 9_500};
        int[] pools = mQuick ? new int[] {2, 4, 6} : new int[] {7, 14, 21};
        probes.addAll(
                regionProbes(
                        "instances", instances, INSTANCES, n -> cost(n, typicalTeams(), MODELS)));
        probes.addAll(
                regionProbes("teams", teams, TEAMS, n -> cost(typicalInstances(), n, MODELS)));
        probes.addAll(
                regionProbes(
                        "pools of the region",
                        pools,
                        MODELS,
                        n -> cost(typicalInstances(), typicalTeams(), n)));
        return probes;
    }

    private List<CapacityProbe> schedulerProbes() {
        int[] subset = mQuick ? new int[] {8, 16, 24} : new int[] {8, 32, 128};
        int[] engines = mQuick ? new int[] {168, 336, 504} : new int[] {3_000, 6_000, 12_000};
        int[] queued = {200, 400, 800};
        return List.of(
                new Probe(
                        SCHEDULER,
                        "processor time of a request with its 275 tokens, µs",
                        "engines of a model in the subset",
                        subset,
                        SUBSET,
                        this::measureRequest),
                new Probe(
                        SCHEDULER,
                        "memory, bytes",
                        "engines",
                        engines,
                        ENGINES,
                        size -> {
                            List<UpstreamInfo> infos = createEngines(size, MODELS);
                            return Meter.heapBytes(2, () -> createScheduler(infos, SUBSET));
                        }),
                new Probe(
                        SCHEDULER,
                        "processor time of adopting a list of engines, µs",
                        "engines",
                        engines,
                        ENGINES,
                        size -> {
                            List<UpstreamInfo> infos = createEngines(size, MODELS);
                            FairScheduler scheduler = createScheduler(infos, SUBSET);
                            return mMeter.nanosPerCall(() -> scheduler.replaceUpstreams(infos, 0))
                                    / 1e3;
                        }),
                new Probe(
                        SCHEDULER,
                        "memory of queued work, bytes",
                        "queued requests",
                        queued,
                        RUNNING_GENERATIONS,
                        SchedulerProbes::measureQueue));
    }

    private List<CapacityProbe> regionProbes(
            String variable, int[] sizes, int planned, RegionCost cost) {
        return List.of(
                new Probe(
                        USAGE,
                        "bytes a second, sent and received",
                        variable,
                        sizes,
                        planned,
                        size -> cost.at(size).meanBytes()),
                new Probe(
                        USAGE,
                        "bytes a second of the busiest instance",
                        variable,
                        sizes,
                        planned,
                        size -> cost.at(size).highestBytes()),
                new Probe(
                        USAGE,
                        "processor time of ticks and messages, µs a second",
                        variable,
                        sizes,
                        planned,
                        size -> cost.at(size).cpuMicros()));
    }

    private int typicalTeams() {
        return mQuick ? 100 : TEAMS;
    }

    private int typicalInstances() {
        return mQuick ? 8 : 176;
    }

    private PolicyRegion.Cost cost(int instances, int teams, int models) {
        return mCosts.computeIfAbsent(
                List.of(instances, teams, models),
                key -> new PolicyRegion(instances / REGIONS, teams, models).run(mQuick ? 6 : 30));
    }

    /** Returns the CPU time per arrival, µs, in a steady state of 275 running generations. */
    private double measureRequest(int subset) {
        FairScheduler scheduler =
                createScheduler(createEngines(subset * MODELS * REGIONS, MODELS), subset);
        Deque<RequestKey> running = new ArrayDeque<>();
        Random random = new Random(1);
        long[] now = {0};
        return mMeter.nanosPerCall(
                        () -> {
                            now[0] += REQUEST_INTERVAL_NANOS;
                            for (RequestKey key : running) {
                                scheduler.progress(key, 1, now[0]);
                            }
                            if (running.size() >= RUNNING_GENERATIONS) {
                                scheduler.finished(running.removeFirst(), 0, now[0]);
                            }
                            scheduler.offer(createItem(random, TEAMS, MODELS, now[0]), now[0]);
                            for (Decision decision : scheduler.advance(now[0])) {
                                if (decision instanceof Decision.Start start) {
                                    running.addLast(start.item().id());
                                }
                            }
                        })
                / 1e3;
    }

    /** Returns the memory of a scheduler with queued requests; none of them is started. */
    private static double measureQueue(int size) {
        List<UpstreamInfo> infos = createEngines(ENGINES, MODELS);
        return Meter.heapBytes(
                1,
                () -> {
                    FairScheduler scheduler = createScheduler(infos, SUBSET);
                    Random random = new Random(1);
                    for (int i = 0; i < size; i++) {
                        WorkItem item = createItem(random, TEAMS, MODELS, 0);
                        if (scheduler.offer(item, 0) instanceof OfferResult.Refused refused) {
                            throw new IllegalStateException(refused.error().message());
                        }
                    }
                    return scheduler;
                });
    }

    private static FairScheduler createScheduler(List<UpstreamInfo> engines, int subset) {
        PolicyOptions defaults = PolicyOptions.defaults();
        Routing base = defaults.routing();
        Routing routing =
                new Routing(
                        base.choices(),
                        subset,
                        base.prefixEntries(),
                        base.reportLag(),
                        base.linkBytesPerSecond(),
                        base.bytesPerPromptToken(),
                        base.bytesPerOutputToken(),
                        base.urgentLinkShare());
        PolicyOptions options =
                new PolicyOptions(
                        defaults.admission(),
                        defaults.fairness(),
                        routing,
                        defaults.health(),
                        defaults.retry());
        Location self = new Location("region-0", "zone-0-0");
        FairScheduler scheduler = new FairScheduler(options, ShareRules.EQUAL, "node-0", self, 1);
        scheduler.replaceUpstreams(engines, 0);
        scheduler.replaceMembers(Map.of("node-0", self), 0);
        return scheduler;
    }

    /** Creates a request; the first tenth of the teams requests nearly half of the work. */
    static WorkItem createItem(Random random, int teams, int models, long now) {
        int team = (int) (teams * Math.pow(random.nextDouble(), 3));
        long number = random.nextLong();
        return new WorkItem(
                new RequestKey("team-%05d".formatted(team), Long.toHexString(number)),
                "model-" + random.nextInt(models),
                "summary",
                random.nextInt(3) == 0 ? Rank.URGENT : Rank.STANDARD,
                1_000,
                550,
                List.of(),
                new Fingerprint(1, number),
                now,
                WorkItem.NO_DEADLINE);
    }

    static List<UpstreamInfo> createEngines(int count, int models) {
        List<UpstreamInfo> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int region = i % REGIONS;
            Location location =
                    new Location("region-" + region, "zone-" + region + "-" + i / REGIONS % ZONES);
            engines.add(
                    new UpstreamInfo(
                            "engine-%05d".formatted(i),
                            URI.create("http://127.0.0.1:1"),
                            location,
                            Set.of("model-" + i / REGIONS % models),
                            16,
                            400,
                            8_000,
                            Set.of(Capability.RESUME, Capability.PRIORITY)));
        }
        return engines;
    }

    @FunctionalInterface
    private interface RegionCost {
        PolicyRegion.Cost at(int size);
    }
}
