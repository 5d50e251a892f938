package org.gentianwalk.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.PeerView;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.VersionGate;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.hash.Rendezvous;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.rollout.ExposureLimits;
import org.gentianwalk.core.rollout.RolloutOrder;
import org.gentianwalk.core.rollout.RolloutPhase;
import org.gentianwalk.core.rollout.RolloutPlan;
import org.gentianwalk.core.rollout.RolloutReport;
import org.gentianwalk.core.rollout.VersionCounters;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.fleet.RolloutCodec;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RolloutFormat;
import org.gentianwalk.gateway.store.RolloutFormat.Order;
import org.gentianwalk.gateway.store.RolloutFormat.State;
import org.gentianwalk.gateway.store.RolloutFormat.Status;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.gateway.store.RowStore.WriteResult;
import org.gentianwalk.gateway.store.StoreVersion;
import org.gentianwalk.gateway.store.UnreadableRowException;
import org.gentianwalk.proto.KeptRollout;
import org.gentianwalk.server.guard.FailureGuard;
import org.jspecify.annotations.Nullable;

/**
 * Connects the rollout plans of this instance with the store, the other instances and the
 * schedulers. Confined to the control thread, except {@link #metrics}.
 *
 * <p>Each instance decides on its own attempts. The status row is written by one instance, the
 * first one by rendezvous hash of the service; each next one takes over if the row still lacks the
 * state that it expects after a further {@link #TAKEOVER_NANOS}. All writes are conditional, so two
 * instances that write at once do no harm.
 */
final class RolloutCoordinator implements VersionGate {
    /** Table with one row for each service that has had a rollout. */
    static final String TABLE = "gentianwalk-rollouts";

    /** Time after which the next instance writes the status row; covers a write and its report. */
    static final long TAKEOVER_NANOS = Duration.ofMillis(600).toNanos();

    /** Maximum number of further instances that are waited for one after the other. */
    private static final int MAX_TAKEOVERS = 4;

    /** Minimum interval between two writes of the evidence. */
    private static final long KEEP_NANOS = Duration.ofSeconds(1).toNanos();

    /** Interval of the evidence's second writer, in case the first one can't reach the store. */
    private static final long SECOND_KEEP_NANOS = Duration.ofSeconds(3).toNanos();

    /** Pause before the status row is accessed again after a failure. */
    private static final long RETRY_NANOS = Duration.ofMillis(300).toNanos();

    /** Minimum interval between two load notices that are sent for the sake of counters. */
    private static final long REPORT_NANOS = Duration.ofMillis(250).toNanos();

    /** Time in which an instance that has just started gets to know the others. */
    private static final long START_NANOS = Duration.ofSeconds(2).toNanos();

    /** Time for which a rollback is reported, for instances that can't reach the store. */
    private static final long FINAL_REPORT_NANOS = Duration.ofSeconds(60).toNanos();

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final Location ANYWHERE = new Location("any", "any");

    private final String mInstance;
    private final ExposureLimits mLimits;
    private final RolloutFormat mFormat;
    private final RowStore mStore;
    private final Executor mControl;
    private final Ticker mTicker;
    private final LongSupplier mUnixMillis;
    private final Function<String, Collection<Upstream>> mUpstreams;
    private final GatewayLog mLog;
    private final FailureGuard mGuard;
    private final long mCreatedAt;
    private final RolloutAttempts mAttempts = new RolloutAttempts();
    private final Map<String, ServiceRollout> mServices = new HashMap<>();

    /** The newest reports of other instances, by service. */
    private final Map<String, Map<String, RolloutReport>> mReports = new HashMap<>();

    private PeerView mPeers = PeerView.ALONE;
    private boolean mStoreReachable = true;
    private long mChanges;
    private long mChangedAt;
    private boolean mRecorded;
    private volatile String mMetrics = "";

