package org.gentianwalk.bench.policy;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.FairScheduler;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.Scheduler.LoadReport;
import org.gentianwalk.core.policy.ShareRules;
import org.gentianwalk.core.policy.fairness.PolicyMessage.Addressed;

/**
 * Runs all schedulers of one region under the per-node load of the design page, on the measuring
 * thread. Engines are not simulated: every generation takes the same time.
 */
final class CostRegion {
    static final int REGIONS = 4;
    static final int MODELS = 21;
    private static final int ZONES = 2;
    private static final double REQUESTS_PER_SECOND = 35;
    private static final int OUTPUT_TOKENS = 270;
    private static final long STEP_NANOS = 100 * VirtualClock.MILLI;
    private static final int STEPS_PER_SECOND = 10;
    private static final int GENERATION_STEPS = 80;
    private static final int TICKS_PER_STEP = 5;

    /** Steps between two load reports of an engine to an instance that uses it: five seconds. */
    private static final int REPORT_STEPS = 50;

    /** Size of a polled load report with its HTTP headers, bytes. */
    private static final int REPORT_BYTES = 250;

    private final int mTeams;
    private final Random mRandom;
    private final Map<String, FairScheduler> mInstances = new TreeMap<>();
    private final Map<String, List<UpstreamInfo>> mReportingEngines = new HashMap<>();
    private final Map<String, Long> mBytes = new HashMap<>();
    private final Map<String, Deque<Running>> mRunning = new HashMap<>();
    private long mControlNanos;
    private long mDecisionNanos;
    private long mStep;
    private long mRequests;

    CostRegion(int instances, int engines, int teams, long seed) {
        mTeams = teams;
        mRandom = new Random(seed);
        List<UpstreamInfo> all = engines(engines);
        Map<String, Location> members = new TreeMap<>();
        for (int i = 0; i < Math.max(1, instances / REGIONS); i++) {
            members.put("node-" + i, new Location("r0", "r0-z" + i % ZONES));
        }
        PolicyOptions options = PolicyOptions.defaults();
        members.forEach(
                (id, location) -> {
                    FairScheduler scheduler =
                            new FairScheduler(
                                    options, ShareRules.EQUAL, id, location, mRandom.nextLong());
                    scheduler.replaceUpstreams(all, 0);
                    scheduler.replaceMembers(members, 0);
                    mInstances.put(id, scheduler);
                    mRunning.put(id, new ArrayDeque<>());
                    mReportingEngines.put(id, selectSubset(all, options.routing().subset()));
                });
    }

    int instances() {
        return mInstances.size();
    }

    /** Runs for a number of virtual seconds and measures the CPU time of the second half. */
    void run(int seconds) {
        for (int i = 0; i < seconds * STEPS_PER_SECOND; i++) {
            if (i == seconds * STEPS_PER_SECOND / 2) {
                mControlNanos = 0;
                mDecisionNanos = 0;
                mBytes.clear();
            }
            mStep++;
            for (Map.Entry<String, FairScheduler> instance : mInstances.entrySet()) {
                step(instance.getKey(), instance.getValue());
            }
        }
    }

    /** Returns the CPU time of one instance for control work, as a fraction of a core. */
    double controlCores(int seconds) {
        return (double) mControlNanos / mInstances.size() / (seconds / 2.0 * VirtualClock.SECOND);
    }

    /** Returns the CPU time of one instance for requests and tokens, as a fraction of a core. */
    double decisionCores(int seconds) {
        return (double) mDecisionNanos / mInstances.size() / (seconds / 2.0 * VirtualClock.SECOND);
    }

    double meanBytesPerSecond(int seconds) {
        double sum = mBytes.values().stream().mapToLong(Long::longValue).sum();
        return sum / mInstances.size() / (seconds / 2.0);
    }

    double maxBytesPerSecond(int seconds) {
        long max = mBytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return max / (seconds / 2.0);
    }

