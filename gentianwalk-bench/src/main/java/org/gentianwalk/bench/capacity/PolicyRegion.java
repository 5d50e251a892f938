package org.gentianwalk.bench.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.FairScheduler;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.ShareRules;
import org.gentianwalk.core.policy.fairness.PolicyMessage;
import org.gentianwalk.core.policy.fairness.PolicyMessage.Addressed;
import org.gentianwalk.core.policy.fairness.PoolKey;
import org.gentianwalk.core.policy.fairness.TeamDemand;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.PoolId;
import org.gentianwalk.proto.PoolLevel;
import org.gentianwalk.proto.TeamTotal;
import org.gentianwalk.proto.UsageReport;

/**
 * Runs all schedulers of one region, each under the load of one node, with exact message sizes.
 * Only the second half of the run is measured. It covers ticks, usage reports and pool levels, but
 * not requests and tokens.
 */
final class PolicyRegion {
    private static final long STEP_NANOS = 100_000_000L;
    private static final int STEPS_PER_SECOND = 10;
    private static final double REQUESTS_PER_STEP = 3.5;
    private static final int GENERATION_STEPS = 80;
    private static final int TOKENS_PER_GENERATION = 275;

    private final Map<String, FairScheduler> mSchedulers = new TreeMap<>();
    private final Map<String, Deque<Running>> mRunning = new HashMap<>();
    private final Map<String, Long> mBytes = new HashMap<>();
    private final Random mRandom = new Random(1);
    private final int mTeams;
    private final int mModels;
    private long mCpuNanos;

    PolicyRegion(int instances, int teams, int models) {
        mTeams = teams;
        mModels = models;
        List<UpstreamInfo> engines =
                SchedulerProbes.createEngines(8 * models * SchedulerProbes.REGIONS, models);
        Map<String, Location> members = new TreeMap<>();
        for (int i = 0; i < instances; i++) {
            String zone = "zone-0-" + i % SchedulerProbes.ZONES;
            members.put("entry-instance-" + i, new Location("region-0", zone));
        }
        members.forEach(
                (id, location) -> {
                    FairScheduler scheduler =
                            new FairScheduler(
                                    PolicyOptions.defaults(),
                                    ShareRules.EQUAL,
                                    id,
                                    location,
                                    mRandom.nextLong());
                    scheduler.replaceUpstreams(engines, 0);
                    scheduler.replaceMembers(members, 0);
                    mSchedulers.put(id, scheduler);
                });
    }

    Cost run(int seconds) {
        int steps = seconds * STEPS_PER_SECOND;
        for (int step = 1; step <= steps; step++) {
            if (step == steps / 2) {
                mCpuNanos = 0;
                mBytes.clear();
            }
            long now = step * STEP_NANOS;
            for (Map.Entry<String, FairScheduler> each : mSchedulers.entrySet()) {
                runRequests(each.getKey(), each.getValue(), now);
                runControl(each.getKey(), each.getValue(), now);
            }
        }
        double measured = seconds / 2.0;
        double sum = mBytes.values().stream().mapToLong(Long::longValue).sum();
        long highest = mBytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return new Cost(
                sum / mSchedulers.size() / measured,
                highest / measured,
                mCpuNanos / 1e3 / mSchedulers.size() / measured);
    }

    private void runRequests(String id, FairScheduler scheduler, long now) {
        Deque<Running> running = mRunning.computeIfAbsent(id, key -> new ArrayDeque<>());
        for (Running each : running) {
            scheduler.progress(each.key(), TOKENS_PER_GENERATION / GENERATION_STEPS, now);
        }
        while (!running.isEmpty() && running.getFirst().endNanos() <= now) {
            scheduler.finished(running.removeFirst().key(), 0, now);
        }
        int count = (int) (REQUESTS_PER_STEP + mRandom.nextDouble());
        for (int i = 0; i < count; i++) {
            scheduler.offer(SchedulerProbes.createItem(mRandom, mTeams, mModels, now), now);
        }
        for (Decision decision : scheduler.advance(now)) {
            if (decision instanceof Decision.Start start) {
                running.addLast(
                        new Running(start.item().id(), now + GENERATION_STEPS * STEP_NANOS));
            }
        }
    }

    private void runControl(String id, FairScheduler scheduler, long now) {
        long started = Meter.cpuNanos();
        // The server ticks every 20 ms; the first tick of the step ran with the requests.
        for (int tick = 1; tick < 5; tick++) {
            scheduler.advance(now + tick * STEP_NANOS / 5);
        }
        List<Addressed> messages = scheduler.messages(now);
        mCpuNanos += Meter.cpuNanos() - started;
        for (Addressed addressed : messages) {
            FairScheduler receiver = mSchedulers.get(addressed.instance());
            if (receiver == null) {
                throw new IllegalStateException("unknown instance " + addressed.instance());
            }
            if (!addressed.instance().equals(id)) {
                long bytes = frameBytes(addressed.message());
                mBytes.merge(id, bytes, Long::sum);
                mBytes.merge(addressed.instance(), bytes, Long::sum);
            }
            long before = Meter.cpuNanos();
            receiver.receive(addressed.message(), now);
            mCpuNanos += Meter.cpuNanos() - before;
        }
    }

    private static long frameBytes(PolicyMessage message) {
        return switch (message) {
            case PolicyMessage.UsageReport report ->
                    Frames.bytes(MessageType.USAGE_REPORT, encode(report));
            case PolicyMessage.PoolLevel level ->
                    Frames.bytes(MessageType.POOL_LEVEL, encode(level));
            case PolicyMessage.SuspectNotice notice ->
                    throw new IllegalStateException("unexpected suspect notice: " + notice);
        };
    }

    private static UsageReport encode(PolicyMessage.UsageReport report) {
        UsageReport.Builder builder =
                UsageReport.newBuilder()
                        .setPool(pool(report.pool()))
                        .setInstance(report.instance())
                        .setPeriod(report.period())
                        .setRestUrgentDemand((float) report.restUrgentDemand())
                        .setRestOtherDemand((float) report.restStandardDemand())
                        .setServed((float) report.served())
                        .setCapacityEstimate((float) report.capacity())
                        .setQueuedWork((float) report.queuedWork());
        for (TeamDemand team : report.heavy()) {
            builder.addHeavy(
                    org.gentianwalk.proto.TeamDemand.newBuilder()
                            .setTeam(team.team())
                            .setUrgent(team.rank() == Rank.URGENT)
                            .setDemand((float) team.demand())
                            .setServed((float) team.served())
                            .setWeight((float) team.weight()));
        }
        return builder.build();
    }

    private static PoolLevel encode(PolicyMessage.PoolLevel level) {
        PoolLevel.Builder builder =
                PoolLevel.newBuilder()
                        .setPool(pool(level.pool()))
                        .setPeriod(level.period())
                        .setUrgentLevel((float) level.urgentLevel())
                        .setOtherLevel((float) level.standardLevel())
                        .setReporters(level.reporters());
        for (PolicyMessage.TeamTotal total : level.totals()) {
            builder.addTotals(
                    TeamTotal.newBuilder()
                            .setTeam(total.team())
                            .setUrgent(total.rank() == Rank.URGENT)
                            .setDemand((float) total.demand()));
        }
        return builder.build();
    }

    private static PoolId pool(PoolKey pool) {
        return PoolId.newBuilder().setModel(pool.model()).setRegion(pool.region()).build();
    }

    /** Cost of one instance: mean and highest bytes per second, and CPU microseconds per second. */
    record Cost(double meanBytes, double highestBytes, double cpuMicros) {}

    private record Running(RequestKey key, long endNanos) {}
}