    /**
     * Creates a coordinator that knows no orders.
     *
     * @param instance name of this instance
     * @param limits bounds on the exposure of new versions
     * @param format names and converts the rows
     * @param store the shared store
     * @param control the control thread
     * @param ticker monotonic clock
     * @param unixMillis time of day, Unix milliseconds; the start of an order is kept by it
     * @param upstreams returns the listed upstreams of a service
     * @param log logs changes of phase and unreadable rows
     * @param guard runs the parts that may fail by themselves
     */
    RolloutCoordinator(
            String instance,
            ExposureLimits limits,
            RolloutFormat format,
            RowStore store,
            Executor control,
            Ticker ticker,
            LongSupplier unixMillis,
            Function<String, Collection<Upstream>> upstreams,
            GatewayLog log,
            FailureGuard guard) {
        mInstance = instance;
        mLimits = limits;
        mFormat = format;
        mStore = store;
        mControl = control;
        mTicker = ticker;
        mUnixMillis = unixMillis;
        mUpstreams = upstreams;
        mLog = log;
        mGuard = guard;
        mCreatedAt = ticker.nanos();
    }

    // Rows of the store.

    /** Applies the complete table of orders; an order that it lacks was withdrawn. */
    void replaceOrders(List<Row> rows) {
        Set<String> listed = new HashSet<>();
        rows.forEach(row -> listed.add(row.key()));
        changeOrders(rows);
        for (ServiceRollout service : mServices.values()) {
            // The format's key of an order is the one that names its service.
            if (service.mOrder != null
                    && listed.stream()
                            .noneMatch(key -> service.mService.equals(mFormat.orderService(key)))) {
                service.mOrder = null;
            }
        }
    }

    /** Applies changed rows of the table of orders. */
    void changeOrders(List<Row> rows) {
        for (Row row : rows) {
            String service = mFormat.orderService(row.key());
            if (service != null) {
                mGuard.run("order of a rollout", () -> changeOrder(service(service), row));
            }
        }
    }

    private void changeOrder(ServiceRollout service, Row row) {
        Order order = null;
        if (!row.removed()) {
            try {
                order = mFormat.parseOrder(row.key(), row.value());
            } catch (UnreadableRowException | RuntimeException e) {
                mLog.rowIgnored(row.key(), String.valueOf(e.getMessage()));
            }
        }
        Order before = service.mOrder;
        StoreVersion at = row.written();
        if (order == null) {
            service.mOrder = null;
            return;
        }
        if (at.equals(service.mOrderAt) && before != null) {
            return;
        }
        if (order.equals(before) && at.era() != service.mOrderAt.era()) {
            // The store came back from a copy and gives the same row another version.
            service.mOrderAt = at;
            return;
        }
        service.mOrder = order;
        service.mOrderAt = at;
        service.mPlan = null;
        service.mWanted = null;
        service.mKeptWritten = false;
        updateUpstreams(service);
        readKept(service, order, at);
    }

    /** Applies the complete table of status rows. */
    void replaceStatuses(List<Row> rows, StoreVersion readAt) {
        mStoreReachable = true;
        Set<String> listed = new HashSet<>();
        rows.forEach(row -> listed.add(row.key()));
        changeStatuses(rows);
        for (ServiceRollout service : mServices.values()) {
            if (!listed.contains(mFormat.statusKey(service.mService))
                    && service.mStatusAt.isBefore(readAt)) {
                service.mStatus = null;
                service.mStatusExists = false;
            }
        }
    }

    /** Applies changed status rows. */
    void changeStatuses(List<Row> rows) {
        mStoreReachable = true;
        for (Row row : rows) {
            String service = mFormat.statusService(row.key());
            if (service != null) {
                changeStatus(service(service), row);
            }
        }
    }

    /** Returns whether the table of orders has an order. */
    boolean hasOrders() {
        return mServices.values().stream().anyMatch(service -> service.mOrder != null);
    }

    /** Records that the store can't be reached. */
    void recordOutage() {
        mStoreReachable = false;
    }

    private void changeStatus(ServiceRollout service, Row row) {
        if (row.written().isBefore(service.mStatusAt)) {
            return;
        }
        service.mStatusAt = row.written();
        service.mStatusExists = !row.removed() && !row.carried();
        service.mStatus = null;
        if (!row.removed()) {
            try {
                service.mStatus = mFormat.parseStatus(row.key(), row.value());
            } catch (UnreadableRowException | RuntimeException e) {
                mLog.rowIgnored(row.key(), String.valueOf(e.getMessage()));
            }
        }
        follow(service);
    }

