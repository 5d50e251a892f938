package org.gentianwalk.core.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.admission.CostEstimator;
import org.gentianwalk.core.policy.fairness.TeamLimiter.LimitState;
import org.gentianwalk.core.policy.retry.RetryBudget;
import org.gentianwalk.core.policy.routing.EngineState;
import org.gentianwalk.core.policy.routing.PrefixIndex;
import org.gentianwalk.core.policy.routing.RegionLinkBudget;
import org.gentianwalk.core.policy.routing.Router;
import org.gentianwalk.core.policy.routing.Router.Route;
import org.gentianwalk.core.policy.routing.ServiceClass;
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Starts queued work on engines with free slots, in the order of service classes and fair queues.
 */
final class Dispatcher {
    /** Maximum starts and refusals of one pool in one call, to bound the cost of a call. */
    private static final int MAX_STEPS = 256;

    /** Maximum number of continuations examined to find one that may start. */
    private static final int MAX_CONTINUATIONS_EXAMINED = 64;

    /**
     * Time for which a suspect waits for one of the engines that only this instance uses for
     * suspects.
     */
    private static final long SUSPECT_WAIT_NANOS = 1_000_000_000L;

    /** Time for which a continuation avoids the engine that lost it. */
    private static final long AVOIDANCE_NANOS = 1_000_000_000L;

    /**
     * Maximum preemptions as a share of started work. Half of the 10% of extra attempts; the rest
     * is left for failures.
     */
    private static final double PREEMPTION_SHARE = 0.05;

    private static final double PREEMPTION_BURST = 16;

    /**
     * Standard work is preempted only while it receives at least this multiple of its reserved
     * share.
     */
    private static final double PREEMPTION_MARGIN = 2.5;

    private final RetryBudget mRetries;
    private final SuspectTable mSuspects;
    private final CostEstimator mCosts;
    private final Router mRouter;
    private final RegionLinkBudget mLinkBudget;
    private final PrefixIndex mPrefixes;
    private final Map<RequestKey, ScheduledWork> mRunning = new HashMap<>();
    private double mPreemptionCredit = PREEMPTION_BURST;
    private final Set<ScheduledWork> mSkipped = new HashSet<>();

    Dispatcher(
            RetryBudget retries,
            SuspectTable suspects,
            CostEstimator costs,
            Router router,
            RegionLinkBudget linkBudget,
            PrefixIndex prefixes) {
        mRetries = retries;
        mSuspects = suspects;
        mCosts = costs;
        mRouter = router;
        mLinkBudget = linkBudget;
        mPrefixes = prefixes;
    }

    Map<RequestKey, ScheduledWork> running() {
        return mRunning;
    }

    /**
     * Starts the queued work that engines have free slots for. The sink receives started work and
     * work that is refused.
     */
    void dispatch(Pool pool, long gossipNanos, long nowNanos, Sink sink) {
        mSkipped.clear();
        for (int step = 0; step < MAX_STEPS && !pool.mQueue.isEmpty(); step++) {
            if (!dispatchNext(pool, gossipNanos, nowNanos, sink)) {
                return;
            }
        }
    }

    private boolean dispatchNext(Pool pool, long gossipNanos, long nowNanos, Sink sink) {
        for (ServiceClass serviceClass : classOrder(pool)) {
            ScheduledWork work = nextWork(pool, serviceClass, gossipNanos, nowNanos);
            if (work == null) {
                continue;
            }
            ServeError error = refusal(work, nowNanos);
            if (error != null) {
                pool.mQueue.remove(work);
                sink.removed(work, new Decision.Refuse(work.mItem, error));
                return true;
            }
            if (mSuspects.verdict(work.mItem.fingerprint(), nowNanos) == Verdict.PENDING) {
                // A caller may send a request again before the losses of the first one convict it.
                mSkipped.add(work);
                return true;
            }
            if (tryPlace(pool, work, serviceClass, nowNanos, sink)) {
                return true;
            }
            if (work.isContinuation()) {
                mSkipped.add(work);
                return true;
            }
            if (serviceClass != ServiceClass.ABOVE_LEVEL) {
                // No later class may use more slots.
                return false;
            }
        }
        return false;
    }

