package org.gentianwalk.core.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.admission.CostEstimator;
import org.gentianwalk.core.policy.fairness.PolicyMessage;
import org.gentianwalk.core.policy.fairness.PolicyMessage.Addressed;
import org.gentianwalk.core.policy.fairness.PolicyMessage.PoolLevel;
import org.gentianwalk.core.policy.fairness.PolicyMessage.SuspectNotice;
import org.gentianwalk.core.policy.fairness.PolicyMessage.UsageReport;
import org.gentianwalk.core.policy.fairness.PoolKey;
import org.gentianwalk.core.policy.retry.RetryBudget;
import org.gentianwalk.core.policy.routing.EngineState;
import org.gentianwalk.core.policy.routing.HealthMonitor;
import org.gentianwalk.core.policy.routing.PrefixIndex;
import org.gentianwalk.core.policy.routing.RegionLinkBudget;
import org.gentianwalk.core.policy.routing.Router;
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;

/**
 * The production scheduler: a fair queue for each of two ranks, routing by load and cached prefix,
 * engine health checks, retry budgets, isolation of suspect requests, and fair shares across all
 * instances.
 *
 * <p>Options: {@link PolicyOptions}. Example: {@code new FairScheduler(PolicyOptions.defaults(),
 * ShareRules.EQUAL, "i1", location, 1)}.
 */
public final class FairScheduler implements Scheduler, PolicyPeer {
    /** Interval between checks of timeouts and engine health. */
    private static final long TICK_NANOS = 20_000_000L;

    private static final long HOUSEKEEPING_NANOS = 10_000_000_000L;

    /** Ejection time after a failed connection; doubles with each consecutive failure. */
    private static final long FAILED_EJECTION_NANOS = 1_000_000_000L;

    /** Time after which an interrupted generation that found no free engine fails. */
    private static final long CONTINUATION_TIMEOUT_NANOS = 30_000_000_000L;

    private final PolicyOptions mOptions;
    private final ShareRules mShares;
    private final String mInstance;
    private final Location mSelf;
    private final EngineTable mEngines;
    private final Map<String, Pool> mPools = new TreeMap<>();
    private final Map<RequestKey, ScheduledWork> mWork = new HashMap<>();
    private final PriorityQueue<ScheduledWork> mDeadlines =
            new PriorityQueue<>(Comparator.comparingLong(work -> work.mItem.deadlineNanos()));
    private final List<Decision> mPending = new ArrayList<>();
    private final CostEstimator mCosts;
    private final RetryBudget mRetries;
    private final SuspectTable mSuspects;
    private final PrefixIndex mPrefixes;
    private final RegionLinkBudget mLinkBudget;
    private final Router mRouter;
    private final Dispatcher mDispatcher;
    private final SilentWork mSilent;
    private final PeerExchange mPeers;
    private final EngineSharing mSharing;
    private final AdmissionControl mAdmission;
    private final Random mRandom;
    private final Dispatcher.Sink mSink =
            new Dispatcher.Sink() {
                @Override
                public void started(Decision.Start start) {
                    mPending.add(start);
                }

                @Override
                public void removed(ScheduledWork work, Decision decision) {
                    removeWork(work, decision);
                }

                @Override
                public void preempted(ScheduledWork work, long nowNanos) {
                    mPending.add(new Decision.Cancel(work.mItem, "preempted", null));
                    work.mPreemptions++;
                    work.mRetryBudgetExempt = true;
                    work.mCountedAttempts++;
                    requeue(work, nowNanos);
                    work.mAvoidedEngine = null;
                }
            };
    private long mNextTick;
    private long mNextHousekeeping;
    private boolean mStarted;

    /**
     * Creates a scheduler without upstreams.
     *
     * @param options options of the policy
     * @param shares weights and caps of teams
     * @param instance this instance's identifier
     * @param self location of this instance
     * @param seed seed of the random choices
     */
    public FairScheduler(
            PolicyOptions options, ShareRules shares, String instance, Location self, long seed) {
        mOptions = options;
        mShares = shares;
        mInstance = instance;
        mSelf = self;
        mRandom = new Random(seed);
        PolicyOptions.Routing routing = options.routing();
        mEngines = new EngineTable(routing, instance, self);
        mSharing = new EngineSharing(instance, mEngines);
        mCosts = new CostEstimator(options.admission());
        mRetries = new RetryBudget(options.retry());
        mSuspects = new SuspectTable(options.retry());
        mPrefixes = new PrefixIndex(routing.prefixEntries());
        mLinkBudget = new RegionLinkBudget(routing.linkBytesPerSecond(), routing.urgentLinkShare());
        mRouter = new Router(options, mPrefixes, mLinkBudget, mRandom);
        mDispatcher = new Dispatcher(mRetries, mSuspects, mCosts, mRouter, mLinkBudget, mPrefixes);
        HealthMonitor health = new HealthMonitor(options.health());
        mSilent = new SilentWork(health, mDispatcher, mRetries, mSuspects);
        mPeers = new PeerExchange(options, instance, self, mSuspects, mRandom);
        mAdmission = new AdmissionControl(options, mSuspects, mCosts, mPeers);
    }

