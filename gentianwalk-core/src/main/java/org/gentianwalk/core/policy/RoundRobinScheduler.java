package org.gentianwalk.core.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;
import org.jspecify.annotations.Nullable;

/**
 * Starts work in FIFO order on upstreams in round-robin order, without limits. Serves as the
 * baseline of the policy experiments.
 *
 * <p>Options: none. Example: {@code Scheduler scheduler = new RoundRobinScheduler();}
 */
public final class RoundRobinScheduler implements Scheduler {
    private static final int MAX_ATTEMPTS = 8;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final List<UpstreamInfo> mUpstreams = new ArrayList<>();
    private final Set<String> mUnavailable = new HashSet<>();
    private final Deque<Entry> mQueue = new ArrayDeque<>();
    private final Map<RequestKey, Entry> mRunning = new HashMap<>();
    private int mNext;

    @Override
    public void replaceUpstreams(Collection<UpstreamInfo> upstreams, long nowNanos) {
        mUpstreams.clear();
        mUpstreams.addAll(upstreams);
    }

    @Override
    public OfferResult offer(WorkItem item, long nowNanos) {
        return offerContinuation(item, 0, 1, nowNanos);
    }

    @Override
    public OfferResult offerContinuation(
            WorkItem item, int tokensDone, int attempt, long nowNanos) {
        mQueue.addLast(new Entry(item, attempt));
        return new OfferResult.Queued(0);
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        List<Decision> decisions = new ArrayList<>();
        while (!mQueue.isEmpty()) {
            Entry entry = mQueue.removeFirst();
            decisions.add(decide(entry));
        }
        return decisions;
    }

    @Override
    public void progress(RequestKey id, int tokens, long nowNanos) {}

    @Override
    public void attemptLost(RequestKey id, Loss loss, long nowNanos) {
        Entry entry = mRunning.remove(id);
        if (entry != null) {
            mQueue.addFirst(new Entry(entry.item(), entry.attempt() + 1));
        }
    }

    @Override
    public void finished(RequestKey id, int cachedPromptTokens, long nowNanos) {
        mRunning.remove(id);
        mQueue.removeIf(entry -> entry.item().id().equals(id));
    }

    @Override
    public void loadReport(LoadReport report, long nowNanos) {}

    @Override
    public void cacheEvents(
            String upstream, List<Long> stored, List<Long> evicted, long nowNanos) {}

    @Override
    public void availability(String upstream, Availability availability, long nowNanos) {
        if (availability == Availability.LIVE) {
            mUnavailable.remove(upstream);
        } else {
            mUnavailable.add(upstream);
        }
    }

    private Decision decide(Entry entry) {
        WorkItem item = entry.item();
        UpstreamInfo chosen = entry.attempt() > MAX_ATTEMPTS ? null : nextUpstream(item.model());
        if (chosen == null) {
            return new Decision.Refuse(
                    item, ServeError.refused(ErrorKind.NO_UPSTREAM, RETRY_AFTER, item.model()));
        }
        mRunning.put(item.id(), entry);
        List<Decision.Candidate> candidates = List.of(new Decision.Candidate(chosen.id(), 0));
        return new Decision.Start(
                item,
                entry.attempt(),
                chosen.id(),
                item.rank().ordinal(),
                candidates,
                "round robin");
    }

    private @Nullable UpstreamInfo nextUpstream(String model) {
        for (int i = 0; i < mUpstreams.size(); i++) {
            UpstreamInfo candidate = mUpstreams.get(mNext++ % mUpstreams.size());
            if (candidate.models().contains(model) && !mUnavailable.contains(candidate.id())) {
                return candidate;
            }
        }
        return null;
    }

    /** Work and the number of its next attempt. */
    private record Entry(WorkItem item, int attempt) {}
}
