package org.gentianwalk.gateway.control;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.CacheAware;
import org.gentianwalk.core.dispatch.CallScheduler;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.InputAware;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.PeerLoadAware;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.StreamScheduler;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamDirectory;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.dispatch.WorkScheduler;
import org.gentianwalk.core.route.RouteTable;
import org.gentianwalk.core.route.ServiceSpec;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.GatewaySettings;
import org.gentianwalk.gateway.fleet.FleetLink;
import org.gentianwalk.gateway.fleet.LoadListener;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.gateway.store.SharedRows;
import org.gentianwalk.gateway.store.TableListener;
import org.gentianwalk.gateway.store.TableWatcher;
import org.gentianwalk.gateway.store.UnreadableRowException;
import org.gentianwalk.gateway.traffic.ControlPort;
import org.gentianwalk.gateway.traffic.Delivery;
import org.gentianwalk.gateway.traffic.Exchange;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Owns the control state of an instance. Everything but the public methods runs on one thread. */
public final class ControlPlane implements ControlPort, LoadListener {
    private static final Logger LOG = Logger.getLogger(ControlPlane.class);

    /** Time between two looks at what is due while there are requests. */
    private static final Duration TICK = Duration.ofMillis(40);

    /** The same without requests. */
    private static final Duration IDLE_TICK = Duration.ofMillis(120);