    @Override
    public void replaceUpstreams(Collection<UpstreamInfo> upstreams, long nowNanos) {
        mEngines.replace(upstreams);
        for (UpstreamInfo info : upstreams) {
            mSuspects.registerEngine(info.id(), info.location().availabilityZone());
        }
        for (String model : mEngines.models()) {
            mPools.computeIfAbsent(
                    model,
                    name ->
                            new Pool(
                                    new PoolKey(name, mSelf.region()),
                                    mOptions,
                                    mInstance,
                                    nowNanos));
        }
        mPools.forEach(
                (model, pool) -> {
                    pool.mEngines = mEngines.ofModel(model);
                    pool.mCapacity = mEngines.capacity(model);
                });
        mPeers.assignHomes(mPools.values());
        mSharing.divide(mPools.values(), mPeers.regionMembers());
    }

    @Override
    public void replaceMembers(Map<String, Location> live, long nowNanos) {
        mPeers.replaceMembers(live);
        int regionSize = Math.max(1, mPeers.regionMembers().size());
        mLinkBudget.updateRate((double) mOptions.routing().linkBytesPerSecond() / regionSize);
        mPeers.assignHomes(mPools.values());
        mSharing.divide(mPools.values(), mPeers.regionMembers());
    }

    @Override
    public boolean uses(String upstream) {
        return mEngines.get(upstream) != null;
    }

    @Override
    public OfferResult offer(WorkItem item, long nowNanos) {
        Pool pool = mPools.get(item.model());
        if (pool == null) {
            return new OfferResult.Refused(Refusals.noUpstream(item.model()));
        }
        ShareRules.Share share = mShares.share(item.team(), item.kind());
        ScheduledWork work = new ScheduledWork(item, share, 1, 0, nowNanos);
        work.mEstimate = mCosts.cost(item, mCosts.estimateOutput(item), 0);
        pool.recordOffer(work, nowNanos);
        ServeError error = mAdmission.refusal(pool, work, nowNanos);
        if (error != null) {
            return new OfferResult.Refused(error);
        }
        double ahead = pool.mQueue.newWork(item.rank()).queuedTokens();
        enqueue(pool, work);
        if (!enforceQueueBound(pool, work, nowNanos)) {
            mWork.remove(item.id());
            return new OfferResult.Refused(
                    Refusals.overloaded(pool, regionMemberCount(), nowNanos));
        }
        return new OfferResult.Queued((long) ahead);
    }

    @Override
    public OfferResult offerContinuation(
            WorkItem item, int tokensDone, int attempt, long nowNanos) {
        Pool pool = mPools.get(item.model());
        if (pool == null) {
            return new OfferResult.Refused(Refusals.noUpstream(item.model()));
        }
        ShareRules.Share share = mShares.share(item.team(), item.kind());
        ScheduledWork work = new ScheduledWork(item, share, attempt, tokensDone, nowNanos);
        work.mEstimate = mCosts.cost(item, mCosts.estimateOutput(item), 0);
        if (mSuspects.verdict(item.fingerprint(), nowNanos) == Verdict.CONVICTED) {
            return new OfferResult.Refused(Refusals.convicted(work));
        }
        enqueue(pool, work);
        return new OfferResult.Queued(0);
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        if (!mStarted || nowNanos - mNextTick >= 0) {
            mStarted = true;
            mNextTick = nowNanos + TICK_NANOS;
            tick(nowNanos);
        }
        long gossipNanos = mPeers.gossipNanos();
        for (Pool pool : mPools.values()) {
            if (!pool.mQueue.isEmpty()) {
                mDispatcher.dispatch(pool, gossipNanos, nowNanos, mSink);
            }
        }
        List<Decision> decisions = List.copyOf(mPending);
        mPending.clear();
        return decisions;
    }

