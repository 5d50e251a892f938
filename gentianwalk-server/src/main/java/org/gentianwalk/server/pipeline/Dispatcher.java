package org.gentianwalk.server.pipeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.OfferResult;
import org.gentianwalk.core.policy.Scheduler;
import org.gentianwalk.core.policy.Scheduler.Availability;
import org.gentianwalk.core.policy.Scheduler.Loss;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.upstream.EngineClient;
import org.gentianwalk.server.upstream.EngineObserver;
import org.jboss.logging.Logger;

/**
 * Passes events to the scheduler on the control thread and executes its decisions. Public methods
 * may be called from any thread.
 */
public final class Dispatcher implements AttemptContext, EngineObserver {
    private static final Logger LOG = Logger.getLogger(Dispatcher.class);
    private static final String FINISHED = "finished";
    private static final Duration TICK = Duration.ofMillis(10);

    // After a tick this late the process itself was paused, so silence of engines is no stall.
    private static final long LATE_TICK_NANOS = Duration.ofMillis(200).toNanos();

    private final Scheduler mScheduler;
    private final Supplier<ServingRules> mRules;
    private final ReplicaService mReplicas;
    private final EngineClient mClient;
    private final DecisionSink mSink;
    private final Ticker mTicker;
    private final ControlThread mControl;
    private final StallMonitor mStalls;

    // Owned by the control thread.
    private final Map<RequestKey, Generation> mActive = new HashMap<>();
    private final Map<String, UpstreamInfo> mEngines = new HashMap<>();
    private final Set<String> mLeaving = new HashSet<>();
    private final Map<String, Availability> mAvailability = new HashMap<>();
    private Consumer<Collection<UpstreamInfo>> mUsedEnginesListener = engines -> {};
    private volatile Map<String, Availability> mAvailabilitySnapshot = Map.of();
    private long mAppliedVersion = -1;
    private long mLastTickNanos;
    private long mStallGraceEndNanos;

    /**
     * Creates a dispatcher that does not run before {@link #start}.
     *
     * @param scheduler makes the decisions; used on the control thread only
     * @param rules the configuration in force
     * @param replicas replicates the output
     * @param client sends requests to the engines
     * @param sink receives each decision
     * @param ticker monotonic clock
     * @param control the control thread
     */
    public Dispatcher(
            Scheduler scheduler,
            Supplier<ServingRules> rules,
            ReplicaService replicas,
            EngineClient client,
            DecisionSink sink,
            Ticker ticker,
            ControlThread control) {
        mScheduler = scheduler;
        mRules = rules;
        mReplicas = replicas;
        mClient = client;
        mSink = sink;
        mTicker = ticker;
        mControl = control;
        mStalls = new StallMonitor(ticker);
        mLastTickNanos = ticker.nanos();
        mStallGraceEndNanos = mLastTickNanos;
    }

    /**
     * Sets the listener for the set of engines that this instance sends work to, called after each
     * change. Must be set before {@link #start}.
     *
     * @param listener receives the engines on the control thread
     */
    public void usedEnginesListener(Consumer<Collection<UpstreamInfo>> listener) {
        mUsedEnginesListener = listener;
    }

    /** Starts the periodic tasks. */
    public void start() {
        mControl.afterEvents(this::advance);
        mControl.execute(this::applyRules);
        mControl.schedulePeriodically(TICK, this::tick);
    }

    /** Offers a generation to the scheduler. */
    void offer(Generation generation) {
        mControl.execute(() -> admit(generation));
    }

    /** Reports asynchronously that a generation ended without being completed by its engine. */
    void reportEnded(Generation generation, String reason) {
        mControl.execute(() -> endGeneration(generation, 0, reason));
    }

    /**
     * Records that an upstream is leaving according to the platform's instance list.
     *
     * @param upstream the upstream
     * @param leaving true when it is leaving
     */
    public void leaving(String upstream, boolean leaving) {
        mControl.execute(
                () -> {
                    if (leaving ? mLeaving.add(upstream) : mLeaving.remove(upstream)) {
                        updateAvailability(
                                upstream, leaving ? Availability.LEAVING : Availability.LIVE);
                    }
                });
    }

    /**
     * Returns the last known state of the engines.
     *
     * @return states by engine; an engine without an entry was never reported
     */
    public Map<String, Availability> availabilities() {
        return mAvailabilitySnapshot;
    }

    @Override
    public void onAvailability(String upstream, Availability availability) {
        mControl.execute(() -> updateAvailability(upstream, availability));
    }