    /** Follows a final state of the status row. */
    private void follow(ServiceRollout service) {
        RolloutPlan plan = service.mPlan;
        State state = service.stateOfOrder();
        if (plan == null || state == null || !state.isFinal()) {
            return;
        }
        RolloutPhase phase =
                state == State.COMPLETED ? RolloutPhase.COMPLETED : RolloutPhase.ROLLED_BACK;
        if (plan.phase().isFinal()) {
            return;
        }
        plan.follow(phase);
        service.mFinalAt = mTicker.nanos();
        mChanges++;
        if (phase == RolloutPhase.COMPLETED) {
            service.recordCompletion(plan.order().version());
        }
        updateUpstreams(service);
        logPhase(service, plan);
    }

    /** Reads what was kept of an order, after which its plan begins. */
    private void readKept(ServiceRollout service, Order order, StoreVersion at) {
        readRow(
                TABLE,
                service.mService,
                (readable, row) -> {
                    boolean current = order.equals(service.mOrder) && service.mOrderAt.equals(at);
                    if (current && service.mPlan == null) {
                        begin(service, order, at, parseKept(service, row));
                    }
                });
    }

    private @Nullable KeptRollout parseKept(ServiceRollout service, @Nullable Row row) {
        if (row == null) {
            return null;
        }
        service.mKeptVersion = row.version();
        try {
            return KeptRollout.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            mLog.rowIgnored(row.key(), String.valueOf(e.getMessage()));
            return null;
        }
    }

    private void begin(
            ServiceRollout service, Order order, StoreVersion at, @Nullable KeptRollout found) {
        long now = mTicker.nanos();
        KeptRollout kept =
                found != null
                                && found.getEvidence().getEra() == at.era()
                                && found.getEvidence().getRevision() == at.version()
                        ? found
                        : null;
        long age = kept == null ? 0 : Math.max(0, mUnixMillis.getAsLong() - kept.getStartedAtMs());
        long started = now - age * NANOS_PER_MILLI;
        // An instance that was restarted may have used its part of the slack before, and one that
        // has just started does not know the others that share it.
        boolean hasSlack = started - mCreatedAt >= START_NANOS;
        ExposureLimits limits =
                !hasSlack
                        ? new ExposureLimits(mLimits.share(), 0, mLimits.rollbackNanos())
                        : mLimits;
        RolloutPlan plan =
                new RolloutPlan(
                        new RolloutOrder(
                                service.mService,
                                order.version(),
                                at.era(),
                                at.version(),
                                started,
                                order.duration().toNanos()),
                        limits);
        plan.updatePeers(mPeers);
        plan.updateStore(mStoreReachable);
        if (kept != null) {
            if (!kept.getInForce().isEmpty()) {
                service.inForce(kept.getInForce());
            }
            if (started - mCreatedAt < 0) {
                RolloutCodec.decode(List.of(kept.getEvidence())).forEach(plan::restore);
            }
        }
        mReports.getOrDefault(service.mService, Map.of())
                .forEach((instance, report) -> plan.mergePeer(instance, report, now));
        service.mPlan = plan;
        service.mLoggedPhase = "";
        mChanges++;
        updateUpstreams(service);
        follow(service);
        advance(service, now);
    }

    // Observations.

    /** Applies the list of upstreams. Must be called before the schedulers get it. */
    void updateUpstreams() {
        mServices.values().forEach(this::updateUpstreams);
    }

    private void updateUpstreams(ServiceRollout service) {
        service.updateUpstreams(
                mUpstreams.apply(service.mService), mLimits.share(), mTicker.nanos());
    }

    /** Records the arrival of a request. */
    void recordRequest(Work work) {
        RolloutPlan plan = service(work.service()).mPlan;
        if (plan != null && !plan.phase().isFinal()) {
            plan.recordRequest(mTicker.nanos());
        }
    }

    /** Records the first output of an attempt. */
    void recordFirst(long work, int attempt, long atNanos) {
        mAttempts.recordFirst(work, attempt, atNanos);
        mRecorded = true;
    }

    /** Records the end of an attempt. */
    void recordEnd(long work, int attempt, AttemptEnd end) {
        mAttempts.end(work, attempt, end, mTicker.nanos());
        mRecorded = true;
    }

    /** Records that a request was not answered by its deadline. */
    void recordTimeout(long work) {
        mAttempts.timeOut(work, mTicker.nanos());
        mRecorded = true;
    }

    /** Records that of a request's attempts only some go on beside a new one. */
    void retainAttempts(long work, int started, Set<Integer> beside) {
        mAttempts.retainAttempts(work, started, beside);
    }