    /**
     * Places work on an engine. Urgent work preempts standard work before it waits in an engine's
     * own queue.
     */
    private boolean tryPlace(
            Pool pool, ScheduledWork work, ServiceClass serviceClass, long nowNanos, Sink sink) {
        if (serviceClass != ServiceClass.URGENT) {
            return tryStart(pool, work, serviceClass, true, nowNanos, sink);
        }
        return tryStart(pool, work, serviceClass, false, nowNanos, sink)
                || tryPreempt(pool, nowNanos, sink)
                        && tryStart(pool, work, serviceClass, false, nowNanos, sink)
                || tryStart(pool, work, serviceClass, true, nowNanos, sink);
    }

    private static List<ServiceClass> classOrder(Pool pool) {
        List<ServiceClass> order = new ArrayList<>(7);
        if (pool.mQueue.hasWork(Rank.URGENT)) {
            if (pool.mQueue.hasWork(Rank.STANDARD) && pool.mRankShare.isStandardBelowShare()) {
                order.add(ServiceClass.KEPT_SHARE);
            }
            order.add(ServiceClass.URGENT_CONTINUATION);
            order.add(ServiceClass.URGENT);
        }
        if (pool.mQueue.hasWork(Rank.STANDARD)) {
            order.add(ServiceClass.STANDARD_CONTINUATION);
            order.add(ServiceClass.LIGHT);
            order.add(ServiceClass.STANDARD);
        }
        order.add(ServiceClass.ABOVE_LEVEL);
        return order;
    }

    private @Nullable ScheduledWork nextWork(
            Pool pool, ServiceClass serviceClass, long gossipNanos, long nowNanos) {
        PoolQueue queue = pool.mQueue;
        return switch (serviceClass) {
            case URGENT_CONTINUATION -> nextContinuation(pool, Rank.URGENT, gossipNanos, nowNanos);
            case STANDARD_CONTINUATION ->
                    nextContinuation(pool, Rank.STANDARD, gossipNanos, nowNanos);
            case URGENT -> {
                ScheduledWork work = nextNewWork(pool, Rank.URGENT, LimitState.LIGHT, nowNanos);
                yield work != null
                        ? work
                        : nextNewWork(pool, Rank.URGENT, LimitState.WITHIN, nowNanos);
            }
            case LIGHT -> nextNewWork(pool, Rank.STANDARD, LimitState.LIGHT, nowNanos);
            case STANDARD -> nextNewWork(pool, Rank.STANDARD, LimitState.WITHIN, nowNanos);
            case KEPT_SHARE -> nextKeptShareWork(pool, gossipNanos, nowNanos);
            case ABOVE_LEVEL -> {
                ScheduledWork work =
                        nextNewWork(pool, Rank.URGENT, LimitState.ABOVE_LEVEL, nowNanos);
                yield work != null || queue.newWork(Rank.STANDARD).size() == 0
                        ? work
                        : nextNewWork(pool, Rank.STANDARD, LimitState.ABOVE_LEVEL, nowNanos);
            }
        };
    }

    private @Nullable ScheduledWork nextKeptShareWork(Pool pool, long gossipNanos, long nowNanos) {
        ScheduledWork work = nextContinuation(pool, Rank.STANDARD, gossipNanos, nowNanos);
        for (LimitState state : LimitState.values()) {
            if (work == null && state != LimitState.ABOVE_CAP) {
                work = nextNewWork(pool, Rank.STANDARD, state, nowNanos);
            }
        }
        return work;
    }

    private @Nullable ScheduledWork nextNewWork(
            Pool pool, Rank rank, LimitState state, long nowNanos) {
        return pool.mQueue
                .newWork(rank)
                .nextItem(
                        work ->
                                pool.mLimiter.limitState(work.mAccount, work.mShare, nowNanos)
                                        == state,
                        mSkipped::contains);
    }

    private @Nullable ScheduledWork nextContinuation(
            Pool pool, Rank rank, long gossipNanos, long nowNanos) {
        int examined = 0;
        for (ScheduledWork work : pool.mQueue.continuations(rank)) {
            if (++examined > MAX_CONTINUATIONS_EXAMINED) {
                return null;
            }
            if (mSkipped.contains(work)) {
                continue;
            }
            Verdict verdict = mSuspects.verdict(work.mItem.fingerprint(), nowNanos);
            if (verdict == Verdict.CONVICTED) {
                Long at = mSuspects.changedAt(work.mItem.fingerprint());
                if (at != null && nowNanos - at < gossipNanos) {
                    continue;
                }
                return work;
            }
            boolean hasBudget = work.mRetryBudgetExempt || mRetries.isAvailable(work.mItem.team());
            if (verdict != Verdict.PENDING && hasBudget) {
                return work;
            }
        }
        return null;
    }

