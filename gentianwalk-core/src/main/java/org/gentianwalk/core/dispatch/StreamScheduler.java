package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;
import org.gentianwalk.core.route.EngineSpec;
import org.jspecify.annotations.Nullable;

/**
 * Assigns generations to the engines of a service.
 *
 * <p>Engines prefill one prompt at a time, so the time to the first output includes the prefill of
 * all prompts ahead. A generation therefore waits in the instance until an engine has a short
 * prefill backlog, so that more urgent ones can overtake it. Where engines support it, an engine in
 * another availability zone keeps a copy of the KV cache, from which the generation continues when
 * its engine is lost.
 */
public final class StreamScheduler
        implements WorkScheduler,
                PeerLoadAware,
                CacheAware,
                InputAware,
                LivenessAware,
                DeliveryAware,
                EvidenceAware,
                TargetAware {
    /** Retry-after when no engine is usable or no retry is allowed. */
    private static final Duration NO_ENGINE_RETRY = Duration.ofMillis(500);

    /** Retry-after of a request that would crash an engine; it has to be changed first. */
    private static final Duration CONVICTED_RETRY = Duration.ofMinutes(1);

    /** Time for which evidence is reported; covers the repetition of lost reports. */
    private static final long SUSPECT_REPORT_NANOS = Duration.ofMillis(2_500).toNanos();

    private static final int MAX_SUSPECTS_REPORTED = 16;

    /**
     * Time for which an engine has to be unresponsive until the last attempt of a request is used.
     * Sound engines may be silent for a second or so.
     */
    private static final long LOSS_NANOS = Duration.ofMillis(2_000).toNanos();

    /**
     * Time within which an engine that fell silent usually responds again. Outages last 1.2 s, and
     * the next check after them takes up to 300 ms.
     */
    private static final long SILENCE_NANOS = Duration.ofMillis(1_500).toNanos();

    /** Maximum number of rejections by engines before a generation is refused. */
    private static final int MAX_REJECTIONS = 8;

    /**
     * Maximum number of streams moved at once. Each costs a prefill, and moving all of them in one
     * step would delay the first output of new requests.
     */
    private static final int MAX_MOVES = 2;

    /**
     * Minimum interval between two rounds of cache queries. Each query delays an engine's work, and
     * load reports of other instances usually contain the answer already.
     */
    private static final long CACHE_QUERY_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    /** Maximum time for which a generation waits for the answers to cache queries. */
    private static final long CACHE_ANSWER_TIMEOUT_NANOS = Duration.ofMillis(200).toNanos();

    private final EngineSpec mSpec;
    private final String mService;
    private final FleetRetryBudget mRetries;
    private final UpstreamLimits mLimits;
    private final EngineSpeed mSpeed = new EngineSpeed();
    private final SuspectTable mSuspects = new SuspectTable(PolicyOptions.defaults().retry());
    private final EngineView mEngineView = new EngineView(mSuspects);
    private final LossEvidence<EngineState> mEvidence = new LossEvidence<>(mSuspects);
    private final EngineSelector mSelector;
    private final LossDetector mLossDetector;
    private final boolean mOrdersByTarget;
    private final TargetOrder mTargetOrder;
    private QueueOrder mOrder;
    private final Map<Long, StreamRun> mRuns = new HashMap<>();
    private final List<StreamRun> mWaiting = new ArrayList<>();
    private List<Decision> mDecisions = new ArrayList<>();
    private long mLoadChanges;
    private List<Upstream> mCacheQueries = new ArrayList<>();
    private int mOpenCacheQueries;
    private boolean mHasQueriedCaches;
    private long mQueriedCachesAt;
    private VersionGate mGate = VersionGate.OPEN;
    private @Nullable Long mStopsAt;

    /**
     * Creates a scheduler without engines.
     *
     * @param service name of the service
     * @param spec properties of its engines
     * @param locations distances from this instance
     * @param retries retry budget of the service
     * @param limits limits stated by engines
     * @param random source of randomness for breaking ties
     */
    public StreamScheduler(
            String service,
            EngineSpec spec,
            LocationMap locations,
            FleetRetryBudget retries,
            UpstreamLimits limits,
            RandomGenerator random) {
        this(service, spec, locations, retries, limits, false, random);
    }

    /**
     * Creates a scheduler without engines.
     *
     * @param service name of the service
     * @param spec properties of its engines
     * @param locations distances from this instance
     * @param retries retry budget of the service
     * @param limits limits stated by engines
     * @param ordersByTarget whether requests are ordered by their targets also when the routes of
     *     the service state less than two different ones
     * @param random source of randomness for breaking ties
     */
    public StreamScheduler(
            String service,
            EngineSpec spec,
            LocationMap locations,
            FleetRetryBudget retries,
            UpstreamLimits limits,
            boolean ordersByTarget,
            RandomGenerator random) {
        mService = service;
        mSpec = spec;
        mRetries = retries;
        mLimits = limits;
        mSelector = new EngineSelector(spec, locations, mEngineView, mSpeed, limits, random);
        mLossDetector = new LossDetector(mEngineView, mSpeed, locations, limits);
        mOrdersByTarget = ordersByTarget;
        mTargetOrder = new TargetOrder(mSpeed, random);
        mOrder = ordersByTarget ? mTargetOrder : new ArrivalOrder();
        mSelector.bound(mOrder);
    }

    @Override
    public void replaceUpstreams(Collection<Upstream> upstreams, long nowNanos) {
        for (EngineState ended : mEngineView.replaceEngines(upstreams, nowNanos)) {
            ended.markEnded();
            endAttempts(ended, nowNanos);
        }
        dispatch(nowNanos);
    }

    @Override
    public void updateTargets(Set<Duration> targets) {
        mTargetOrder.targets(targets);
        mOrder = mOrdersByTarget || targets.size() > 1 ? mTargetOrder : new ArrivalOrder();
        mSelector.bound(mOrder);
    }

    @Override
    public void offer(Work work, long nowNanos) {
        mRetries.recordRequest(nowNanos);
        StreamRun run = new StreamRun(work);
        mRuns.put(work.id(), run);
        mWaiting.add(run);
        if (work.eventsSeen() > 0 && mSelector.cacheHolder(run, nowNanos) == null) {
            queryCaches(run, nowNanos);
        }
        dispatch(nowNanos);
    }

    @Override
    public List<Upstream> takeCacheQueries() {
        List<Upstream> queries = mCacheQueries;
        mCacheQueries = new ArrayList<>();
        return queries;
    }

    @Override
    public void recordCachedParts(Upstream engine, List<Long> parts, long nowNanos) {
        parts.forEach(part -> mEngineView.recordCachedPart(part, engine.id()));
        mOpenCacheQueries--;
        for (StreamRun run : mWaiting) {
            if (mOpenCacheQueries == 0 || mSelector.cacheHolder(run, nowNanos) != null) {
                run.endCacheWait();
            }
        }
        dispatch(nowNanos);
    }

    /** Queries the engines for the cached prompt of a resumed generation. */
    private void queryCaches(StreamRun run, long nowNanos) {
        if (!mHasQueriedCaches || nowNanos - mQueriedCachesAt > CACHE_QUERY_INTERVAL_NANOS) {
            mHasQueriedCaches = true;
            mQueriedCachesAt = nowNanos;
            for (EngineState engine : mEngineView.engines()) {
                if (mEngineView.isUsable(engine, nowNanos)
                        && mLimits.isPermitted(engine.upstream(), nowNanos)) {
                    mCacheQueries.add(engine.upstream());
                    mOpenCacheQueries++;
                }
            }
        }
        if (mOpenCacheQueries > 0) {
            run.startCacheWait(nowNanos + CACHE_ANSWER_TIMEOUT_NANOS);
        }
    }

    @Override
    public void recordProgress(long work, int attemptNumber, Progress progress) {
        StreamRun run = mRuns.get(work);
        StreamAttempt attempt = run == null ? null : run.attempt(attemptNumber);
        if (run == null || attempt == null) {
            return;
        }
        EngineState engine = attempt.engine();
        engine.recordOutput(progress.lastNanos());
        engine.reachability().recordSuccess();
        mSpeed.recordPause(progress.pauseNanos());
        boolean first = run.recordOutput(attempt, progress.lastNanos());
        mWaiting.remove(run);
        if (first) {
            if (attempt.isUncontended()) {
                mSpeed.recordPrefill(
                        attempt.prefillTokens(), progress.lastNanos() - attempt.startedAt());
            }
            mEngineView.recordCachedPart(run.part(), engine.upstream().id());
            mEvidence.recordOutput(run.subject(), progress.lastNanos());
            mLoadChanges++;
            // The output may be older than a pause of the instance, in which the limits of waiting
            // requests have passed. The next call of advance places them at its own time.
        }
    }

    @Override
    public void recordDeliveryPause(long work, boolean paused, long nowNanos) {
        StreamRun run = mRuns.get(work);
        if (run != null) {
            run.recordDeliveryPause(paused, nowNanos);
            if (run.hasAttempts()) {
                mWaiting.remove(run);
            }
        }
    }

    @Override
    public void recordLoad(long work, UpstreamLoad load, long nowNanos) {
        // Load reports of instances are newer and contain the prompts still to be prefilled.
    }

    @Override
    public void recordAttemptEnd(long work, int attemptNumber, AttemptEnd end, long nowNanos) {
        StreamRun run = mRuns.get(work);
        StreamAttempt attempt = run == null ? null : run.attempt(attemptNumber);
        if (run != null && attempt == null && end == AttemptEnd.SUCCEEDED) {
            // The response ended before the decision to replace its attempt was executed.
            remove(work, nowNanos);
        }
        if (run == null || attempt == null) {
            return;
        }
        EngineState engine = attempt.engine();
        switch (end) {
            case SUCCEEDED, REJECTED -> engine.reachability().recordSuccess();
            case SUPERSEDED, EXPIRED -> {
                // Says nothing about the engine, or what it is suspected of has been recorded.
            }
            case UNREACHABLE -> mEngineView.recordFailure(engine, true, nowNanos);
            case GARBLED -> engine.reachability().recordFailure(nowNanos);
            case MISDIRECTED -> {
                // The listed process has ended; the list has not been updated yet.
                mEngineView.recordFailure(engine, false, nowNanos);
                engine.markEnded();
            }
            case NOT_LISTENING, CRASHED -> {
                mEngineView.recordFailure(engine, false, nowNanos);
                engine.markNotListening(nowNanos);
            }
            default -> mEngineView.recordFailure(engine, false, nowNanos);
        }
        if (end.isProcessLost()) {
            recordLoss(run, attempt, true, nowNanos);
        } else if (end == AttemptEnd.SUCCEEDED || end == AttemptEnd.ANSWERED_ERROR) {
            recordAnswer(run, attempt, nowNanos);
        }
        endAttempt(run, attempt, end, end.name().toLowerCase(Locale.ROOT), nowNanos);
    }

    /**
     * Looks for a further engine for a generation when none of its attempts is sound. They go on,
     * since their engines may only be silent for a time.
     */
    private void examineAttempts(StreamRun run, long nowNanos) {
        if (!run.hasAttempts() || run.isDeliveryPaused()) {
            return;
        }
        for (StreamAttempt attempt : run.attempts()) {
            LossDetector.Diagnosis diagnosis = mLossDetector.diagnose(attempt, nowNanos);
            if (attempt.recordDiagnosis(diagnosis, nowNanos)) {
                recordDiagnosis(run, attempt, nowNanos);
            }
        }
        checkSilentEngines(run, nowNanos);
        if (!run.isUnattended()) {
            mWaiting.remove(run);
            cancelDuplicate(run);
        } else if (!mWaiting.contains(run)) {
            mWaiting.add(run);
        }
    }

    /** Has the silent engines of attempts checked, since they may go on without output at first. */
    private void checkSilentEngines(StreamRun run, long nowNanos) {
        for (StreamAttempt attempt : run.attempts()) {
            if (attempt.diagnosis() == LossDetector.Diagnosis.UNRESPONSIVE) {
                mLossDetector.requestCheck(attempt.engine(), nowNanos);
            }
        }
    }

    /** Cancels the newest of several attempts whose engines all respond. */
    private void cancelDuplicate(StreamRun run) {
        StreamAttempt newest = run.attempts().getLast();
        boolean allSound =
                run.attempts().stream()
                        .allMatch(a -> a.diagnosis() == LossDetector.Diagnosis.SOUND);
        if (run.attempts().size() > 1 && allSound && newest.markCancelled()) {
            mDecisions.add(
                    new Decision.Cancel(
                            run.work(), newest.number(), "the engines of all attempts respond"));
        }
    }

    private void recordDiagnosis(StreamRun run, StreamAttempt attempt, long nowNanos) {
        if (attempt.diagnosis() == LossDetector.Diagnosis.STALLED) {
            attempt.engine().reachability().recordFailure(nowNanos);
        } else if (attempt.diagnosis() == LossDetector.Diagnosis.UNRESPONSIVE
                && attempt.recordPossibleLoss()) {
            recordLoss(run, attempt, false, nowNanos);
            if (!attempt.hasOutput()) {
                run.markSuspect();
            }
        }
    }

    /**
     * Records an answer without events, which clears its request like the first event of others.
     */
    private void recordAnswer(StreamRun run, StreamAttempt attempt, long nowNanos) {
        if (!attempt.hasOutput() && mEvidence.recordOutput(run.subject(), nowNanos)) {
            mLoadChanges++;
        }
    }

    private void recordLoss(StreamRun run, StreamAttempt attempt, boolean closed, long nowNanos) {
        if (attempt.hasOutput()) {
            return;
        }
        LossEvidence.Outcome loss =
                mEvidence.recordLoss(
                        attempt.engine(),
                        run.work().requestId(),
                        run.subject(),
                        closed,
                        attempt.startedAt(),
                        nowNanos);
        if (closed) {
            run.recordLoss(loss);
        }
    }

    private void endAttempt(
            StreamRun run, StreamAttempt attempt, AttemptEnd end, String cause, long nowNanos) {
        boolean lost = !end.isNotExecuted() && end != AttemptEnd.ANSWERED_ERROR;
        EngineState copyHolder = lost ? usableCopyHolder(attempt, nowNanos) : null;
        run.recordEnd(attempt, end, cause);
        mLoadChanges++;
        if (end == AttemptEnd.SUCCEEDED) {
            run.release();
            mRuns.remove(run.work().id());
            mWaiting.remove(run);
        } else if (run.hasAttempts()) {
            examineAttempts(run, nowNanos);
        } else if (!canRepeat(run, end, nowNanos)) {
            Ending ending =
                    end == AttemptEnd.ANSWERED_ERROR
                            ? Ending.UPSTREAM_ERROR
                            : run.mayHaveRun() ? Ending.UNKNOWN : Ending.REFUSED;
            Duration wait = Duration.ofNanos(mSelector.reserveRetry(nowNanos));
            Duration retry = wait.compareTo(NO_ENGINE_RETRY) > 0 ? wait : NO_ENGINE_RETRY;
            finish(run, ending, retry, "no retry is allowed");
        } else if (copyHolder != null && run.mayUse(copyHolder, 0)) {
            start(run, copyHolder, copy(run, copyHolder), "has a copy of the KV cache", nowNanos);
        } else if (!mWaiting.contains(run)) {
            mWaiting.add(run);
        }
        dispatch(nowNanos);
    }

    @Override
    public void remove(long work, long nowNanos) {
        StreamRun run = mRuns.remove(work);
        if (run != null) {
            mWaiting.remove(run);
            run.release();
            mLoadChanges++;
            dispatch(nowNanos);
        }
    }

    @Override
    public void versionGate(VersionGate gate) {
        mGate = gate;
        mSelector.versionGate(gate);
    }

    @Override
    public void moveStreams(Predicate<Upstream> from, long nowNanos) {
        int moved = 0;
        for (StreamRun run : List.copyOf(mRuns.values())) {
            if (moved == MAX_MOVES) {
                return;
            }
            if (run.work().kind().isRepeatable()
                    && run.attempts().size() == 1
                    && from.test(run.attempts().getFirst().engine().upstream())
                    && move(run, run.attempts().getFirst(), from, nowNanos)) {
                moved++;
            }
        }
    }

    /** Continues a stream at another engine, and returns whether there is one for it. */
    private boolean move(
            StreamRun run, StreamAttempt attempt, Predicate<Upstream> from, long nowNanos) {
        EngineState engine = mSelector.select(run, 0, nowNanos);
        if (engine == null
                || from.test(engine.upstream())
                || verdict(run, nowNanos) != Verdict.UNKNOWN
                || !mRetries.tryOptionalRetry(nowNanos)) {
            return false;
        }
        run.recordEnd(attempt, AttemptEnd.SUPERSEDED, "the move to another version");
        mWaiting.remove(run);
        start(run, engine, null, "shortest expected time to first output", nowNanos);
        return true;
    }

    @Override
    public void stopAt(long nanos) {
        mStopsAt = nanos;
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        boolean stops = mStopsAt != null && nowNanos - mStopsAt >= 0;
        mEvidence
                .processesToCheck()
                .forEach(engine -> mLossDetector.requestCheck(engine, nowNanos));
        if (mEvidence.advance(nowNanos)) {
            mLoadChanges++;
        }
        if (!mRuns.isEmpty()) {
            mEngineView
                    .notListeningEngines(nowNanos)
                    .forEach(engine -> mLossDetector.requestCheck(engine, nowNanos));
        }
        for (StreamRun run : List.copyOf(mRuns.values())) {
            boolean notExecuted = !run.mayHaveRun();
            if (nowNanos - run.work().deadlineNanos() >= 0) {
                Ending late = run.isAnsweredWithError() ? Ending.UPSTREAM_ERROR : Ending.TIMED_OUT;
                finish(
                        run,
                        notExecuted ? Ending.REFUSED : late,
                        Duration.ZERO,
                        "deadline exceeded");
            } else if (stops) {
                finish(
                        run,
                        notExecuted ? Ending.REFUSED : Ending.UNKNOWN,
                        STOPPING_RETRY,
                        "the instance is stopping");
            } else if (!run.hasOutput() && verdict(run, nowNanos) == Verdict.CONVICTED) {
                refuseConvicted(run);
            } else {
                examineAttempts(run, nowNanos);
            }
        }
        dispatch(nowNanos);
        List<Decision> decisions = mDecisions;
        mDecisions = new ArrayList<>();
        return decisions;
    }

    @Override
    public boolean awaitsInput() {
        return mLossDetector.awaitsInput();
    }

    @Override
    public void recordProcessedInput(long nanos) {
        mLossDetector.recordProcessedInput(nanos);
    }

    @Override
    public List<LivenessCheck> takeLivenessChecks() {
        return mLossDetector.takeChecks();
    }

    @Override
    public void recordLivenessCheck(Upstream engine, boolean responded, long nowNanos) {
        EngineState checked = mLossDetector.recordCheck(engine, responded, nowNanos);
        if (checked != null && mEvidence.recordCheck(checked, responded, nowNanos)) {
            mLoadChanges++;
        }
    }

    @Override
    public void recordProcessEnd(Upstream engine, long nowNanos) {
        EngineState checked = mLossDetector.recordCheck(engine, false, nowNanos);
        if (checked != null && mEvidence.recordProcessEnd(checked, nowNanos)) {
            mLoadChanges++;
        }
    }

    @Override
    public void recordLaterStart(Upstream engine, long incarnation, long nowNanos) {
        EngineState checked = mLossDetector.checkedEngine(engine);
        if (checked == null) {
            return;
        }
        long startedBy = checked.recordLaterStart(incarnation, nowNanos);
        if (mEvidence.recordLaterStart(checked, startedBy, nowNanos)) {
            recordLivenessCheck(engine, true, nowNanos);
        } else {
            recordProcessEnd(engine, nowNanos);
        }
    }

    @Override
    public InstanceLoad load(long nowNanos) {
        List<GenerationLoad> runs = new ArrayList<>();
        int waiting = 0;
        for (StreamRun run : mRuns.values()) {
            if (!run.hasAttempts()) {
                waiting += run.promptTokens();
            }
            run.attempts().forEach(attempt -> runs.add(attempt.reportedLoad(nowNanos)));
        }
        return new InstanceLoad(
                mService,
                mLoadChanges,
                runs,
                waiting,
                mEngineView.recentFailures(nowNanos),
                mRetries.usage(nowNanos),
                mSuspects.entries(SUSPECT_REPORT_NANOS, MAX_SUSPECTS_REPORTED, nowNanos));
    }

    @Override
    public long loadChanges() {
        return mLoadChanges;
    }

    @Override
    public void recordPeerLoad(String instance, InstanceLoad load, long nowNanos) {
        mEngineView.recordPeerLoad(instance, load, nowNanos);
        mRetries.recordPeerUsage(instance, load.usage());
        mLoadChanges += mSuspects.merge(load.suspects(), nowNanos) ? 1 : 0;
    }

    @Override
    public void updatePeers(PeerView peers) {
        mEngineView.retainPeers(peers.peers());
        mSelector.updatePeers(peers);
        mRetries.retainPeers(peers.peers());
    }

    @Override
    public List<SuspectEntry> evidenceToKeep(long nowNanos) {
        return mEvidence.toKeep(nowNanos);
    }

    @Override
    public void restoreEvidence(List<SuspectEntry> entries, boolean own, long nowNanos) {
        mSuspects.restore(entries, own, nowNanos);
    }

    @Override
    public List<SettledLoss> takeSettledLosses() {
        return mEvidence.takeSettled();
    }

    /** Ends all attempts at an engine process that is known to have ended. */
    private void endAttempts(EngineState engine, long nowNanos) {
        for (StreamRun run : List.copyOf(mRuns.values())) {
            for (StreamAttempt attempt : List.copyOf(run.attempts())) {
                if (attempt.engine() == engine) {
                    recordLoss(run, attempt, true, nowNanos);
                    endAttempt(run, attempt, AttemptEnd.RESET, "engine restart listed", nowNanos);
                }
            }
        }
    }

    private boolean canRepeat(StreamRun run, AttemptEnd end, long nowNanos) {
        if (end.isNotSent()) {
            return true;
        }
        if (end.isNotExecuted()) {
            return run.rejections() < MAX_REJECTIONS && mRetries.tryRetry(nowNanos);
        }
        return run.work().kind().isRepeatable()
                && run.executions() < run.work().maxAttempts()
                && mRetries.tryRetry(nowNanos);
    }

    /** Returns the engine from whose copy another attempt can continue an attempt, or null. */
    private @Nullable EngineState usableCopyHolder(StreamAttempt attempt, long nowNanos) {
        EngineState copyHolder = attempt.copyHolder();
        // Before the first output the copy is incomplete. Prefilling the rest would delay other
        // generations that continue at this engine in the middle of their output.
        if (copyHolder == null
                || !attempt.hasOutput()
                || !mEngineView.isUsable(copyHolder, nowNanos)
                || copyHolder.isSilent()
                || !mGate.isPermitted(attempt.run().work(), copyHolder.upstream(), nowNanos)
                || !mLimits.isPermitted(copyHolder.upstream(), nowNanos)) {
            return null;
        }
        return copyHolder;
    }

    /** Has the silent engines checked that a waiting request could use if they responded. */
    private void checkUnusedSilentEngines(long nowNanos) {
        mEngineView
                .silentEngines(nowNanos)
                .forEach(silent -> mLossDetector.requestCheck(silent, nowNanos));
    }

    private static MemoryCopy copy(StreamRun run, EngineState copyHolder) {
        return new MemoryCopy(copyHolder.upstream().address(), run.work().requestId());
    }

    /**
     * Starts an attempt beside those that are not sound, if engines and the retry budget permit.
     *
     * @return whether an attempt was started
     */
    private boolean startBeside(StreamRun run, long nowNanos) {
        if (!run.mayStartBeside(MAX_REJECTIONS) || !run.startSearch(nowNanos)) {
            return false;
        }
        boolean recent =
                run.attempts().stream()
                        .anyMatch(attempt -> attempt.isUnresponsiveWithin(LOSS_NANOS));
        int reserved = recent ? 1 : 0;
        StreamAttempt copied = null;
        for (StreamAttempt attempt : run.attempts()) {
            EngineState holder = usableCopyHolder(attempt, nowNanos);
            if (holder != null && run.mayUse(holder, reserved)) {
                copied = attempt;
            }
        }
        if (copied == null
                && mayRespondAgain(run)
                && mSelector.cacheHolder(run, nowNanos) == null
                && mOrder.waitsForSilentEngine(run, nowNanos)) {
            return false;
        }
        EngineState engine =
                copied == null
                        ? mSelector.select(run, reserved, nowNanos)
                        : usableCopyHolder(copied, nowNanos);
        if (engine == null) {
            checkUnusedSilentEngines(nowNanos);
            return false;
        }
        if (recent ? !mRetries.tryOptionalRetry(nowNanos) : !mRetries.tryRetry(nowNanos)) {
            return false;
        }
        for (StreamAttempt attempt : List.copyOf(run.attempts())) {
            if (attempt.diagnosis() == LossDetector.Diagnosis.STALLED) {
                // Its engine still works on it, and two engines must not generate the same output.
                run.recordEnd(attempt, AttemptEnd.STALLED, "stalled");
            }
        }
        mWaiting.remove(run);
        if (copied == null) {
            start(run, engine, null, "shortest expected time to first output", nowNanos);
        } else {
            copied.releaseCopy();
            start(run, engine, copy(run, engine), "has a copy of the KV cache", nowNanos);
        }
        return true;
    }

    /** Returns whether an engine of a generation fell silent only a moment ago. */
    private static boolean mayRespondAgain(StreamRun run) {
        return run.attempts().stream()
                .anyMatch(attempt -> attempt.isUnresponsiveWithin(SILENCE_NANOS));
    }

    private void dispatch(long nowNanos) {
        if (mWaiting.isEmpty()) {
            mOrder.recordQueue(false, nowNanos);
            return;
        }
        mOrder.recordQueue(hasNewWaiting(), nowNanos);
        dispatchWaiting(nowNanos);
        mOrder.recordQueue(hasNewWaiting(), nowNanos);
    }

    /** Returns whether a request waits that has no attempt in progress. */
    private boolean hasNewWaiting() {
        return mWaiting.stream().anyMatch(run -> !run.hasAttempts());
    }

    private void dispatchWaiting(long nowNanos) {
        long tokensAhead = 0;
        mOrder.sort(mWaiting, nowNanos);
        // While no engine accepts a request, none has to be selected for each that waits.
        long wait = 0;
        for (StreamRun run : List.copyOf(mWaiting)) {
            if (run.isInCacheWait(nowNanos) || nowNanos - run.work().deadlineNanos() >= 0) {
                // The next call of advance ends a run whose deadline has passed.
                continue;
            }
            Verdict verdict = verdict(run, nowNanos);
            if (verdict == Verdict.CONVICTED && !run.hasAttempts()) {
                refuseConvicted(run);
                continue;
            }
            if (verdict == Verdict.CONVICTED
                    || verdict == Verdict.PENDING
                    || run.awaitsSettlement()) {
                continue;
            }
            if (run.hasAttempts()) {
                startBeside(run, nowNanos);
                continue;
            }
            EngineState engine = wait > 0 ? null : mSelector.select(run, 0, nowNanos);
            if (engine != null) {
                mWaiting.remove(run);
                start(run, engine, null, "shortest expected time to first output", nowNanos);
            } else if (run.mayHaveRun() && !hasPermittedEngine(run, nowNanos)) {
                finish(run, Ending.UNKNOWN, NO_ENGINE_RETRY, "no further engine is allowed");
            } else if (mEngineView.engines().isEmpty()) {
                // The list may be empty for a moment only, which must not break off an answer.
                if (!run.mayHaveRun()) {
                    finish(run, Ending.REFUSED, NO_ENGINE_RETRY, "no engine is listed");
                }
            } else {
                if (run.isRepeat()) {
                    checkUnusedSilentEngines(nowNanos);
                }
                wait = wait > 0 ? wait : mSelector.shortestWaitNanos(nowNanos);
                refuseIfPausedTooLong(run, wait, nowNanos);
                refuseIfTooLate(run, tokensAhead, nowNanos);
                // A refused request is not ahead of the others.
                tokensAhead += mRuns.containsKey(run.work().id()) ? run.promptTokens() : 0;
            }
        }
    }

    /** Returns whether the list has an engine that the run may reach, or may get one. */
    private boolean hasPermittedEngine(StreamRun run, long nowNanos) {
        return mEngineView.engines().isEmpty()
                || run.mayUseFurtherEngines()
                || mEngineView.expectedEngines(nowNanos).stream()
                        .anyMatch(
                                engine ->
                                        run.mayUse(engine, 0)
                                                && !engine.hasEnded()
                                                && !engine.isNotListening()
                                                && !engine.upstream().draining());
    }

    /** Ends a request that no engine accepts before its deadline. */
    private void refuseIfPausedTooLong(StreamRun run, long wait, long nowNanos) {
        if (wait > 0 && nowNanos + wait - run.work().deadlineNanos() >= 0) {
            Ending ending = run.mayHaveRun() ? Ending.UNKNOWN : Ending.REFUSED;
            Duration retry = Duration.ofNanos(mSelector.reserveRetry(nowNanos));
            finish(run, ending, retry, "all engines want no requests for a time");
        }
    }

    /** Ends a request that is expected to start after its deadline. */
    private void refuseIfTooLate(StreamRun run, long tokensAhead, long nowNanos) {
        Duration retry =
                mRuns.containsKey(run.work().id())
                        ? mOrder.rejection(run, tokensAhead, nowNanos)
                        : null;
        if (retry != null) {
            finish(run, Ending.REFUSED, retry, "the queue is too long to start in time");
        }
    }

    private Verdict verdict(StreamRun run, long nowNanos) {
        return mEvidence.verdict(run.subject(), nowNanos);
    }

    /** Ends a request that would crash an engine. */
    private void refuseConvicted(StreamRun run) {
        finish(
                run,
                run.mayHaveRun() ? Ending.UNKNOWN : Ending.REFUSED,
                CONVICTED_RETRY,
                "engines were lost under the same request or prompt part");
    }

    private void start(
            StreamRun run,
            EngineState engine,
            @Nullable MemoryCopy copy,
            String reason,
            long nowNanos) {
        boolean copies = mSpec.keepsCopies() && run.work().kind().isRepeatable();
        EngineState copyHolder = copies ? mSelector.selectCopyHolder(engine, run, nowNanos) : null;
        long backlog = engine.backlog(mSpeed.prefillTokensPerNano(), nowNanos);
        EngineState cacheHolder = copy == null ? mSelector.cacheHolder(run, nowNanos) : null;
        int prefillTokens = copy == null && cacheHolder == null ? run.promptTokens() : 0;
        String explanation = previous(run) + reason + "; " + describe(engine, backlog);
        long expected =
                nowNanos + backlog + Math.round(prefillTokens / mSpeed.prefillTokensPerNano());
        boolean uncontended = backlog == 0 && prefillTokens > 0;
        mLimits.recordSent(engine.upstream(), nowNanos);
        Set<Integer> beside = new HashSet<>();
        run.attempts().forEach(attempt -> beside.add(attempt.number()));
        StreamAttempt started =
                new StreamAttempt(
                        run,
                        run.nextAttempt(),
                        engine,
                        copyHolder,
                        prefillTokens,
                        uncontended,
                        expected,
                        nowNanos);
        run.recordStart(started);
        if (copy == null) {
            mOrder.recordStart(run, nowNanos);
        }
        mGate.recordStart(run.work(), started.number(), engine.upstream(), nowNanos);
        mLoadChanges++;
        mDecisions.add(
                new Decision.Start(
                        run.work(),
                        started.number(),
                        engine.upstream(),
                        copy == null ? mOrder.urgency(run) : 0,
                        copyHolder == null ? null : copyHolder.upstream(),
                        copy,
                        cacheHolder == null || cacheHolder == engine
                                ? null
                                : cacheHolder.upstream(),
                        beside,
                        explanation));
    }

    /** Returns what the attempt follows or stands beside, for the log. */
    private static String previous(StreamRun run) {
        if (run.hasAttempts()) {
            return "beside one that is "
                    + run.attempts().getLast().diagnosis().name().toLowerCase(Locale.ROOT)
                    + ": ";
        }
        return run.previousEnd().isEmpty() ? "" : "after " + run.previousEnd() + ": ";
    }

    private String describe(EngineState engine, long backlogNanos) {
        return String.format(
                Locale.ROOT,
                "%d running, %d ms prefill backlog, %d of %d KV cache tokens reserved",
                engine.running(),
                backlogNanos / EngineState.NANOS_PER_MILLI,
                engine.memory(),
                mSpec.memoryTokens());
    }

    private void finish(StreamRun run, Ending ending, Duration retryAfter, String reason) {
        mDecisions.add(new Decision.Finish(run.work(), ending, retryAfter, reason));
        mRuns.remove(run.work().id());
        mWaiting.remove(run);
        run.release();
        mLoadChanges++;
    }
}