    @Override
    public boolean isPermitted(Work work, Upstream upstream, long nowNanos) {
        return service(work.service())
                .isPermitted(work.route(), upstream, mAttempts.hasStarted(work.id()), nowNanos);
    }

    @Override
    public VersionGate preferred(Work work, long nowNanos) {
        ServiceRollout service = service(work.service());
        RolloutPlan plan = service.mPlan;
        if (plan == null
                || plan.phase().isFinal()
                || !plan.mayStart(work.route(), true, mAttempts.hasStarted(work.id()), nowNanos)) {
            return this;
        }
        boolean observing = plan.phase() == RolloutPhase.OBSERVING;
        return (request, upstream, now) ->
                service.isNew(upstream) && (!observing || service.isObserved(upstream));
    }

    @Override
    public void recordStart(Work work, int attempt, Upstream upstream, long nowNanos) {
        ServiceRollout service = service(work.service());
        RolloutPlan plan = service.mPlan;
        RolloutPlan counting = plan == null || plan.phase().isFinal() ? null : plan;
        if (counting != null) {
            counting.recordStart(work.route(), service.isNew(upstream), nowNanos);
        }
        mAttempts.start(work, attempt, upstream, counting, service.isNew(upstream), nowNanos);
        mRecorded = true;
    }

    /** Returns whether the streams of a service at old upstreams are to be moved now. */
    boolean movesStreams(String service) {
        RolloutPlan plan = service(service).mPlan;
        return plan != null && plan.movesStreams(mTicker.nanos());
    }

    /** Returns whether an upstream has another version than that of its service's order. */
    boolean isOld(Upstream upstream) {
        return !service(upstream.service()).isNew(upstream);
    }

    // Other instances.

    /** Updates the live instances. */
    void updatePeers(PeerView peers) {
        mPeers = peers;
        for (ServiceRollout service : mServices.values()) {
            RolloutPlan plan = service.mPlan;
            if (plan != null) {
                plan.updatePeers(peers);
                plan.retainPeers(peers.peers());
            }
        }
        mReports.values().forEach(reports -> reports.keySet().retainAll(peers.peers()));
    }

    /** Records the reports of another instance. */
    void recordPeerReports(String instance, List<RolloutReport> reports) {
        for (RolloutReport report : reports) {
            // A report may arrive before the order that it is about has been read here.
            mReports.computeIfAbsent(report.service(), name -> new HashMap<>())
                    .put(instance, report);
            RolloutPlan plan = service(report.service()).mPlan;
            if (plan != null) {
                plan.mergePeer(instance, report, mTicker.nanos());
            }
        }
    }

    /** Returns the reports for the other instances. */
    List<RolloutReport> reports() {
        List<RolloutReport> reports = new ArrayList<>();
        for (ServiceRollout service : mServices.values()) {
            RolloutPlan plan = service.mPlan;
            // After a completion all instances follow the row.
            if (plan == null || plan.phase() == RolloutPhase.COMPLETED) {
                continue;
            }
            boolean isFinal = plan.phase().isFinal();
            if (!isFinal || mTicker.nanos() - service.mFinalAt < FINAL_REPORT_NANOS) {
                reports.add(plan.report());
            }
        }
        return reports;
    }

    /** Returns a counter that increases when the reports have to be sent. */
    long changes() {
        return mChanges;
    }

    // Decisions.

    /**
     * Makes due decisions. Must be called periodically.
     *
     * @param isActive tells whether a request has not ended
     */
    void advance(LongPredicate isActive) {
        long now = mTicker.nanos();
        mAttempts.retain(isActive);
        for (ServiceRollout service : List.copyOf(mServices.values())) {
            mGuard.run("rollout of service " + service.mService, () -> advance(service, now));
        }
        if (mRecorded && now - mChangedAt >= REPORT_NANOS) {
            mRecorded = false;
            mChangedAt = now;
            // A load notice to all instances costs processor time, so none is sent without need.
            mChanges += hasRunningPlan() ? 1 : 0;
        }
        mMetrics = describe();
    }

    private boolean hasRunningPlan() {
        return mServices.values().stream()
                .map(service -> service.mPlan)
                .anyMatch(plan -> plan != null && !plan.phase().isFinal());
    }