    private @Nullable ServeError refusal(ScheduledWork work, long nowNanos) {
        WorkItem item = work.mItem;
        if (mSuspects.verdict(item.fingerprint(), nowNanos) == Verdict.CONVICTED) {
            return Refusals.convicted(work);
        }
        if (item.deadlineNanos() <= nowNanos) {
            return Refusals.deadline(work);
        }
        return null;
    }

    private boolean tryStart(
            Pool pool,
            ScheduledWork work,
            ServiceClass serviceClass,
            boolean queueAtEngine,
            long nowNanos,
            Sink sink) {
        WorkItem item = work.mItem;
        Verdict verdict = mSuspects.verdict(item.fingerprint(), nowNanos);
        boolean suspect = verdict == Verdict.SUSPECT || verdict == Verdict.PENDING;
        double output = Math.max(1, mCosts.estimateOutput(item) - work.mTokensDone);
        Set<String> allowedEngines = null;
        if (suspect
                && !pool.mSuspectEngines.isEmpty()
                && nowNanos - work.mQueuedAt < SUSPECT_WAIT_NANOS) {
            allowedEngines = pool.mSuspectEngines;
        }
        Router.Request request =
                new Router.Request(
                        item,
                        serviceClass,
                        output,
                        suspect,
                        nowNanos - work.mQueuedAt < AVOIDANCE_NANOS ? work.mAvoidedEngine : null,
                        allowedEngines,
                        pool.isUrgentActive(nowNanos),
                        queueAtEngine,
                        pool.mSharers);
        Route route = mRouter.choose(request, pool.mEngines, nowNanos);
        if (route == null) {
            return false;
        }
        pool.mQueue.remove(work);
        double prefill = Math.max(0, item.promptTokens() + work.mTokensDone - route.cachedTokens());
        double charged = mCosts.cost(item, output, route.cachedTokens());
        work.startAttempt(route, prefill, charged, suspect, nowNanos);
        pool.charge(work, charged, true, nowNanos);
        if (work.mAttempt > 1 && !work.mRetryBudgetExempt) {
            mRetries.recordRetry(item.team());
        } else {
            mRetries.recordFirstAttempt(item.team());
            mPreemptionCredit = Math.min(PREEMPTION_BURST, mPreemptionCredit + PREEMPTION_SHARE);
        }
        EngineState engine = route.engine();
        if (engine.distance() == Distance.OTHER_REGION) {
            work.mLinkBytes = mRouter.linkBytes(item, output);
            mLinkBudget.charge(work.mLinkBytes, nowNanos);
        }
        mPrefixes.recordStored(engine.id(), item.prefixHashes());
        work.mRetryBudgetExempt = false;
        mRunning.put(item.id(), work);
        String reason = suspect ? route.reason() + ", suspect isolated" : route.reason();
        sink.started(
                new Decision.Start(
                        item,
                        work.mAttempt,
                        engine.id(),
                        serviceClass.priority(),
                        route.candidates(),
                        serviceClass + ": " + reason));
        return true;
    }

    /**
     * Preempts standard work for urgent work that found no free slot. Only engines that can resume
     * a generation are considered, where a preemption costs just a repeated prefill. Standard work
     * keeps its share.
     */
    private boolean tryPreempt(Pool pool, long nowNanos, Sink sink) {
        if (mPreemptionCredit < 1 || pool.mRankShare.isStandardBelow(PREEMPTION_MARGIN)) {
            return false;
        }
        ScheduledWork chosen = null;
        for (ScheduledWork work : mRunning.values()) {
            if (isPreemptible(pool, work)
                    && (chosen == null
                            || work.repeatedPrefillTokens() < chosen.repeatedPrefillTokens())) {
                chosen = work;
            }
        }
        if (chosen == null) {
            return false;
        }
        mPreemptionCredit -= 1;
        sink.preempted(chosen, nowNanos);
        return true;
    }

    private static boolean isPreemptible(Pool pool, ScheduledWork work) {
        EngineState engine = work.mEngine;
        return engine != null
                && !work.isUrgent()
                && !work.mSuspect
                && work.mPreemptions == 0
                && work.mItem.model().equals(pool.mKey.model())
                && engine.distance() != Distance.OTHER_REGION
                && engine.load() >= engine.info().slots()
                && engine.info().supports(Capability.RESUME)
                && !engine.health().isEjected();
    }

    /** Receives the dispatcher's decisions. */
    interface Sink {
        void started(Decision.Start start);

        void removed(ScheduledWork work, Decision decision);

        void preempted(ScheduledWork work, long nowNanos);
    }
}