    /**
     * Longest wait for a change. A connection to the store that falls silent is noticed after it,
     * which has to be within the time for a configuration to be in force.
     */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(2);

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);

    /** Changes in quick succession share a call; each call to the store is paid for. */
    private static final Duration CONFIG_PAUSE = Duration.ofMillis(100);

    private static final Duration UPSTREAM_PAUSE = Duration.ofMillis(300);

    /** When a caller may come back whose service is not part of the configuration. */
    private static final Duration NO_SERVICE_RETRY = Duration.ofSeconds(1);

    private final GatewaySettings mSettings;
    private final ScheduledExecutorService mControl;
    private final Executor mTraffic;
    private final Ticker mTicker;
    private final SharedRows mRows;
    private final KeptParts mKept;
    private final UpstreamDirectory mDirectory = new UpstreamDirectory();
    private final Map<String, WorkScheduler> mSchedulers = new HashMap<>();
    private final Map<Long, Request> mRequests = new HashMap<>();
    private final Set<WorkScheduler> mConfirming =
            Collections.newSetFromMap(new IdentityHashMap<>());
    private final ProgressBuffer mProgress = new ProgressBuffer();
    private final List<FleetRetryBudget> mRetries = new ArrayList<>();
    private final GatewayLog mLog = new GatewayLog();
    private final List<TableWatcher> mWatchers = new ArrayList<>();
    private @Nullable FleetLink mFleet;
    private volatile @Nullable RouteTable mTable;

    /**
     * Creates a control plane that knows nothing yet.
     *
     * @param settings settings of the instance
     * @param control the control thread
     * @param traffic the traffic loop
     * @param ticker clock
     * @param rows reads the rows of the shared store
     * @param kept asks engines what they keep
     */
    public ControlPlane(
            GatewaySettings settings,
            ScheduledExecutorService control,
            Executor traffic,
            Ticker ticker,
            SharedRows rows,
            KeptParts kept) {
        mKept = kept;
        mSettings = settings;
        mControl = control;
        mTraffic = traffic;
        mTicker = ticker;
        mRows = rows;
    }

    /**
     * Starts to follow the shared store.
     *
     * @param store the store
     * @throws IOException if the address of the mesh can't be bound
     */
    public void start(RowStore store) throws IOException {
        FleetLink fleet = new FleetLink(mSettings, this, store, mControl, mTicker, mLog);
        mWatchers.add(watcher(store, fleet, mRows.configTable(), new ConfigRows(), CONFIG_PAUSE));
        mWatchers.add(
                watcher(store, fleet, mRows.upstreamTable(), new UpstreamRows(), UPSTREAM_PAUSE));
        fleet.watchers(mWatchers);
        fleet.start(mSettings.mesh().address());
        mFleet = fleet;
        mControl.execute(() -> mWatchers.forEach(TableWatcher::start));
        mControl.schedule(this::tick, TICK.toMillis(), TimeUnit.MILLISECONDS);
    }

    private TableWatcher watcher(
            RowStore store, FleetLink fleet, String table, TableListener listener, Duration pause) {
        return new TableWatcher(
                store,
                table,
                listener,
                fleet.tables(),
                mControl,
                mTicker,
                new TableWatcher.WatchTimes(WATCH_WAIT, STORE_TIMEOUT, pause));
    }

    /**
     * Returns the configuration in force.
     *
     * @return the table, or null while none is known
     */
    public @Nullable RouteTable table() {
        return mTable;
    }

    /**
     * Takes changed settings.
     *
     * @param settings the settings
     */
    public void settings(GatewaySettings settings) {
        mControl.execute(() -> mRetries.forEach(retries -> retries.bounds(settings.retries())));
    }

    /** Tells the other instances that this one is about to stop. */
    public void stopping() {
        mControl.execute(
                () -> {
                    FleetLink fleet = mFleet;
                    if (fleet != null) {
                        fleet.leave();
                    }
                });
    }

    @Override
    public void arrived(Work work, Exchange exchange) {
        mControl.execute(() -> offer(work, exchange));
    }

    @Override
    public void progress(long work, int attempt, Progress progress, boolean first) {
        mProgress.add(work, attempt, progress);
        if (first) {
            // The first output frees an engine for the next prompt.
            mControl.execute(
                    () -> {
                        takeIn();
                        Request request = mRequests.get(work);
                        if (request != null) {
                            carryOut(request.scheduler());
                        }
                    });
        }
    }

    /** Takes in what other threads and instances have left for the next decision. */
    private void takeIn() {
        FleetLink fleet = mFleet;
        if (fleet != null) {
            fleet.takeArrived();
        }
        mProgress.drain(
                (work, attempt, progress) -> {
                    Request request = mRequests.get(work);
                    if (request != null) {
                        request.scheduler().recordProgress(work, attempt, progress);
                    }
                });
    }

    @Override
    public void ended(
            long work, int attempt, AttemptEnd end, String cause, @Nullable UpstreamLoad load) {
        mControl.execute(
                () -> {
                    Request request = mRequests.get(work);
                    if (request == null) {
                        return;
                    }
                    takeIn();
                    mLog.attemptEnded(request.work(), attempt, end, cause, mTicker.nanos());
                    if (load != null) {
                        request.scheduler().recordLoad(work, load, mTicker.nanos());
                    }
                    request.scheduler().recordAttemptEnd(work, attempt, end, mTicker.nanos());
                    carryOut(request.scheduler());
                });
    }

    @Override
    public void delivered(long work, int attempt, Delivery delivery, @Nullable UpstreamLoad load) {
        mControl.execute(
                () -> {
                    Request request = mRequests.remove(work);
                    if (request == null) {
                        return;
                    }
                    mProgress.remove(work);
                    mLog.delivered(request.work(), attempt, delivery, mTicker.nanos());
                    if (load != null) {
                        request.scheduler().recordLoad(work, load, mTicker.nanos());
                    }
                    request.scheduler()
                            .recordAttemptEnd(work, attempt, AttemptEnd.SUCCEEDED, mTicker.nanos());
                    carryOut(request.scheduler());
                });
    }

    @Override
    public void withdrawn(long work) {
        mControl.execute(
                () -> {
                    Request request = mRequests.remove(work);
                    if (request != null) {
                        mLog.withdrawn(request.work(), mTicker.nanos());
                        request.scheduler().remove(work, mTicker.nanos());
                        carryOut(request.scheduler());
                    }
                });
    }

    private void offer(Work work, Exchange exchange) {
        WorkScheduler scheduler = mSchedulers.get(work.service());
        if (scheduler == null) {
            Decision.Finish refusal =
                    new Decision.Finish(
                            work, Ending.REFUSED, NO_SERVICE_RETRY, "the service is not known");
            mTraffic.execute(() -> exchange.finish(refusal));
            return;
        }
        takeIn();
        mRequests.put(work.id(), new Request(work, scheduler, exchange));
        scheduler.offer(work, mTicker.nanos());
        carryOut(scheduler);
    }

    private void tick() {
        try {
            takeIn();
            mDirectory.advance(mTicker.nanos());
            applyDirectory();
            for (WorkScheduler scheduler : mSchedulers.values()) {
                carryOut(scheduler);
            }
            exchange();
        } catch (RuntimeException e) {
            LOG.error("a tick of the control thread failed", e);
        }
        Duration pause = mRequests.isEmpty() ? IDLE_TICK : TICK;
        mControl.schedule(this::tick, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void exchange() {
        FleetLink fleet = mFleet;
        if (fleet != null) {
            fleet.advance();
            mRetries.forEach(retries -> retries.instances(fleet.instances()));
        }
    }

    @Override
    public long shareChanges() {
        long changes = 0;
        for (WorkScheduler scheduler : mSchedulers.values()) {
            changes += scheduler instanceof PeerLoadAware sharing ? sharing.loadChanges() : 0;
        }
        return changes;
    }

    @Override
    public List<InstanceLoad> shares() {
        List<InstanceLoad> shares = new ArrayList<>();
        for (WorkScheduler scheduler : mSchedulers.values()) {
            if (scheduler instanceof PeerLoadAware sharing) {
                shares.add(sharing.load(mTicker.nanos()));
            }
        }
        return shares;
    }

    @Override
    public void peerShares(String instance, List<InstanceLoad> shares) {
        for (InstanceLoad share : shares) {
            WorkScheduler scheduler = mSchedulers.get(share.service());
            if (scheduler instanceof PeerLoadAware sharing) {
                sharing.recordPeerLoad(instance, share, mTicker.nanos());
            }
        }
    }

    @Override
    public void peers(Collection<String> instances) {
        for (WorkScheduler scheduler : mSchedulers.values()) {
            if (scheduler instanceof PeerLoadAware sharing) {
                sharing.retainPeers(instances);
            }
        }
    }

    private void carryOut(WorkScheduler scheduler) {
        for (Decision decision : scheduler.advance(mTicker.nanos())) {
            Request request = mRequests.get(decision.work().id());
            if (request == null) {
                continue;
            }
            Exchange exchange = request.exchange();
            switch (decision) {
                case Decision.Start start -> {
                    mLog.placed(start, version(), mTicker.nanos());
                    mTraffic.execute(() -> exchange.start(start));
                }
                case Decision.Finish finish -> {
                    mLog.finished(finish, mTicker.nanos());
                    mRequests.remove(finish.work().id());
                    mTraffic.execute(() -> exchange.finish(finish));
                }
            }
        }
        if (scheduler instanceof InputAware aware && aware.awaitsInput()) {
            confirmInput(scheduler, aware);
        }
        if (scheduler instanceof CacheAware aware) {
            aware.takeCacheQueries().forEach(engine -> inquire(scheduler, aware, engine));
        }
        exchange();
    }

    /** Lets the traffic loop take in what has arrived, and tells the scheduler afterwards. */
    private void confirmInput(WorkScheduler scheduler, InputAware aware) {
        if (mConfirming.add(scheduler)) {
            long asked = mTicker.nanos();
            mTraffic.execute(
                    () ->
                            mControl.execute(
                                    () -> {
                                        mConfirming.remove(scheduler);
                                        takeIn();
                                        aware.recordProcessedInput(asked);
                                        carryOut(scheduler);
                                    }));
        }
    }

    private void inquire(WorkScheduler scheduler, CacheAware aware, Upstream engine) {
        mKept.ask(
                engine.address(),
                parts ->
                        mControl.execute(
                                () -> {
                                    mLog.kept(engine, parts.size());
                                    aware.recordCachedParts(engine, parts, mTicker.nanos());
                                    carryOut(scheduler);
                                }));
    }

    private void applyDirectory() {
        if (!mDirectory.takeChanged()) {
            return;
        }
        mSchedulers.forEach(
                (service, scheduler) ->
                        scheduler.replaceUpstreams(mDirectory.upstreams(service), mTicker.nanos()));
    }

    private void adopt(RouteTable table) {
        RouteTable current = mTable;
        if (current != null && current.version() >= table.version()) {
            return;
        }
        for (ServiceSpec service : table.services()) {
            mSchedulers.computeIfAbsent(service.name(), name -> scheduler(service));
        }
        mTable = table;
        mLog.adopted(
                current == null ? 0 : current.version(),
                table.version(),
                table.routeCount(),
                "store");
    }

    private long version() {
        RouteTable table = mTable;
        return table == null ? 0 : table.version();
    }

    private WorkScheduler scheduler(ServiceSpec service) {
        FleetRetryBudget retries = new FleetRetryBudget(mSettings.retries());
        mRetries.add(retries);
        java.util.Random random = new java.util.Random();
        WorkScheduler scheduler =
                service.engine() == null
                        ? new CallScheduler(mSettings.locations(), retries, random)
                        : new StreamScheduler(
                                service.name(),
                                service.engine(),
                                mSettings.locations(),
                                retries,
                                random);
        scheduler.replaceUpstreams(mDirectory.upstreams(service.name()), mTicker.nanos());
        return scheduler;
    }

    /**
     * A request that has no final answer yet.
     *
     * @param work the request
     * @param scheduler decides about it
     * @param exchange carries the decisions out
     */
    private record Request(Work work, WorkScheduler scheduler, Exchange exchange) {}

    /** Follows the configuration. */
    private final class ConfigRows implements TableListener {
        @Override
        public void replaced(List<Row> rows) {
            changed(rows);
        }

        @Override
        public void changed(List<Row> rows) {
            for (Row row : rows) {
                if (!row.key().equals(mRows.configKey()) || row.removed()) {
                    continue;
                }
                try {
                    adopt(mRows.configuration(row.value()));
                } catch (UnreadableRowException e) {
                    mLog.unreadable(row.key(), String.valueOf(e.getMessage()));
                }
            }
        }

        @Override
        public void lost(String reason) {
            mLog.lost("configuration", reason);
        }
    }

    /** Follows the list of upstreams. */
    private final class UpstreamRows implements TableListener {
        @Override
        public void replaced(List<Row> rows) {
            List<Upstream> upstreams = new ArrayList<>();
            for (Row row : rows) {
                Upstream upstream = read(row);
                if (upstream != null) {
                    upstreams.add(upstream);
                }
            }
            mDirectory.replaceAll(upstreams, mTicker.nanos());
            applyDirectory();
        }

        @Override
        public void changed(List<Row> rows) {
            mDirectory.recordRecovery(mTicker.nanos());
            for (Row row : rows) {
                Upstream upstream = row.removed() ? null : read(row);
                if (upstream == null) {
                    mLog.unlisted(row.key());
                    mDirectory.remove(row.key(), mTicker.nanos());
                } else {
                    mLog.listed(upstream);
                    mDirectory.put(upstream, mTicker.nanos());
                }
            }
            applyDirectory();
        }

        @Override
        public void lost(String reason) {
            mLog.lost("list of upstreams", reason);
            mDirectory.recordOutage(mTicker.nanos());
        }

        private @Nullable Upstream read(Row row) {
            try {
                return mRows.upstream(row.key(), row.value());
            } catch (UnreadableRowException e) {
                mLog.unreadable(row.key(), String.valueOf(e.getMessage()));
                return null;
            }
        }
    }
}