    private void advance(ServiceRollout service, long now) {
        RolloutPlan plan = service.mPlan;
        if (plan == null) {
            return;
        }
        RolloutPhase phase = plan.phase();
        boolean rejected = plan.isRejected();
        if (service.mOrder == null) {
            plan.withdraw();
        }
        plan.updateStore(mStoreReachable);
        plan.recordOldAttempts(mAttempts.count(service.mService, this::isOld));
        plan.advance(now);
        if (plan.phase() != phase || plan.isRejected() != rejected) {
            mChanges++;
        }
        follow(service);
        logPhase(service, plan);
        writeStatus(service, plan, now);
        keep(service, plan, now);
    }

    private void logPhase(ServiceRollout service, RolloutPlan plan) {
        String phase = plan.phase().name().toLowerCase(Locale.ROOT);
        if (plan.isRejected() && !plan.phase().isFinal()) {
            phase = "rejected";
        }
        if (!phase.equals(service.mLoggedPhase)) {
            service.mLoggedPhase = phase;
            mLog.rolloutPhase(service.mService, plan.order().version(), phase, plan.explanation());
        }
    }

    private State wanted(ServiceRollout service, RolloutPlan plan, long now) {
        if (plan.phase() == RolloutPhase.COMPLETED) {
            return State.COMPLETED;
        }
        if (plan.isRejected()) {
            return State.ROLLED_BACK;
        }
        boolean inTime = now - plan.order().deadlineNanos() < 0;
        boolean complete = service.isAlreadyInForce() || plan.isReadyToComplete(now);
        return inTime && complete ? State.COMPLETED : State.RUNNING;
    }

    /** Writes the status row if it is this instance's turn. */
    private void writeStatus(ServiceRollout service, RolloutPlan plan, long now) {
        State wanted = wanted(service, plan, now);
        State known = service.stateOfOrder();
        if (wanted != service.mWanted) {
            service.mWanted = wanted;
            service.mWantedSince = now;
        }
        if (service.mStatusCall || now - service.mStatusRetryAt < 0) {
            return;
        }
        boolean done = known == wanted || known != null && known.isFinal();
        if (service.mReadsStatus) {
            readStatus(service);
        } else if (!done && now - service.mWantedSince >= takeoverNanos(service.mService)) {
            writeStatus(service, new Status(service.mService, wanted, plan.order().version()));
        }
    }

    private void writeStatus(ServiceRollout service, Status status) {
        long expected = service.mStatusExists ? service.mStatusAt.version() : 0;
        CompletionStage<WriteResult> write =
                mStore.writeIf(
                        mFormat.statusTable(),
                        mFormat.statusKey(service.mService),
                        mFormat.encodeStatus(status),
                        expected,
                        STORE_TIMEOUT);
        service.mStatusCall = true;
        // Whatever the result, the row is read back unless the response states what is in force.
        service.mReadsStatus = true;
        write.whenCompleteAsync(
                (result, failure) -> {
                    service.mStatusCall = false;
                    if (failure == null && result instanceof WriteResult.Conflict conflict) {
                        if (conflict.current() != null) {
                            service.mReadsStatus = false;
                            changeStatus(service, conflict.current());
                        }
                    } else if (failure != null || result instanceof WriteResult.Unknown) {
                        mStoreReachable = false;
                        service.mStatusRetryAt = mTicker.nanos() + RETRY_NANOS;
                    }
                    if (service.mReadsStatus && !isWaiting(service)) {
                        readStatus(service);
                    }
                },
                mControl);
    }

    private boolean isWaiting(ServiceRollout service) {
        return mTicker.nanos() - service.mStatusRetryAt < 0;
    }

    private void readStatus(ServiceRollout service) {
        service.mStatusCall = true;
        readRow(
                mFormat.statusTable(),
                mFormat.statusKey(service.mService),
                (readable, row) -> {
                    service.mStatusCall = false;
                    if (!readable) {
                        mStoreReachable = false;
                        service.mStatusRetryAt = mTicker.nanos() + RETRY_NANOS;
                        return;
                    }
                    mStoreReachable = true;
                    service.mReadsStatus = false;
                    if (row == null) {
                        service.mStatus = null;
                        service.mStatusExists = false;
                    } else {
                        changeStatus(service, row);
                    }
                });
    }

    /** Returns the time for which this instance waits for those before it. */
    private long takeoverNanos(String service) {
        int rank = rank(service);
        return (rank < 0 ? MAX_TAKEOVERS + 1 : rank) * TAKEOVER_NANOS;
    }

