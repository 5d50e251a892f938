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
 * Feeds the scheduler with events on the control thread and carries out its decisions. Public
 * methods may be called from any thread.
 */
public final class Dispatcher implements AttemptContext, EngineObserver {
    private static final Logger LOG = Logger.getLogger(Dispatcher.class);
    private static final String FINISHED = "finished";
    private static final Duration TICK = Duration.ofMillis(10);

    // A tick this late means that this process was not running, so no engine looks stalled.
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
    private Consumer<Collection<UpstreamInfo>> mUsedEngines = engines -> {};
    private volatile Map<String, Availability> mAvailabilities = Map.of();
    private long mRulesVersion = -1;
    private long mLastTick;
    private long mStallGraceUntil;

    /**
     * Creates a dispatcher; {@link #start} makes it run.
     *
     * @param scheduler decides, on the control thread only
     * @param rules the configuration in force
     * @param replicas keeps copies of the output
     * @param client talks to the engines
     * @param sink is told each decision
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
        mLastTick = ticker.nanos();
        mStallGraceUntil = mLastTick;
    }

    /**
     * Sets what is told the engines that this instance sends work to, after each change. To be
     * called before {@link #start}.
     *
     * @param listener takes the engines on the control thread
     */
    public void usedEngines(Consumer<Collection<UpstreamInfo>> listener) {
        mUsedEngines = listener;
    }

    /** Starts the periodic work. */
    public void start() {
        mControl.afterEvents(this::advance);
        mControl.execute(this::readRules);
        mControl.every(TICK, this::tick);
    }

    /** Offers new work. */
    void offer(Generation generation) {
        mControl.execute(() -> admit(generation));
    }

    /** Tells the scheduler soon that a generation ended other than by its engine. */
    void ended(Generation generation, String reason) {
        mControl.execute(() -> leave(generation, 0, reason));
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
                        available(upstream, leaving ? Availability.LEAVING : Availability.LIVE);
                    }
                });
    }

    /**
     * Returns the last known state of the engines.
     *
     * @return states by engine; an engine without an entry was never reported
     */
    public Map<String, Availability> availabilities() {
        return mAvailabilities;
    }

    @Override
    public void onAvailability(String upstream, Availability availability) {
        mControl.execute(() -> available(upstream, availability));
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
    public void lost(
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
                                    detail));
                    report(generation, now);
                    if (unreachable) {
                        available(runner.upstream(), Availability.LOST);
                    }
                    mScheduler.attemptLost(request.key(), loss, now);
                });
    }

    @Override
    public void finished(Generation generation, int cachedTokens) {
        mControl.execute(() -> leave(generation, cachedTokens, FINISHED));
    }

    @Override
    public void failed(Generation generation, ServeError error) {
        generation.fail(error);
        ended(generation, error.kind().code());
    }

    @Override
    public void fault(Generation generation, RuntimeException fault) {
        LOG.errorf(fault, "fault in the attempt of %s", generation.request().key());
        failed(
                generation,
                ServeError.failed(
                        ErrorKind.INTERNAL, Outcome.STOPPED, generation.request().key().key()));
    }

    // Only changes are passed on, since the scheduler counts each loss of an engine.
    private void available(String upstream, Availability availability) {
        boolean leaving = availability == Availability.LIVE && mLeaving.contains(upstream);
        Availability state = leaving ? Availability.LEAVING : availability;
        if (mAvailability.put(upstream, state) != state) {
            LOG.infof("decision=availability upstream=%s state=%s", upstream, state);
            mAvailabilities = Map.copyOf(mAvailability);
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
        Generation before = mActive.get(request.key());
        if (before != null) {
            // It has ended, and the event that says so is still on its way.
            leave(before, 0, "replaced");
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

    private void leave(Generation generation, int cachedTokens, String reason) {
        GenerationRequest request = generation.request();
        if (!mActive.remove(request.key(), generation)) {
            return;
        }
        long now = mTicker.nanos();
        report(generation, now);
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
        boolean gone =
                !(generation.end() instanceof GenerationEnd.Failed failed)
                        || failed.error().kind() == ErrorKind.GENERATION_LOST;
        return gone ? Scheduler.End.CANCELLED : Scheduler.End.FAILED;
    }

    private void advance() {
        for (Decision decision : mScheduler.advance(mTicker.nanos())) {
            Generation generation = mActive.get(decision.item().id());
            if (generation != null) {
                carryOut(decision, generation);
            }
        }
    }

    private void carryOut(Decision decision, Generation generation) {
        switch (decision) {
            case Decision.Start start -> start(start, generation);
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
                    leave(generation, 0, cancel.reason());
                }
            }
        }
    }

    private void start(Decision.Start start, Generation generation) {
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
        if (now - mLastTick > LATE_TICK_NANOS) {
            mStallGraceUntil = now + StallMonitor.MIN.toNanos();
        }
        mLastTick = now;
        if (mRules.get().version() != mRulesVersion) {
            readRules();
        }
        for (Generation generation : new ArrayList<>(mActive.values())) {
            watch(generation, now);
        }
        advance();
    }

    private void watch(Generation generation, long now) {
        GenerationRequest request = generation.request();
        GenerationEnd end = generation.end();
        if (end instanceof GenerationEnd.Finished) {
            // The event of the engine's end is on its way.
            return;
        }
        if (end != null) {
            leave(generation, 0, end instanceof GenerationEnd.TakenOver ? "taken_over" : "failed");
            return;
        }
        report(generation, now);
        if (now - request.deadlineNanos() >= 0 && request.deadlineEpochMillis() != 0) {
            long millis = (request.deadlineNanos() - request.arrivedNanos()) / 1_000_000;
            generation.fail(
                    generation.isSent()
                            ? ServeError.failed(
                                    ErrorKind.DEADLINE_EXCEEDED, Outcome.STOPPED, millis + " ms")
                            : ServeError.rejected(ErrorKind.DEADLINE_EXCEEDED, millis + " ms"));
            leave(generation, 0, ErrorKind.DEADLINE_EXCEEDED.code());
            return;
        }
        AttemptRunner runner = generation.runner();
        if (runner != null && isStalled(runner, request.model(), now)) {
            runner.abort(Loss.STALLED);
        }
    }

    private boolean isStalled(AttemptRunner runner, String model, long now) {
        if (now - mStallGraceUntil < 0) {
            return false;
        }
        long silence = now - runner.lastEventNanos();
        if (runner.hasFirstToken()) {
            return silence > mStalls.timeoutNanos(model);
        }
        // Queueing and prefill at the engine may take long, so only a dead engine counts.
        return mAvailability.get(runner.upstream()) == Availability.LOST
                && silence > StallMonitor.MIN.toNanos();
    }

    private void report(Generation generation, long now) {
        int tokens = generation.takeUnreported();
        if (tokens > 0) {
            mScheduler.progress(generation.request().key(), tokens, now);
        }
    }

    private void readRules() {
        ServingRules rules = mRules.get();
        mRulesVersion = rules.version();
        mEngines.clear();
        rules.engines().forEach(engine -> mEngines.put(engine.id(), engine));
        mScheduler.upstreams(rules.engines(), mTicker.nanos());
        mUsedEngines.accept(
                rules.engines().stream().filter(engine -> mScheduler.uses(engine.id())).toList());
    }
}
