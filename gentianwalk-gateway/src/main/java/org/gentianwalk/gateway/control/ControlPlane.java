package org.gentianwalk.gateway.control;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.CacheAware;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.dispatch.DeliveryAware;
import org.gentianwalk.core.dispatch.EvidenceAware;
import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.InputAware;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.LivenessAware;
import org.gentianwalk.core.dispatch.PeerLoadAware;
import org.gentianwalk.core.dispatch.PeerView;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.StatedLimit;
import org.gentianwalk.core.dispatch.StreamScheduler;
import org.gentianwalk.core.dispatch.TargetAware;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamDirectory;
import org.gentianwalk.core.dispatch.UpstreamLimits;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.dispatch.WorkScheduler;
import org.gentianwalk.core.rollout.ExposureLimits;
import org.gentianwalk.core.rollout.RolloutReport;
import org.gentianwalk.core.route.RouteTable;
import org.gentianwalk.core.route.ServiceSpec;
import org.gentianwalk.core.route.Team;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.GatewaySettings;
import org.gentianwalk.gateway.fleet.FleetLink;
import org.gentianwalk.gateway.fleet.LoadListener;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RolloutFormat;
import org.gentianwalk.gateway.store.RowFormat;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.store.TableListener;
import org.gentianwalk.gateway.store.TableWatcher;
import org.gentianwalk.gateway.store.WatchTimes;
import org.gentianwalk.gateway.traffic.ControlPort;
import org.gentianwalk.gateway.traffic.Delivery;
import org.gentianwalk.gateway.traffic.Exchange;
import org.gentianwalk.gateway.wire.HeadText;
import org.gentianwalk.server.guard.FailureGuard;
import org.jspecify.annotations.Nullable;

/** Owns the control state of an instance. Only public methods may run off the control thread. */
public final class ControlPlane implements ControlPort, LoadListener {
    /** Interval of the periodic tick while requests are in progress. */
    private static final Duration TICK = Duration.ofMillis(40);

    /** Interval of the periodic tick while no request is in progress. */
    private static final Duration IDLE_TICK = Duration.ofMillis(120);

    /**
     * Interval at which overdue requests are ended. The task is separate from the tick, so that it
     * runs whatever fails there.
     */
    private static final Duration OVERDUE_CHECK = Duration.ofMillis(100);

    /** Delay of the tick from which on the instance counts as paused, as in core.policy. */
    private static final long PAUSED_NANOS = Duration.ofMillis(200).toNanos();

    /**
     * Time in which the traffic loop reads what has arrived during a pause. Its first round after
     * SIGCONT may run its tasks before it reads.
     */
    private static final Duration READ_TIME = Duration.ofMillis(20);

    /** Time after which decisions are made although the traffic loop has not confirmed to read. */
    private static final Duration MAX_READ_TIME = Duration.ofMillis(100);