    /** Returns the position of this instance in the rendezvous order, or -1 if it is far behind. */
    int rank(String service) {
        Set<String> instances = new HashSet<>();
        instances.add(mInstance);
        for (String peer : mPeers.peers()) {
            int end = peer.lastIndexOf('@');
            instances.add(end < 0 ? peer : peer.substring(0, end));
        }
        return new Rendezvous<>(instances, id -> id, id -> ANYWHERE)
                .top(service, MAX_TAKEOVERS + 1)
                .indexOf(mInstance);
    }

    /** Keeps the evidence in the store, for a restart of all instances. */
    private void keep(ServiceRollout service, RolloutPlan plan, long now) {
        int rank = rank(service.mService);
        if (plan.phase().isFinal() || service.mKeptCall || rank > 1 || rank < 0) {
            return;
        }
        long interval = rank == 0 ? KEEP_NANOS : SECOND_KEEP_NANOS;
        boolean first = rank == 0 && !service.mKeptWritten;
        if (!first && now - service.mKeptAt < interval) {
            return;
        }
        service.mKeptAt = now;
        service.mKeptWritten = true;
        long age = (now - plan.order().startedNanos()) / NANOS_PER_MILLI;
        byte[] row =
                KeptRollout.newBuilder()
                        .setStartedAtMs(Math.max(0, mUnixMillis.getAsLong() - age))
                        .setInForce(service.inForce())
                        .setEvidence(RolloutCodec.encode(plan.evidenceToKeep()))
                        .build()
                        .toByteArray();
        CompletionStage<WriteResult> write =
                mStore.writeIf(TABLE, service.mService, row, service.mKeptVersion, STORE_TIMEOUT);
        service.mKeptCall = true;
        write.whenCompleteAsync(
                (result, failure) -> {
                    service.mKeptCall = false;
                    if (failure == null && result instanceof WriteResult.Written written) {
                        service.mKeptVersion = written.version();
                    } else if (failure == null && result instanceof WriteResult.Conflict conflict) {
                        Row current = conflict.current();
                        service.mKeptVersion =
                                current == null || current.removed() ? 0 : current.version();
                    }
                },
                mControl);
    }

    /** Reads one row; it is null when there is none. The first result tells whether it was read. */
    private void readRow(String table, String key, BiConsumer<Boolean, @Nullable Row> consumer) {
        mStore.read(table, key, STORE_TIMEOUT)
                .whenCompleteAsync(
                        (result, failure) -> {
                            Row found = null;
                            boolean readable = failure == null && result instanceof Result.Rows;
                            if (readable) {
                                for (Row row : ((Result.Rows) result).rows()) {
                                    found = row.key().equals(key) && !row.removed() ? row : found;
                                }
                            }
                            Row row = found;
                            mGuard.run("rollouts", () -> consumer.accept(readable, row));
                        },
                        mControl);
    }

    private ServiceRollout service(String name) {
        ServiceRollout service = mServices.get(name);
        if (service == null) {
            service = new ServiceRollout(name);
            mServices.put(name, service);
            updateUpstreams(service);
        }
        return service;
    }

    // Metrics.

    /**
     * Returns the metrics of the rollouts. Thread-safe.
     *
     * @return lines in the Prometheus text format
     */
    String metrics() {
        return mMetrics;
    }

    private String describe() {
        StringBuilder text = new StringBuilder();
        for (ServiceRollout service : mServices.values()) {
            RolloutPlan plan = service.mPlan;
            if (plan == null) {
                continue;
            }
            String labels =
                    String.format(
                            Locale.ROOT,
                            "service=\"%s\",version=\"%s\"",
                            service.mService,
                            plan.order().version());
            RolloutReport evidence = plan.evidenceToKeep();
            append(text, "phase", labels, plan.phase().ordinal());
            append(text, "requests", labels, evidence.requests());
            append(text, "old_attempts", labels, evidence.oldAttempts());
            for (VersionCounters counters : evidence.counters()) {
                String route =
                        String.format(
                                Locale.ROOT,
                                "%s,route=\"%s\",new=\"%s\"",
                                labels,
                                counters.route(),
                                counters.newVersion());
                append(text, "started", route, counters.started());
                append(text, "answered", route, counters.answered());
                append(text, "failed", route, counters.failed());
            }
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String name, String labels, long value) {
        text.append("gentianwalk_rollout_").append(name);
        text.append('{').append(labels).append("} ").append(value).append('\n');
    }
}