    @Override
    public void progress(RequestKey id, int tokens, long nowNanos) {
        ScheduledWork work = mDispatcher.running().get(id);
        if (work != null) {
            work.recordTokens(tokens, nowNanos);
        }
    }

    @Override
    public void attemptLost(RequestKey id, Loss loss, long nowNanos) {
        ScheduledWork work = mDispatcher.running().get(id);
        EngineState engine = work == null ? null : work.mEngine;
        if (work == null || engine == null) {
            return;
        }
        if (loss == Loss.UPSTREAM_FAILED) {
            mSuspects.recordLoss(work.mItem.fingerprint(), engine.id(), nowNanos);
            mSuspects.recordEngineLoss(engine.id(), nowNanos);
        }
        if (loss == Loss.STALLED) {
            mSilent.moved(work, engine, nowNanos);
        } else {
            work.mCountedAttempts++;
            engine.health().eject(FAILED_EJECTION_NANOS, nowNanos);
        }
        requeue(work, nowNanos);
    }

    @Override
    public boolean mayReplaceStalled(RequestKey id, long nowNanos) {
        ScheduledWork work = mDispatcher.running().get(id);
        Pool pool = work == null ? null : mPools.get(work.mItem.model());
        return work == null || pool == null || mSilent.mayMove(pool, work, nowNanos);
    }

    @Override
    public void finished(RequestKey id, int cachedPromptTokens, long nowNanos) {
        ended(id, End.COMPLETED, cachedPromptTokens, nowNanos);
    }

    @Override
    public void ended(RequestKey id, End end, int cachedPromptTokens, long nowNanos) {
        ScheduledWork work = mWork.remove(id);
        if (work == null) {
            return;
        }
        Pool pool = mPools.get(work.mItem.model());
        if (mDispatcher.running().remove(id) == null) {
            if (pool != null) {
                pool.mQueue.remove(work);
            }
            return;
        }
        settleCharges(work, cachedPromptTokens, nowNanos);
        work.stopAttempt(nowNanos);
        if (end == End.COMPLETED) {
            mCosts.update(work.mItem, work.mTokensDone);
            mSuspects.clear(work.mItem.fingerprint(), nowNanos);
        }
    }

    @Override
    public void loadReport(LoadReport report, long nowNanos) {
        EngineState engine = mEngines.get(report.upstream());
        if (engine != null) {
            engine.recordReport(report, mRandom.nextDouble(), nowNanos);
            mSuspects.recordSignOfLife(
                    report.upstream(), nowNanos - mOptions.routing().reportLag().toNanos());
        }
    }

    @Override
    public void cacheEvents(String upstream, List<Long> stored, List<Long> evicted, long nowNanos) {
        mPrefixes.recordEvicted(upstream, evicted);
        mPrefixes.recordStored(upstream, stored);
    }

    @Override
    public void availability(String upstream, Availability availability, long nowNanos) {
        EngineState engine = mEngines.get(upstream);
        if (engine != null) {
            engine.updateAvailability(availability);
            if (availability == Availability.LOST || availability == Availability.ENDED) {
                mSuspects.recordEngineLoss(upstream, nowNanos);
            }
        }
    }

    @Override
    public List<Addressed> messages(long nowNanos) {
        List<Addressed> messages = new ArrayList<>();
        for (Addressed addressed : mPeers.messages(mPools.values(), nowNanos)) {
            if (addressed.instance().equals(mInstance)) {
                receive(addressed.message(), nowNanos);
            } else {
                messages.add(addressed);
            }
        }
        return messages;
    }

    @Override
    public void receive(PolicyMessage message, long nowNanos) {
        switch (message) {
            case UsageReport report -> mPeers.receive(report, nowNanos);
            case PoolLevel level -> mPeers.receive(level, mPools.values(), nowNanos);
            case SuspectNotice notice -> mSuspects.merge(notice.entries(), nowNanos);
        }
    }

    private void enqueue(Pool pool, ScheduledWork work) {
        pool.mQueue.add(work);
        mWork.put(work.mItem.id(), work);
        if (work.mItem.deadlineNanos() != WorkItem.NO_DEADLINE) {
            mDeadlines.add(work);
        }
    }