    private void step(String id, FairScheduler scheduler) {
        long now = mStep * STEP_NANOS;
        long started = System.nanoTime();
        runRequests(id, scheduler, now);
        long decided = System.nanoTime();
        mDecisionNanos += decided - started;
        List<UpstreamInfo> reporting = mReportingEngines.getOrDefault(id, List.of());
        for (int i = (int) (mStep % REPORT_STEPS); i < reporting.size(); i += REPORT_STEPS) {
            scheduler.loadReport(
                    new LoadReport(reporting.get(i).id(), 12, 0, 400, 0.9, false), now);
            mBytes.merge(id, (long) REPORT_BYTES, Long::sum);
        }
        for (int i = 0; i < TICKS_PER_STEP; i++) {
            scheduler.advance(now + i * STEP_NANOS / TICKS_PER_STEP);
        }
        List<Addressed> messages = scheduler.messages(now);
        mControlNanos += System.nanoTime() - decided;
        for (Addressed addressed : messages) {
            long bytes = MessageSizes.of(addressed.message());
            mBytes.merge(id, bytes, Long::sum);
            mBytes.merge(addressed.instance(), bytes, Long::sum);
            FairScheduler receiver = mInstances.get(addressed.instance());
            if (receiver != null) {
                long received = System.nanoTime();
                receiver.receive(addressed.message(), now);
                mControlNanos += System.nanoTime() - received;
            }
        }
    }

    private void runRequests(String id, FairScheduler scheduler, long now) {
        Deque<Running> running = mRunning.getOrDefault(id, new ArrayDeque<>());
        int tokens = OUTPUT_TOKENS / GENERATION_STEPS;
        for (Running generation : running) {
            for (int i = 0; i < tokens; i++) {
                scheduler.progress(generation.id(), 1, now);
            }
        }
        while (!running.isEmpty() && running.getFirst().endStep() <= mStep) {
            scheduler.finished(running.removeFirst().id(), 0, now);
        }
        double arrivals = REQUESTS_PER_SECOND / STEPS_PER_SECOND;
        int count = (int) (arrivals + mRandom.nextDouble());
        for (int i = 0; i < count; i++) {
            scheduler.offer(createItem(now), now);
        }
        for (Decision decision : scheduler.advance(now)) {
            if (decision instanceof Decision.Start start) {
                running.addLast(new Running(start.item().id(), mStep + GENERATION_STEPS));
            }
        }
    }

    private WorkItem createItem(long now) {
        // Skewed distribution: the first tenth of the teams requests nearly half of the work.
        int team = (int) (mTeams * Math.pow(mRandom.nextDouble(), 3));
        long number = ++mRequests;
        return new WorkItem(
                new RequestKey("team-" + team, "r" + number),
                "model-" + mRandom.nextInt(MODELS),
                "kind",
                mRandom.nextInt(3) == 0 ? Rank.URGENT : Rank.STANDARD,
                1_000,
                2 * OUTPUT_TOKENS,
                List.of(),
                new Fingerprint(1, number),
                now,
                WorkItem.NO_DEADLINE);
    }

    private static List<UpstreamInfo> selectSubset(List<UpstreamInfo> all, int subset) {
        List<UpstreamInfo> sample = new ArrayList<>();
        Map<String, Integer> taken = new HashMap<>();
        for (UpstreamInfo info : all) {
            boolean sameRegion = info.location().region().equals("r0");
            String model = info.models().iterator().next();
            if (sameRegion && taken.merge(model, 1, Integer::sum) <= subset) {
                sample.add(info);
            }
        }
        return sample;
    }

    private static List<UpstreamInfo> engines(int count) {
        List<UpstreamInfo> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int region = i % REGIONS;
            String zone = "r" + region + "-z" + i / REGIONS % ZONES;
            engines.add(
                    new UpstreamInfo(
                            "engine-" + i,
                            URI.create("http://127.0.0.1:1"),
                            new Location("r" + region, zone),
                            Set.of("model-" + i / REGIONS / ZONES % MODELS),
                            16,
                            400,
                            8_000,
                            Set.of(Capability.RESUME, Capability.PRIORITY)));
        }
        return engines;
    }

    private record Running(RequestKey id, long endStep) {}
}
