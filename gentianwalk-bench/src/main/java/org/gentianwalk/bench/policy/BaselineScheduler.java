package org.gentianwalk.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.OfferResult;
import org.gentianwalk.core.policy.Scheduler;
import org.gentianwalk.core.policy.routing.EngineState;
import org.jspecify.annotations.Nullable;

/** Baseline scheduler without fairness between teams, refusals or health checks. */
final class BaselineScheduler implements Scheduler {
    private static final long REPORT_LAG_NANOS = 250_000_000L;
    private static final long AVOID_AFTER_FAILURE_NANOS = 2_000_000_000L;
    private static final int MAX_QUEUED_PER_ENGINE = 1;

    private final boolean mUsesReports;
    private final boolean mQueues;
    private final boolean mUsesRank;
    private final Random mRandom;
    private final Map<String, EngineState> mEngines = new LinkedHashMap<>();
    private final Map<String, Long> mFailedAt = new HashMap<>();
    private final Map<RequestKey, Entry> mRunning = new HashMap<>();
    private final Map<String, Deque<Entry>> mQueueByModel = new LinkedHashMap<>();

    /**
     * Creates a scheduler.
     *
     * @param usesReports whether load reports are used to account for the load of other instances
     * @param queues whether work waits in a queue until an engine has capacity
     * @param usesRank whether the rank is passed to the engine as priority
     * @param seed seed for breaking ties between engines
     */
    BaselineScheduler(boolean usesReports, boolean queues, boolean usesRank, long seed) {
        mUsesReports = usesReports;
        mQueues = queues;
        mUsesRank = usesRank;
        mRandom = new Random(seed);
    }

    @Override
    public void replaceUpstreams(Collection<UpstreamInfo> upstreams, long nowNanos) {
        mEngines.clear();
        for (UpstreamInfo info : upstreams) {
            mEngines.put(info.id(), new EngineState(info, Distance.SAME_REGION, REPORT_LAG_NANOS));
        }
    }

    @Override
    public OfferResult offer(WorkItem item, long nowNanos) {
        return offerContinuation(item, 0, 1, nowNanos);
    }

    @Override
    public OfferResult offerContinuation(
            WorkItem item, int tokensDone, int attempt, long nowNanos) {
        queue(item.model()).addLast(new Entry(item, attempt));
        return new OfferResult.Queued(0);
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        List<Decision> decisions = new ArrayList<>();
        for (Deque<Entry> queue : mQueueByModel.values()) {
            while (!queue.isEmpty()) {
                EngineState engine = selectEngine(queue.getFirst().mItem.model(), nowNanos);
                if (engine == null) {
                    break;
                }
                decisions.add(startAttempt(queue.removeFirst(), engine, nowNanos));
            }
        }
        return decisions;
    }

    @Override
    public void progress(RequestKey id, int tokens, long nowNanos) {}

    @Override
    public void attemptLost(RequestKey id, Loss loss, long nowNanos) {
        Entry entry = mRunning.remove(id);
        if (entry != null && entry.mEngine != null) {
            entry.mEngine.workEnded(false, nowNanos);
            mFailedAt.put(entry.mEngine.id(), nowNanos);
            queue(entry.mItem.model()).addFirst(new Entry(entry.mItem, entry.mAttempt + 1));
        }
    }

    @Override
    public void finished(RequestKey id, int cachedPromptTokens, long nowNanos) {
        Entry entry = mRunning.remove(id);
        if (entry != null && entry.mEngine != null) {
            entry.mEngine.workEnded(false, nowNanos);
        }
    }

    @Override
    public void loadReport(LoadReport report, long nowNanos) {
        EngineState engine = mEngines.get(report.upstream());
        if (engine != null && mUsesReports) {
            engine.recordReport(report, 0, nowNanos);
        }
    }

    @Override
    public void cacheEvents(
            String upstream, List<Long> stored, List<Long> evicted, long nowNanos) {}

    @Override
    public void availability(String upstream, Availability availability, long nowNanos) {}

    private Decision startAttempt(Entry entry, EngineState engine, long nowNanos) {
        engine.workStarted(0, false, nowNanos);
        entry.mEngine = engine;
        WorkItem item = entry.mItem;
        mRunning.put(item.id(), entry);
        return new Decision.Start(
                item,
                entry.mAttempt,
                engine.id(),
                mUsesRank ? item.rank().ordinal() : 0,
                List.of(new Decision.Candidate(engine.id(), engine.load())),
                "lowest load");
    }

    private @Nullable EngineState selectEngine(String model, long nowNanos) {
        EngineState best = null;
        double bestLoad = Double.POSITIVE_INFINITY;
        for (EngineState engine : mEngines.values()) {
            if (!engine.info().models().contains(model)) {
                continue;
            }
            long failedAt = mFailedAt.getOrDefault(engine.id(), -AVOID_AFTER_FAILURE_NANOS);
            double load = engine.load() + mRandom.nextDouble();
            load += nowNanos - failedAt < AVOID_AFTER_FAILURE_NANOS ? Short.MAX_VALUE : 0;
            if (load < bestLoad) {
                best = engine;
                bestLoad = load;
            }
        }
        boolean full = best != null && best.load() >= best.info().slots() + MAX_QUEUED_PER_ENGINE;
        return full && mQueues ? null : best;
    }

    private Deque<Entry> queue(String model) {
        return mQueueByModel.computeIfAbsent(model, name -> new ArrayDeque<>());
    }

    /** A work item and the engine that it runs on. */
    private static final class Entry {
        final WorkItem mItem;
        final int mAttempt;
        @Nullable EngineState mEngine;

        Entry(WorkItem item, int attempt) {
            mItem = item;
            mAttempt = attempt;
        }
    }
}