    /**
     * Drops work until the queue is within its bound. Returns false when the added work itself was
     * dropped.
     */
    private boolean enforceQueueBound(Pool pool, ScheduledWork added, long nowNanos) {
        for (ScheduledWork excess : mAdmission.removeExcess(pool, added, nowNanos)) {
            if (excess == added) {
                return false;
            }
            ServeError error = Refusals.overloaded(pool, regionMemberCount(), nowNanos);
            removeWork(excess, new Decision.Refuse(excess.mItem, error));
        }
        return true;
    }

    private void removeWork(ScheduledWork work, Decision decision) {
        mWork.remove(work.mItem.id());
        mPending.add(decision);
    }

    private void tick(long nowNanos) {
        mSilent.recordTick(mEngines.all(), nowNanos);
        for (Pool pool : mPools.values()) {
            mSilent.toMove(pool, nowNanos).forEach(work -> moveFromSilentEngine(work, nowNanos));
            long oldest = nowNanos - mOptions.admission().queueTimeout().toNanos();
            for (ScheduledWork work : pool.mQueue.removeOlderNewWork(oldest)) {
                removeWork(
                        work,
                        new Decision.Refuse(
                                work.mItem,
                                Refusals.overloaded(pool, regionMemberCount(), nowNanos)));
            }
            long lost = nowNanos - CONTINUATION_TIMEOUT_NANOS;
            for (ScheduledWork work : pool.mQueue.removeOlderContinuations(lost)) {
                removeWork(
                        work,
                        new Decision.Refuse(
                                work.mItem, Refusals.failed("no engine had a free slot")));
            }
        }
        expireDeadlines(nowNanos);
        if (nowNanos - mNextHousekeeping >= 0) {
            mNextHousekeeping = nowNanos + HOUSEKEEPING_NANOS;
            mSuspects.expire(nowNanos);
            for (Pool pool : mPools.values()) {
                for (Rank rank : Rank.values()) {
                    pool.mQueue.newWork(rank).removeIdleTeams();
                }
            }
        }
    }

    private void moveFromSilentEngine(ScheduledWork work, long nowNanos) {
        EngineState engine = work.mEngine;
        if (engine != null) {
            String reason = engine.silenceText(nowNanos);
            mPending.add(new Decision.Cancel(work.mItem, reason, null));
            mSilent.moved(work, engine, nowNanos);
            requeue(work, nowNanos);
        }
    }

    private void expireDeadlines(long nowNanos) {
        while (!mDeadlines.isEmpty() && mDeadlines.element().mItem.deadlineNanos() <= nowNanos) {
            ScheduledWork work = mDeadlines.remove();
            if (mWork.get(work.mItem.id()) != work) {
                continue;
            }
            ServeError error = Refusals.deadline(work);
            Pool pool = mPools.get(work.mItem.model());
            if (mDispatcher.running().remove(work.mItem.id()) != null) {
                settleCharges(work, work.mCachedTokens, nowNanos);
                work.stopAttempt(nowNanos);
                removeWork(work, new Decision.Cancel(work.mItem, "deadline passed", error));
            } else if (pool != null) {
                pool.mQueue.remove(work);
                removeWork(work, new Decision.Refuse(work.mItem, error));
            }
        }
    }

    private void requeue(ScheduledWork work, long nowNanos) {
        mDispatcher.running().remove(work.mItem.id());
        settleCharges(work, work.mCachedTokens, nowNanos);
        work.stopAttempt(nowNanos);
        work.mAttempt++;
        work.mQueuedAt = nowNanos;
        Pool pool = mPools.get(work.mItem.model());
        if (work.mCountedAttempts >= mOptions.retry().maxAttempts() || pool == null) {
            removeWork(
                    work,
                    new Decision.Refuse(work.mItem, Refusals.failed("too many attempts failed")));
            return;
        }
        pool.mQueue.add(work);
    }

    /** Replaces the estimates charged at the start by the attempt's actual usage. */
    private void settleCharges(ScheduledWork work, int cachedTokens, long nowNanos) {
        if (work.mLinkBytes > 0) {
            double used = mRouter.linkBytes(work.mItem, work.mAttemptTokens);
            mLinkBudget.charge(used - work.mLinkBytes, nowNanos);
            work.mLinkBytes = 0;
        }
        Pool pool = mPools.get(work.mItem.model());
        if (pool != null) {
            double used = mCosts.cost(work.mItem, work.mAttemptTokens, cachedTokens);
            pool.charge(work, used - work.mCharged, false, nowNanos);
            work.mCharged = 0;
        }
    }

    private int regionMemberCount() {
        return mPeers.regionMembers().size();
    }
}