    @Override
    public void onLoadReport(Scheduler.LoadReport report) {
        mControl.execute(() -> mScheduler.loadReport(report, mTicker.nanos()));
    }

    @Override
    public void onCacheEvents(String upstream, List<Long> stored, List<Long> evicted) {
        mControl.execute(() -> mScheduler.cacheEvents(upstream, stored, evicted, mTicker.nanos()));
    }

    @Override
    public EngineClient client() {
        return mClient;
    }

    @Override
    public ReplicaService replicas() {
        return mReplicas;
    }

    @Override
    public Ticker ticker() {
        return mTicker;
    }

    @Override
    public StallMonitor stalls() {
        return mStalls;
    }

    @Override
    public void onAttemptLost(
            Generation generation,
            AttemptRunner runner,
            Loss loss,
            String detail,
            boolean unreachable) {
        mControl.execute(
                () -> {
                    if (generation.isEnded() || generation.runner() != runner) {
                        return;
                    }
                    GenerationRequest request = generation.request();
                    long now = mTicker.nanos();
                    mSink.lost(
                            new DecisionSink.Lost(
                                    request.key(),
                                    request.rule().rank(),
                                    runner.attempt(),
                                    generation.tokens(),
                                    runner.upstream(),
                                    loss,
                                    detail));
                    reportProgress(generation, now);
                    if (unreachable && mAvailability.get(runner.upstream()) != Availability.ENDED) {
                        updateAvailability(runner.upstream(), Availability.LOST);
                    }
                    mScheduler.attemptLost(request.key(), loss, now);
                });
    }

    @Override
    public void onFinished(Generation generation, int cachedTokens) {
        mControl.execute(() -> endGeneration(generation, cachedTokens, FINISHED));
    }

    @Override
    public void onFailed(Generation generation, ServeError error) {
        generation.fail(error);
        reportEnded(generation, error.kind().code());
    }

    @Override
    public void onException(Generation generation, RuntimeException exception) {
        LOG.errorf(
                exception, "unexpected exception in an attempt of %s", generation.request().key());
        onFailed(
                generation,
                ServeError.failed(
                        ErrorKind.INTERNAL, Outcome.STOPPED, generation.request().key().key()));
    }

    // Reports only changes, since the scheduler counts each loss of an engine.
    private void updateAvailability(String upstream, Availability availability) {
        boolean leaving = availability == Availability.LIVE && mLeaving.contains(upstream);
        Availability state = leaving ? Availability.LEAVING : availability;
        if (mAvailability.put(upstream, state) != state) {
            LOG.infof("decision=availability upstream=%s state=%s", upstream, state);
            mAvailabilitySnapshot = Map.copyOf(mAvailability);
            mScheduler.availability(upstream, state, mTicker.nanos());
        }
    }

    private void admit(Generation generation) {
        if (generation.isEnded()) {
            return;
        }
        GenerationRequest request = generation.request();
        WorkItem item = request.workItem();
        long now = mTicker.nanos();
        Generation previous = mActive.get(request.key());
        if (previous != null) {
            // The previous generation has ended, but its end event is still queued.
            endGeneration(previous, 0, "replaced");
        }
        mActive.put(request.key(), generation);
        OfferResult result =
                generation.isRestored()
                        ? mScheduler.offerContinuation(
                                item, generation.tokens(), generation.attempt(), now)
                        : mScheduler.offer(item, now);
        switch (result) {
            case OfferResult.Queued queued -> mSink.admitted(item, queued.ahead());
            case OfferResult.Refused refused -> {
                mSink.refused(item, refused.error());
                mActive.remove(request.key());
                generation.fail(refused.error());
            }
        }
    }

    private void endGeneration(Generation generation, int cachedTokens, String reason) {
        GenerationRequest request = generation.request();
        if (!mActive.remove(request.key(), generation)) {
            return;
        }
        long now = mTicker.nanos();
        reportProgress(generation, now);
        mScheduler.ended(request.key(), endOf(generation, reason), cachedTokens, now);
        mSink.ended(
                new DecisionSink.Ended(
                        request.key(),
                        request.rule().rank(),
                        generation.attempts(),
                        generation.tokens(),
                        reason));
    }

    private static Scheduler.End endOf(Generation generation, String reason) {
        if (reason.equals(FINISHED)) {
            return Scheduler.End.COMPLETED;
        }
        boolean cancelled =
                !(generation.end() instanceof GenerationEnd.Failed failed)
                        || failed.error().kind() == ErrorKind.GENERATION_LOST;
        return cancelled ? Scheduler.End.CANCELLED : Scheduler.End.FAILED;
    }