    /**
     * Further pauses within the time to read that begin it again. It bounds the time without
     * decisions on a machine that stalls all the time.
     */
    private static final int MAX_REPEATED_READS = 3;

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);

    /** Pause between polls, so that bursts of changes share a call; the store bills each call. */
    private static final Duration CONFIG_PAUSE = Duration.ofMillis(100);

    private static final Duration UPSTREAM_PAUSE = Duration.ofMillis(300);

    /** Retry-after time of a request whose service is not part of the configuration. */
    private static final Duration NO_SERVICE_RETRY = Duration.ofSeconds(1);

    private final GatewaySettings mSettings;
    private final ScheduledExecutorService mControl;
    private final TrafficLoop mTraffic;
    private final Ticker mTicker;
    private final RowFormat mRowFormat;
    private final EngineQueryClient mQueries;
    private final SchedulerFactory mFactory;
    private final UpstreamDirectory mDirectory = new UpstreamDirectory();
    private final UpstreamLimits mLimits = new UpstreamLimits(new Random());
    private volatile Set<String> mLimited = Set.of();
    private volatile Set<String> mClosed = Set.of();
    private final Map<String, WorkScheduler> mSchedulers = new HashMap<>();

    /**
     * Schedulers of services that have changed their kind, until their requests have ended, and the
     * names of the services.
     */
    private final Map<WorkScheduler, String> mRetired = new IdentityHashMap<>();

    private final FailureGuard mGuard;
    private final ActiveRequests mRequests;
    private final Set<WorkScheduler> mPendingConfirmations =
            Collections.newSetFromMap(new IdentityHashMap<>());
    private final Map<String, FleetRetryBudget> mRetries = new HashMap<>();
    private final GatewayLog mLog = new GatewayLog();
    private final List<TableWatcher> mWatchers = new ArrayList<>();
    private PeerView mPeers = PeerView.ALONE;
    private @Nullable FleetLink mFleet;
    private @Nullable EvidenceKeeper mEvidence;
    private volatile @Nullable RolloutCoordinator mRollouts;

    /** Watch of the status of rollouts, until it is started. */
    private @Nullable TableWatcher mStatusWatcher;

    private @Nullable RouteTable mHeldBack;
    private @Nullable Long mStopsAt;
    private @Nullable Long mTickDueAt;

    /** Number of pauses so far, and whether what has arrived during the last one is being read. */
    private int mPauses;

    private boolean mReadsAfterPause;
    private int mRepeatedReads;
    private volatile @Nullable RouteTable mTable;

    /**
     * Creates a control plane without a configuration or upstreams.
     *
     * @param settings settings of the instance
     * @param control the control thread
     * @param traffic the traffic loop
     * @param ticker clock
     * @param rowFormat names and parses the rows of the shared store
     * @param queries queries engines for cached prompt parts and checks whether they respond
     * @param factory creates the schedulers of services
     * @param guard runs the parts by themselves, so that none ends with another one
     */
    public ControlPlane(
            GatewaySettings settings,
            ScheduledExecutorService control,
            TrafficLoop traffic,
            Ticker ticker,
            RowFormat rowFormat,
            EngineQueryClient queries,
            SchedulerFactory factory,
            FailureGuard guard) {
        mQueries = queries;
        mFactory = factory;
        mGuard = guard;
        mRequests = new ActiveRequests(control, traffic, ticker, mLog, guard);
        mSettings = settings;
        mControl = control;
        mTraffic = traffic;
        mTicker = ticker;
        mRowFormat = rowFormat;
    }

    /**
     * Joins the mesh and starts to watch the tables of the shared store.
     *
     * @param store the store
     * @throws IOException if the address of the mesh can't be bound
     */
    public void start(RowStore store) throws IOException {
        RolloutCoordinator rollouts = createRollouts(store);
        mRollouts = rollouts;
        FleetLink fleet = new FleetLink(mSettings, this, store, mControl, mTicker, mLog, mGuard);
        mWatchers.add(
                createWatcher(
                        store,
                        fleet,
                        mRowFormat.configTable(),
                        new ConfigTableListener(
                                mRowFormat,
                                this::applyConfiguration,
                                this::storeRestored,
                                mLog,
                                rollouts),
                        WatchTimes.within(mSettings.configChange(), STORE_TIMEOUT, CONFIG_PAUSE)));
        mWatchers.add(
                createWatcher(
                        store,
                        fleet,
                        mRowFormat.upstreamTable(),
                        new UpstreamTableListener(
                                mRowFormat, mDirectory, this::applyDirectory, mTicker, mLog),
                        WatchTimes.within(
                                mSettings.upstreamChange(), STORE_TIMEOUT, UPSTREAM_PAUSE)));
        RolloutFormat format = mRowFormat.rollouts();
        if (rollouts != null && format != null) {
            mStatusWatcher =
                    createWatcher(
                            store,
                            fleet,
                            format.statusTable(),
                            new RolloutStatusListener(rollouts, mLog),
                            WatchTimes.within(
                                    mSettings.configChange(), STORE_TIMEOUT, CONFIG_PAUSE));
        }
        fleet.setWatchers(mWatchers);
        fleet.start(mSettings.mesh().address());
        mFleet = fleet;
        EvidenceKeeper evidence =
                new EvidenceKeeper(
                        mSettings.name(),
                        store,
                        mControl,
                        mTicker,
                        System::currentTimeMillis,
                        mSchedulers,
                        mLog,
                        mGuard);
        mEvidence = evidence;
        run("evidence", () -> evidence.read(this::applyHeldBack));
        for (TableWatcher watcher : mWatchers) {
            run("watch of table " + watcher.table(), watcher::start);
        }
        mControl.scheduleWithFixedDelay(
                mGuard.guarded("end of overdue requests", mRequests::endOverdue),
                OVERDUE_CHECK.toMillis(),
                OVERDUE_CHECK.toMillis(),
                TimeUnit.MILLISECONDS);
        scheduleTick();
    }

    /** Returns the coordinator of rollouts, or null when the settings do not enable them. */
    private @Nullable RolloutCoordinator createRollouts(RowStore store) {
        ExposureLimits exposure = mSettings.exposure();
        RolloutFormat format = mRowFormat.rollouts();
        if (exposure == null || format == null) {
            return null;
        }
        return new RolloutCoordinator(
                mSettings.name(),
                exposure,
                format,
                store,
                mControl,
                mTicker,
                System::currentTimeMillis,
                mDirectory::upstreams,
                mLog,
                mGuard);
    }

    /**
     * Returns the metrics of the instance.
     *
     * @return lines in the Prometheus text format
     */
    public String metrics() {
        RolloutCoordinator rollouts = mRollouts;
        return rollouts == null ? "" : rollouts.metrics();
    }

    /** Passes an observation to the rollouts if there are any; a failure affects nothing else. */
    private void observe(Consumer<RolloutCoordinator> observation) {
        RolloutCoordinator rollouts = mRollouts;
        if (rollouts != null) {
            mGuard.run("rollouts", () -> observation.accept(rollouts));
        }
    }

    /** Writes the rows of this instance again, which the store may have lost. */
    private void storeRestored() {
        FleetLink fleet = mFleet;
        EvidenceKeeper evidence = mEvidence;
        if (fleet != null) {
            mGuard.run("registration of the instance", fleet::registerAgain);
        }
        if (evidence != null) {
            mGuard.run("evidence", evidence::writeAgain);
        }
    }

    private TableWatcher createWatcher(
            RowStore store,
            FleetLink fleet,
            String table,
            TableListener listener,
            WatchTimes times) {
        return new TableWatcher(
                store, table, listener, fleet.tableFeed(), mControl, mTicker, times, mGuard);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the table, or null before the first configuration is read
     */
    public @Nullable RouteTable table() {
        return mTable;
    }

    /**
     * Applies changed settings; only the retry bounds can change while the instance runs.
     *
     * @param settings the new settings
     */
    public void applySettings(GatewaySettings settings) {
        run(
                "settings",
                () -> mRetries.values().forEach(retries -> retries.bounds(settings.retries())));
    }

    /**
     * Announces to the other instances that this one is about to stop, and ends the requests that
     * are still in progress then.
     *
     * @param stopsAtNanos time at which the instance stops
     */
    public void announceStop(long stopsAtNanos) {
        run(
                "stop",
                () -> {
                    mStopsAt = stopsAtNanos;
                    forEachScheduler(scheduler -> scheduler.stopAt(stopsAtNanos));
                    mRetired.forEach(
                            (scheduler, service) ->
                                    mGuard.run(
                                            partName(service),
                                            () -> scheduler.stopAt(stopsAtNanos)));
                    FleetLink fleet = mFleet;
                    if (fleet != null) {
                        fleet.leave();
                    }
                });
    }

    @Override
    public void requestArrived(Work work, Exchange exchange) {
        execute(work.id(), () -> offer(work, exchange));
    }

    /**
     * Runs a task of one request on the control thread. A failure ends the request, which would
     * otherwise get no answer.
     */
    private void execute(long work, Runnable task) {
        mControl.execute(
                () -> {
                    if (!mGuard.run("decision on a request", task)) {
                        mRequests.abandon(work, "a decision failed");
                    }
                });
    }

    /** Runs a task on the control thread that belongs to no request. */
    private void run(String part, Runnable task) {
        mControl.execute(mGuard.guarded(part, task));
    }

    /** Runs an action for each scheduler, whichever of them fail. */
    private void forEachScheduler(Consumer<WorkScheduler> action) {
        mSchedulers.forEach(
                (service, scheduler) ->
                        mGuard.run(partName(service), () -> action.accept(scheduler)));
    }

    private static String partName(String service) {
        return "scheduler of service " + service;
    }

    @Override
    public void progress(long work, int attempt, Progress progress, boolean first) {
        mRequests.bufferProgress(work, attempt, progress);
        if (first) {
            long firstNanos = progress.lastNanos();
            // The first output ends the prefill and frees the engine for the next prompt.
            execute(
                    work,
                    () -> {
                        drainInput();
                        observe(rollouts -> rollouts.recordFirst(work, attempt, firstNanos));
                        ActiveRequests.Request request = mRequests.find(work);
                        if (request != null) {
                            mLog.outputStarted(request.work(), attempt, mTicker.nanos());
                            executeDecisions(request.scheduler());
                        }
                    });
        }
    }

    @Override
    public void deliveryPaused(long work, boolean paused) {
        execute(
                work,
                () -> {
                    drainInput();
                    ActiveRequests.Request request = mRequests.find(work);
                    if (request != null && request.scheduler() instanceof DeliveryAware aware) {
                        aware.recordDeliveryPause(work, paused, mTicker.nanos());
                    }
                });
    }

    /** Passes the pending load notices and the buffered output on to the schedulers. */
    private void drainInput() {
        FleetLink fleet = mFleet;
        if (fleet != null) {
            mGuard.run("load notices", fleet::processNotices);
        }
        mGuard.run("output of requests", mRequests::drainProgress);
    }

    @Override
    public void attemptEnded(
            long work, int attempt, AttemptEnd end, String cause, @Nullable UpstreamLoad load) {
        execute(
                work,
                () -> {
                    ActiveRequests.Request request = mRequests.find(work);
                    if (request == null) {
                        return;
                    }
                    drainInput();
                    mLog.attemptEnded(request.work(), attempt, end, cause, mTicker.nanos());
                    if (load != null) {
                        request.scheduler().recordLoad(work, attempt, load, mTicker.nanos());
                    }
                    observe(rollouts -> rollouts.recordEnd(work, attempt, end));
                    request.scheduler().recordAttemptEnd(work, attempt, end, mTicker.nanos());
                    executeDecisions(request.scheduler());
                });
    }

    @Override
    public void responseDelivered(
            long work, int attempt, Delivery delivery, @Nullable UpstreamLoad load) {
        execute(
                work,
                () -> {
                    ActiveRequests.Request request = mRequests.remove(work);
                    if (request == null) {
                        return;
                    }
                    if (load != null) {
                        request.scheduler().recordLoad(work, attempt, load, mTicker.nanos());
                    }
                    observe(rollouts -> rollouts.recordEnd(work, attempt, AttemptEnd.SUCCEEDED));
                    request.scheduler()
                            .recordAttemptEnd(work, attempt, AttemptEnd.SUCCEEDED, mTicker.nanos());
                    mLog.responseDelivered(request.work(), attempt, delivery, mTicker.nanos());
                    executeDecisions(request.scheduler());
                });
    }

    @Override
    public void requestLimitStated(Upstream upstream, @Nullable Double limit) {
        run(
                "request limits",
                () -> {
                    long changes = mLimits.changes();
                    mLimits.recordStatement(upstream, limit, mTicker.nanos());
                    publishLimited();
                    if (mLimits.changes() != changes) {
                        mLog.requestLimitStated(upstream, limit);
                        advanceFleet();
                    }
                });
    }

    @Override
    public void upstreamPaused(Upstream upstream, @Nullable Duration pause) {
        run("request limits", () -> recordPause(upstream, pause));
    }

    private void recordPause(Upstream upstream, @Nullable Duration pause) {
        if (pause != null) {
            mLimits.recordPause(upstream, pause, mTicker.nanos());
            mLog.upstreamPaused(upstream, pause);
        } else if (mLimits.recordLeaving(upstream, mTicker.nanos())) {
            mLog.upstreamPaused(upstream, null);
        }
        publishClosed();
    }

    @Override
    public boolean hasRequestLimit(Upstream upstream) {
        return mLimited.contains(upstream.process());
    }

    @Override
    public boolean acceptsRequests(Upstream upstream) {
        return !mClosed.contains(upstream.process());
    }

    private void publishLimited() {
        Set<String> limited = mLimits.limitedProcesses();
        if (!limited.equals(mLimited)) {
            mLimited = limited;
        }
    }

    private void publishClosed() {
        Set<String> closed = mLimits.closedProcesses(mTicker.nanos());
        if (!closed.equals(mClosed)) {
            mClosed = closed;
        }
    }

    @Override
    public List<StatedLimit> statedLimits() {
        return mLimits.recentStatements(mTicker.nanos());
    }

    @Override
    public void recordPeerLimits(List<StatedLimit> limits) {
        mLimits.merge(limits, mTicker.nanos());
        publishLimited();
    }

    @Override
    public List<String> leavingProcesses() {
        return mLimits.recentlyLeaving(mTicker.nanos());
    }

    @Override
    public void recordPeerLeaving(List<String> processes) {
        mLimits.mergeLeaving(processes, mTicker.nanos());
        publishClosed();
    }

    @Override
    public void requestWithdrawn(long work) {
        execute(
                work,
                () -> {
                    ActiveRequests.Request request = mRequests.remove(work);
                    if (request != null) {
                        request.scheduler().remove(work, mTicker.nanos());
                        mLog.requestWithdrawn(request.work(), mTicker.nanos());
                        executeDecisions(request.scheduler());
                    }
                });
    }

    private void offer(Work work, Exchange exchange) {
        WorkScheduler scheduler = mSchedulers.get(work.service());
        if (scheduler == null) {
            Decision.Finish refusal =
                    new Decision.Finish(
                            work, Ending.REFUSED, NO_SERVICE_RETRY, "the service is not known");
            mRequests.refuse(refusal, exchange);
            return;
        }
        mRequests.add(new ActiveRequests.Request(work, scheduler, exchange));
        drainInput();
        observe(rollouts -> rollouts.recordRequest(work));
        scheduler.offer(work, mTicker.nanos());
        executeDecisions(scheduler);
    }

    private void tick() {
        try {
            drainInput();
            mGuard.run("directory of upstreams", this::advanceDirectory);
            observe(this::advanceRollouts);
            forEachScheduler(this::executeDecisions);
            mGuard.run("retired schedulers", this::advanceRetired);
            EvidenceKeeper evidence = mEvidence;
            if (evidence != null) {
                mGuard.run("evidence", evidence::advance);
            }
            advanceFleet();
        } finally {
            scheduleTick();
        }
    }

    private void advanceRollouts(RolloutCoordinator rollouts) {
        TableWatcher statuses = mStatusWatcher;
        FleetLink fleet = mFleet;
        if (statuses != null && fleet != null && rollouts.hasOrders()) {
            // The store bills each call, so its table is not watched without an order.
            mStatusWatcher = null;
            fleet.setWatchers(List.of(statuses));
            statuses.start();
        }
        rollouts.advance(work -> mRequests.find(work) != null);
        mSchedulers.forEach(
                (service, scheduler) -> {
                    if (rollouts.movesStreams(service)) {
                        scheduler.moveStreams(rollouts::isOld, mTicker.nanos());
                    }
                });
    }

    /** Records what a decision means for the attempts that the rollouts observe. */
    private void observe(Decision decision) {
        if (decision instanceof Decision.Start start) {
            observe(
                    rollouts ->
                            rollouts.retainAttempts(
                                    start.work().id(), start.attempt(), start.beside()));
        } else if (decision instanceof Decision.Finish finish
                && finish.ending() == Ending.TIMED_OUT) {
            observe(rollouts -> rollouts.recordTimeout(finish.work().id()));
        }
    }

    private void scheduleTick() {
        Duration pause = mRequests.isEmpty() ? IDLE_TICK : TICK;
        mTickDueAt = mTicker.nanos() + pause.toNanos();
        mControl.schedule(
                mGuard.guarded("tick", this::tick), pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void advanceDirectory() {
        mDirectory.advance(mTicker.nanos());
        mLimits.expire(mTicker.nanos());
        publishClosed();
        applyDirectory();
    }

    /** Advances the schedulers of services that have changed their kind. */
    private void advanceRetired() {
        mRetired.forEach(
                (scheduler, service) ->
                        mGuard.run(partName(service), () -> executeDecisions(scheduler)));
        mRetired.keySet().removeIf(scheduler -> !mRequests.use(scheduler));
    }

    private void advanceFleet() {
        FleetLink fleet = mFleet;
        if (fleet != null) {
            mGuard.run(
                    "fleet",
                    () -> {
                        fleet.advance();
                        mRetries.values().forEach(retries -> retries.instances(fleet.instances()));
                    });
        }
    }

    @Override
    public long loadChanges() {
        RolloutCoordinator rollouts = mRollouts;
        long[] changes = {mLimits.changes() + (rollouts == null ? 0 : rollouts.changes())};
        forEachScheduler(
                scheduler ->
                        changes[0] +=
                                scheduler instanceof PeerLoadAware aware ? aware.loadChanges() : 0);
        return changes[0];
    }

    @Override
    public List<InstanceLoad> loads() {
        List<InstanceLoad> loads = new ArrayList<>();
        forEachScheduler(
                scheduler -> {
                    if (scheduler instanceof PeerLoadAware aware
                            && aware.hasLoad(mTicker.nanos())) {
                        loads.add(aware.load(mTicker.nanos()));
                    }
                });
        return loads;
    }

    @Override
    public void recordPeerLoads(String instance, List<InstanceLoad> loads) {
        for (InstanceLoad load : loads) {
            WorkScheduler scheduler = mSchedulers.get(load.service());
            if (scheduler instanceof PeerLoadAware aware) {
                mGuard.run(
                        partName(load.service()),
                        () -> aware.recordPeerLoad(instance, load, mTicker.nanos()));
            }
        }
    }

    @Override
    public List<RolloutReport> rollouts() {
        RolloutCoordinator rollouts = mRollouts;
        return rollouts == null ? List.of() : rollouts.reports();
    }

    @Override
    public void recordPeerRollouts(String instance, List<RolloutReport> reports) {
        observe(rollouts -> rollouts.recordPeerReports(instance, reports));
    }

    @Override
    public void updatePeers(PeerView peers) {
        mPeers = peers;
        observe(rollouts -> rollouts.updatePeers(peers));
        mLimits.updatePeers(peers);
        forEachScheduler(
                scheduler -> {
                    if (scheduler instanceof PeerLoadAware aware) {
                        aware.updatePeers(peers);
                    }
                });
    }

    /**
     * Returns whether the instance was paused and the traffic loop still reads what has arrived
     * meanwhile. Until then, ready answers would count as late, and sound upstreams as silent.
     */
    private boolean readsAfterPause() {
        Long due = mTickDueAt;
        if (due == null || mTicker.nanos() - due <= PAUSED_NANOS) {
            return mReadsAfterPause;
        }
        if (mReadsAfterPause && mRepeatedReads >= MAX_REPEATED_READS) {
            return true;
        }
        mRepeatedReads = mReadsAfterPause ? mRepeatedReads + 1 : 0;
        mReadsAfterPause = true;
        // The tick itself may still be queued, and would show the same pause once more.
        mTickDueAt = mTicker.nanos();
        startReading();
        return true;
    }

    /** Lets the traffic loop read, after which {@link #endPause} follows. */
    private void startReading() {
        mPauses++;
        int pause = mPauses;
        Runnable second = () -> mTraffic.execute(() -> run("pause", () -> endPause(pause)));
        Runnable first =
                () ->
                        mControl.schedule(
                                mGuard.guarded("pause", second),
                                READ_TIME.toMillis(),
                                TimeUnit.MILLISECONDS);
        mControl.schedule(
                mGuard.guarded("pause", () -> endPause(pause)),
                MAX_READ_TIME.toMillis(),
                TimeUnit.MILLISECONDS);
        mGuard.run("pause", () -> mTraffic.execute(() -> run("pause", first)));
    }

    /** Makes the decisions that had to wait until the traffic loop has read after a pause. */
    private void endPause(int pause) {
        // Another pause may have delayed this, so that what arrived in it has not been read.
        if (!readsAfterPause() || pause != mPauses) {
            return;
        }
        mReadsAfterPause = false;
        mTickDueAt = mTicker.nanos();
        drainInput();
        forEachScheduler(this::executeDecisions);
        mGuard.run("retired schedulers", this::advanceRetired);
    }

    /**
     * Carries out the new decisions of a scheduler. A failure of the scheduler is thrown; what
     * follows from its decisions fails by itself.
     */
    private void executeDecisions(WorkScheduler scheduler) {
        if (readsAfterPause()) {
            return;
        }
        for (Decision decision : scheduler.advance(mTicker.nanos())) {
            observe(decision);
            mRequests.execute(decision, configVersion());
        }
        mGuard.run("confirmation of input", () -> confirmInput(scheduler));
        mGuard.run("queries of engines", () -> queryEngines(scheduler));
        advanceFleet();
    }

    private void queryEngines(WorkScheduler scheduler) {
        if (scheduler instanceof LivenessAware aware) {
            aware.takeLivenessChecks().forEach(check -> checkLiveness(scheduler, aware, check));
        }
        if (scheduler instanceof CacheAware aware) {
            aware.takeCacheQueries().forEach(engine -> queryCachedParts(scheduler, aware, engine));
        }
        if (scheduler instanceof EvidenceAware aware) {
            aware.takeSettledLosses().forEach(mLog::lossSettled);
        }
    }

    /**
     * Confirms to the scheduler that all output received so far has been processed: passes through
     * the traffic loop once, and then drains the buffered output.
     */
    private void confirmInput(WorkScheduler scheduler) {
        if (!(scheduler instanceof InputAware aware)
                || !aware.awaitsInput()
                || mPendingConfirmations.contains(scheduler)) {
            return;
        }
        long requestedAt = mTicker.nanos();
        Runnable confirm =
                () -> {
                    mPendingConfirmations.remove(scheduler);
                    drainInput();
                    aware.recordProcessedInput(requestedAt);
                    executeDecisions(scheduler);
                };
        mTraffic.execute(() -> run("confirmation of input", confirm));
        // Not before the call, since the scheduler would wait for ever after a failure of it.
        mPendingConfirmations.add(scheduler);
    }

    private void recordLeaving(Upstream upstream, boolean leaving) {
        if (leaving) {
            mGuard.run("request limits", () -> recordPause(upstream, null));
        }
    }

    private void queryCachedParts(WorkScheduler scheduler, CacheAware aware, Upstream engine) {
        mQueries.fetchParts(
                engine,
                (leaving, parts) ->
                        run(
                                "queries of engines",
                                () -> {
                                    recordLeaving(engine, leaving);
                                    aware.recordCachedParts(engine, parts, mTicker.nanos());
                                    mLog.promptCacheQueried(engine, parts.size());
                                    executeDecisions(scheduler);
                                }));
    }

    private void checkLiveness(
            WorkScheduler scheduler, LivenessAware aware, LivenessAware.LivenessCheck check) {
        long startedAt = mTicker.nanos();
        mQueries.checkLiveness(
                check,
                (liveness, incarnation) ->
                        run(
                                "queries of engines",
                                () -> {
                                    recordLeaving(check.engine(), liveness == Liveness.LEAVING);
                                    drainInput();
                                    long now = mTicker.nanos();
                                    if (isLaterStart(incarnation, check.engine())) {
                                        aware.recordLaterStart(check.engine(), incarnation, now);
                                    } else if (liveness == Liveness.ENDED) {
                                        aware.recordProcessEnd(check.engine(), now);
                                    } else {
                                        aware.recordLivenessCheck(
                                                check.engine(), liveness.hasResponded(), now);
                                    }
                                    mLog.livenessChecked(
                                            check,
                                            liveness.hasResponded(),
                                            liveness == Liveness.ENDED,
                                            now - startedAt);
                                    executeDecisions(scheduler);
                                }));
    }

    private static boolean isLaterStart(@Nullable Long incarnation, Upstream listed) {
        return incarnation != null && incarnation > listed.incarnation();
    }

    private void applyDirectory() {
        if (!mDirectory.takeChanged()) {
            return;
        }
        observe(RolloutCoordinator::updateUpstreams);
        mSchedulers.forEach(this::replaceUpstreamsGuarded);
        mRetired.forEach((scheduler, service) -> replaceUpstreamsGuarded(service, scheduler));
    }

    private void replaceUpstreamsGuarded(String service, WorkScheduler scheduler) {
        mGuard.run(partName(service), () -> replaceUpstreams(service, scheduler));
    }

    private void replaceUpstreams(String service, WorkScheduler scheduler) {
        scheduler.replaceUpstreams(mDirectory.upstreams(service), mTicker.nanos());
    }

    private void applyConfiguration(RouteTable table) {
        RouteTable current = mTable;
        if (current != null && current.version() >= table.version()) {
            return;
        }
        EvidenceKeeper evidence = mEvidence;
        if (evidence != null && !evidence.hasAsked()) {
            // No request is accepted before it is known which ones crash upstreams.
            RouteTable heldBack = mHeldBack;
            mHeldBack = heldBack == null || heldBack.version() < table.version() ? table : heldBack;
            return;
        }
        for (ServiceSpec service : table.services()) {
            WorkScheduler known = mSchedulers.get(service.name());
            boolean hasEngines = service.engine() != null;
            if (known == null || known instanceof StreamScheduler != hasEngines) {
                mSchedulers.put(service.name(), createScheduler(service));
                if (known != null) {
                    mRetired.put(known, service.name());
                }
            }
            if (mSchedulers.get(service.name()) instanceof TargetAware aware) {
                aware.updateTargets(table.latencyTargets(service.name()));
            }
        }
        mTable = table;
        mLog.configurationInForce(
                current == null ? 0 : current.version(),
                table.version(),
                table.routeCount(),
                "store");
        for (Team team : table.teams()) {
            if (!HeadText.isRepresentable(team.name())) {
                mLog.teamRefused(team.name(), table.version());
            }
        }
    }

    private void applyHeldBack() {
        RouteTable table = mHeldBack;
        mHeldBack = null;
        if (table != null) {
            applyConfiguration(table);
        }
    }

    private long configVersion() {
        RouteTable table = mTable;
        return table == null ? 0 : table.version();
    }

    private WorkScheduler createScheduler(ServiceSpec service) {
        FleetRetryBudget retries =
                mRetries.computeIfAbsent(
                        service.name(), name -> new FleetRetryBudget(mSettings.retries()));
        WorkScheduler scheduler = mFactory.create(service, retries, mLimits);
        RolloutCoordinator rollouts = mRollouts;
        if (rollouts != null) {
            scheduler.versionGate(rollouts);
        }
        replaceUpstreams(service.name(), scheduler);
        if (scheduler instanceof PeerLoadAware aware) {
            aware.updatePeers(mPeers);
        }
        if (mStopsAt != null) {
            scheduler.stopAt(mStopsAt);
        }
        EvidenceKeeper evidence = mEvidence;
        if (evidence != null) {
            evidence.restore(service.name(), scheduler);
        }
        return scheduler;
    }
}
