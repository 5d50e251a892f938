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
import org.gentianwalk.core.policy.routing.RegionBudget;
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
    private final Map<RequestKey, Work> mWork = new HashMap<>();
    private final PriorityQueue<Work> mDeadlines =
            new PriorityQueue<>(Comparator.comparingLong(work -> work.mItem.deadlineNanos()));
    private final List<Decision> mPending = new ArrayList<>();
    private final CostEstimator mCosts;
    private final RetryBudget mRetries;
    private final SuspectTable mSuspects;
    private final PrefixIndex mPrefixes;
    private final RegionBudget mLink;
    private final Router mRouter;
    private final HealthMonitor mHealth;
    private final Dispatcher mDispatcher;
    private final Fleet mFleet;
    private final EngineSharing mSharing;
    private final Intake mIntake;
    private final Random mRandom;
    private final Dispatcher.Sink mSink =
            new Dispatcher.Sink() {
                @Override
                public void started(Decision.Start start) {
                    mPending.add(start);
                }

                @Override
                public void left(Work work, Decision decision) {
                    leave(work, decision);
                }

                @Override
                public void preempted(Work work, long nowNanos) {
                    mPending.add(new Decision.Cancel(work.mItem, "preempted", null));
                    work.mPreemptions++;
                    work.mExempt = true;
                    requeue(work, nowNanos);
                    work.mAvoided = null;
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
        mLink = new RegionBudget(routing.linkBytesPerSecond(), routing.urgentLinkShare());
        mRouter = new Router(options, mPrefixes, mLink, mRandom);
        mHealth = new HealthMonitor(options.health());
        mDispatcher = new Dispatcher(mRetries, mSuspects, mCosts, mRouter, mLink, mPrefixes);
        mFleet = new Fleet(options, instance, self, mSuspects, mRandom);
        mIntake = new Intake(options, mSuspects, mCosts, mFleet);
    }

    @Override
    public void upstreams(Collection<UpstreamInfo> upstreams, long nowNanos) {
        mEngines.replace(upstreams);
        for (UpstreamInfo info : upstreams) {
            mSuspects.engine(info.id(), info.location().availabilityZone());
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
        mFleet.homes(mPools.values());
        mSharing.divide(mPools.values(), mFleet.regionMembers());
    }

    @Override
    public void members(Map<String, Location> live, long nowNanos) {
        mFleet.members(live);
        int sharers = Math.max(1, mFleet.regionMembers().size());
        mLink.rate((double) mOptions.routing().linkBytesPerSecond() / sharers);
        mFleet.homes(mPools.values());
        mSharing.divide(mPools.values(), mFleet.regionMembers());
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
        Work work = new Work(item, share, 1, 0, nowNanos);
        work.mEstimate = mCosts.cost(item, mCosts.output(item), 0);
        pool.offered(work, nowNanos);
        ServeError error = mIntake.refusal(pool, work, nowNanos);
        if (error != null) {
            return new OfferResult.Refused(error);
        }
        double ahead = pool.mQueue.fresh(item.rank()).work();
        accept(pool, work);
        if (!bound(pool, work, nowNanos)) {
            mWork.remove(item.id());
            return new OfferResult.Refused(Refusals.overloaded(pool, members(), nowNanos));
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
        Work work = new Work(item, share, attempt, tokensDone, nowNanos);
        work.mEstimate = mCosts.cost(item, mCosts.output(item), 0);
        if (mSuspects.verdict(item.fingerprint(), nowNanos) == Verdict.CONVICTED) {
            return new OfferResult.Refused(Refusals.convicted(work));
        }
        accept(pool, work);
        return new OfferResult.Queued(0);
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        if (!mStarted || nowNanos - mNextTick >= 0) {
            mStarted = true;
            mNextTick = nowNanos + TICK_NANOS;
            tick(nowNanos);
        }
        long spread = mFleet.spreadNanos();
        for (Pool pool : mPools.values()) {
            if (!pool.mQueue.isEmpty()) {
                mDispatcher.dispatch(pool, spread, nowNanos, mSink);
            }
        }
        List<Decision> decisions = List.copyOf(mPending);
        mPending.clear();
        return decisions;
    }

    @Override
    public void progress(RequestKey id, int tokens, long nowNanos) {
        Work work = mDispatcher.running().get(id);
        if (work != null) {
            work.progressed(tokens, nowNanos);
        }
    }

    @Override
    public void attemptLost(RequestKey id, Loss loss, long nowNanos) {
        Work work = mDispatcher.running().get(id);
        EngineState engine = work == null ? null : work.mEngine;
        if (work == null || engine == null) {
            return;
        }
        if (loss != Loss.REFUSED) {
            mSuspects.loss(work.mItem.fingerprint(), engine.id(), nowNanos);
        }
        if (loss == Loss.UPSTREAM_FAILED) {
            mSuspects.engineLost(engine.id(), nowNanos);
        }
        if (loss != Loss.STALLED) {
            engine.health().eject(FAILED_EJECTION_NANOS, nowNanos);
        }
        requeue(work, nowNanos);
    }

    @Override
    public void finished(RequestKey id, int cachedPromptTokens, long nowNanos) {
        ended(id, End.COMPLETED, cachedPromptTokens, nowNanos);
    }

    @Override
    public void ended(RequestKey id, End end, int cachedPromptTokens, long nowNanos) {
        Work work = mWork.remove(id);
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
        settle(work, cachedPromptTokens, nowNanos);
        work.stopped(nowNanos);
        if (end == End.COMPLETED) {
            mCosts.learn(work.mItem, work.mTokensDone);
            mSuspects.finished(work.mItem.fingerprint(), nowNanos);
        }
    }

    @Override
    public void loadReport(LoadReport report, long nowNanos) {
        EngineState engine = mEngines.get(report.upstream());
        if (engine != null) {
            engine.report(report, mRandom.nextDouble(), nowNanos);
        }
    }

    @Override
    public void cacheEvents(String upstream, List<Long> stored, List<Long> evicted, long nowNanos) {
        mPrefixes.evicted(upstream, evicted);
        mPrefixes.stored(upstream, stored);
    }

    @Override
    public void availability(String upstream, Availability availability, long nowNanos) {
        EngineState engine = mEngines.get(upstream);
        if (engine != null) {
            engine.availability(availability);
            if (availability == Availability.LOST) {
                mSuspects.engineLost(upstream, nowNanos);
            }
        }
    }

    @Override
    public List<Addressed> messages(long nowNanos) {
        List<Addressed> messages = new ArrayList<>();
        for (Addressed addressed : mFleet.messages(mPools.values(), nowNanos)) {
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
            case UsageReport report -> mFleet.receive(report, nowNanos);
            case PoolLevel level -> mFleet.receive(level, mPools.values(), nowNanos);
            case SuspectNotice notice -> mSuspects.merge(notice.entries(), nowNanos);
        }
    }

    private void accept(Pool pool, Work work) {
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
    private boolean bound(Pool pool, Work added, long nowNanos) {
        for (Work excess : mIntake.excess(pool, added, nowNanos)) {
            if (excess == added) {
                return false;
            }
            ServeError error = Refusals.overloaded(pool, members(), nowNanos);
            leave(excess, new Decision.Refuse(excess.mItem, error));
        }
        return true;
    }

    private void leave(Work work, Decision decision) {
        mWork.remove(work.mItem.id());
        mPending.add(decision);
    }

    private void tick(long nowNanos) {
        for (Pool pool : mPools.values()) {
            for (EngineState engine : mHealth.check(pool.mEngines, nowNanos)) {
                moveWork(engine, nowNanos);
            }
            long oldest = nowNanos - mOptions.admission().queueTimeout().toNanos();
            for (Work work : pool.mQueue.removeOlder(oldest)) {
                leave(
                        work,
                        new Decision.Refuse(
                                work.mItem, Refusals.overloaded(pool, members(), nowNanos)));
            }
            long lost = nowNanos - CONTINUATION_TIMEOUT_NANOS;
            for (Work work : pool.mQueue.removeOlderContinuations(lost)) {
                leave(
                        work,
                        new Decision.Refuse(
                                work.mItem, Refusals.failed("no engine had a free slot")));
            }
        }
        deadlines(nowNanos);
        if (nowNanos - mNextHousekeeping >= 0) {
            mNextHousekeeping = nowNanos + HOUSEKEEPING_NANOS;
            mSuspects.expire(nowNanos);
            for (Pool pool : mPools.values()) {
                for (Rank rank : Rank.values()) {
                    pool.mQueue.fresh(rank).forgetIdle();
                }
            }
        }
    }

    private void moveWork(EngineState engine, long nowNanos) {
        for (Work work : List.copyOf(mDispatcher.running().values())) {
            if (work.mEngine == engine && mRetries.isAvailable(work.mItem.team())) {
                mSuspects.loss(work.mItem.fingerprint(), engine.id(), nowNanos);
                mPending.add(new Decision.Cancel(work.mItem, "engine is silent", null));
                requeue(work, nowNanos);
            }
        }
    }

    private void deadlines(long nowNanos) {
        while (!mDeadlines.isEmpty() && mDeadlines.element().mItem.deadlineNanos() <= nowNanos) {
            Work work = mDeadlines.remove();
            if (mWork.get(work.mItem.id()) != work) {
                continue;
            }
            ServeError error = Refusals.deadline(work);
            Pool pool = mPools.get(work.mItem.model());
            if (mDispatcher.running().remove(work.mItem.id()) != null) {
                settle(work, work.mCachedTokens, nowNanos);
                work.stopped(nowNanos);
                leave(work, new Decision.Cancel(work.mItem, "deadline passed", error));
            } else if (pool != null) {
                pool.mQueue.remove(work);
                leave(work, new Decision.Refuse(work.mItem, error));
            }
        }
    }

    private void requeue(Work work, long nowNanos) {
        mDispatcher.running().remove(work.mItem.id());
        settle(work, work.mCachedTokens, nowNanos);
        work.stopped(nowNanos);
        work.mAttempt++;
        work.mQueuedAt = nowNanos;
        Pool pool = mPools.get(work.mItem.model());
        if (work.mAttempt > mOptions.retry().maxAttempts() || pool == null) {
            leave(
                    work,
                    new Decision.Refuse(work.mItem, Refusals.failed("too many attempts failed")));
            return;
        }
        pool.mQueue.add(work);
    }

    /** Replaces the estimates charged at the start by the attempt's actual usage. */
    private void settle(Work work, int cachedTokens, long nowNanos) {
        if (work.mLinkBytes > 0) {
            double used = mRouter.linkBytes(work.mItem, work.mAttemptTokens);
            mLink.charge(used - work.mLinkBytes, nowNanos);
            work.mLinkBytes = 0;
        }
        Pool pool = mPools.get(work.mItem.model());
        if (pool != null) {
            double used = mCosts.cost(work.mItem, work.mAttemptTokens, cachedTokens);
            pool.charge(work, used - work.mCharged, false, nowNanos);
            work.mCharged = 0;
        }
    }

    private int members() {
        return mFleet.regionMembers().size();
    }
}