    private void advance() {
        for (Decision decision : mScheduler.advance(mTicker.nanos())) {
            Generation generation = mActive.get(decision.item().id());
            if (generation != null) {
                executeDecision(decision, generation);
            }
        }
    }

    private void executeDecision(Decision decision, Generation generation) {
        switch (decision) {
            case Decision.Start start -> startAttempt(start, generation);
            case Decision.Refuse refuse -> {
                mSink.refused(refuse.item(), refuse.error());
                mActive.remove(generation.request().key());
                generation.fail(refuse.error());
            }
            case Decision.Cancel cancel -> {
                mSink.cancelled(cancel);
                if (cancel.error() == null) {
                    generation.stopAttempt();
                } else {
                    generation.fail(cancel.error());
                    endGeneration(generation, 0, cancel.reason());
                }
            }
        }
    }

    private void startAttempt(Decision.Start start, Generation generation) {
        UpstreamInfo engine = mEngines.get(start.upstream());
        if (engine == null) {
            mScheduler.attemptLost(start.item().id(), Loss.REFUSED, mTicker.nanos());
            return;
        }
        mSink.routed(start, generation.tokens());
        AttemptRunner runner = new AttemptRunner(generation, start, engine, this);
        generation.runner(runner);
        Thread.ofVirtual().name("attempt").start(runner);
    }

    private void tick() {
        long now = mTicker.nanos();
        if (now - mLastTickNanos > LATE_TICK_NANOS) {
            mStallGraceEndNanos = now + StallMonitor.MIN.toNanos();
        }
        mLastTickNanos = now;
        if (mRules.get().version() != mAppliedVersion) {
            applyRules();
        }
        for (Generation generation : new ArrayList<>(mActive.values())) {
            checkGeneration(generation, now);
        }
        advance();
    }

    private void checkGeneration(Generation generation, long now) {
        GenerationRequest request = generation.request();
        GenerationEnd end = generation.end();
        if (end instanceof GenerationEnd.Finished) {
            // The attempt's completion event is still queued.
            return;
        }
        if (end != null) {
            endGeneration(
                    generation,
                    0,
                    end instanceof GenerationEnd.TakenOver ? "taken_over" : "failed");
            return;
        }
        reportProgress(generation, now);
        if (now - request.deadlineNanos() >= 0 && request.deadlineEpochMillis() != 0) {
            long millis = (request.deadlineNanos() - request.arrivedNanos()) / 1_000_000;
            generation.fail(
                    generation.isSent()
                            ? ServeError.failed(
                                    ErrorKind.DEADLINE_EXCEEDED, Outcome.STOPPED, millis + " ms")
                            : ServeError.rejected(ErrorKind.DEADLINE_EXCEEDED, millis + " ms"));
            endGeneration(generation, 0, ErrorKind.DEADLINE_EXCEEDED.code());
            return;
        }
        AttemptRunner runner = generation.runner();
        if (runner != null
                && isStalled(runner, request.model(), now)
                && mScheduler.mayReplaceStalled(request.key(), now)) {
            runner.abort(Loss.STALLED);
        }
    }

    private boolean isStalled(AttemptRunner runner, String model, long now) {
        if (now - mStallGraceEndNanos < 0) {
            return false;
        }
        long silence = now - runner.lastEventNanos();
        if (runner.hasFirstToken()) {
            return silence > mStalls.timeoutNanos(model);
        }
        // Queueing and prefill may take long, so before the first token only a lost engine counts.
        Availability known = mAvailability.get(runner.upstream());
        return (known == Availability.LOST || known == Availability.ENDED)
                && silence > StallMonitor.MIN.toNanos();
    }

    private void reportProgress(Generation generation, long now) {
        int tokens = generation.takeUnreportedTokens();
        if (tokens > 0) {
            mScheduler.progress(generation.request().key(), tokens, now);
        }
    }

    private void applyRules() {
        ServingRules rules = mRules.get();
        mAppliedVersion = rules.version();
        mEngines.clear();
        rules.engines().forEach(engine -> mEngines.put(engine.id(), engine));
        mScheduler.replaceUpstreams(rules.engines(), mTicker.nanos());
        mUsedEnginesListener.accept(
                rules.engines().stream().filter(engine -> mScheduler.uses(engine.id())).toList());
    }
}
