package org.gentianwalk.server.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.OwnerSession;
import org.gentianwalk.core.replica.ReplicaEndpoint;
import org.gentianwalk.core.replica.ReplicaOptions;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.ReplicaBatch;
import org.gentianwalk.proto.ReplicaBatchAck;
import org.gentianwalk.proto.ReplicaClaim;
import org.gentianwalk.proto.ReplicaFetch;
import org.gentianwalk.server.guard.FailureGuard;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Replicates running generations to other instances over the mesh, and holds replicas of theirs.
 *
 * <p>All state is confined to one event eventLoop, a single-threaded executor that the constructor
 * receives; calls on other threads are passed to it. Listeners are called on the eventLoop and must
 * not block.
 *
 * <p>Options: {@link ReplicaOptions}. Example: {@code new MeshReplicaService(mesh, driver::view,
 * mesh.eventLoop(), Ticker.system(), ReplicaOptions.DEFAULT).start()}.
 */
public final class MeshReplicaService implements ReplicaService, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(MeshReplicaService.class);
    private static final long TICK_MILLIS = 20;
    private static final long EXPIRY_PERIOD_NANOS = 1_000_000_000L;

    /**
     * Maximum size of a request, which must fit into one frame of the mesh together with its
     * envelope.
     */
    private static final int MAX_REQUEST_BYTES = (4 << 20) - (256 << 10);

    private final FailureGuard mGuard = FailureGuard.logging();
    private final MeshNode mMesh;
    private final Supplier<MemberView> mView;
    private final ScheduledExecutorService mLoop;
    private final Ticker mTicker;
    private final ReplicaOptions mOptions;
    private final ReplicaEndpoint mEndpoint;
    private final Map<OwnerSession, MeshSession> mSessions = new HashMap<>();
    private final Map<String, HolderLink> mLinks = new HashMap<>();
    private final Set<TakeoverRun> mTakeovers = new HashSet<>();
    private final Map<RequestKey, List<Member>> mClaimedHolders = new HashMap<>();
    private final Queue<Runnable> mTasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mRunScheduled = new AtomicBoolean();
    private long mSeenViewNumber = -1;
    private long mLastExpiryNanos;
    private @Nullable ScheduledFuture<?> mTimer;

    /**
     * Creates a service that does not run yet.
     *
     * @param mesh the transport
     * @param view returns the latest snapshot of the membership
     * @param loop single-threaded executor that owns the state
     * @param ticker time source
     * @param options timeouts and limits
     */
    public MeshReplicaService(
            MeshNode mesh,
            Supplier<MemberView> view,
            ScheduledExecutorService loop,
            Ticker ticker,
            ReplicaOptions options) {
        mMesh = mesh;
        mView = view;
        mLoop = loop;
        mTicker = ticker;
        mOptions = options;
        mEndpoint = new ReplicaEndpoint(options);
    }

    /** Starts to hold records of other instances and to answer takeovers. */
    public void start() {
        mMesh.registerHandler(
                MessageType.REPLICA_BATCH,
                ReplicaBatch.parser(),
                (sender, batch, reply) ->
                        runOnLoop(
                                () ->
                                        reply.send(
                                                MessageType.REPLICA_BATCH_ACK,
                                                mEndpoint.apply(
                                                        now(),
                                                        sender.id(),
                                                        sender.incarnation(),
                                                        batch))));
        mMesh.registerHandler(
                MessageType.REPLICA_FETCH,
                ReplicaFetch.parser(),
                (sender, fetch, reply) ->
                        runOnLoop(
                                () ->
                                        reply.send(
                                                MessageType.REPLICA_FETCH_REPLY,
                                                mEndpoint.fetch(fetch.getKey()))));
        mMesh.registerHandler(
                MessageType.REPLICA_CLAIM,
                ReplicaClaim.parser(),
                (sender, claim, reply) ->
                        runOnLoop(
                                () -> {
                                    var answer = mEndpoint.claim(now(), claim);
                                    notifyFenced();
                                    reply.send(MessageType.REPLICA_CLAIM_REPLY, answer);
                                }));
        mTimer =
                mLoop.scheduleWithFixedDelay(
                        mGuard.guarded("replication", this::tick),
                        TICK_MILLIS,
                        TICK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalArgumentException if the request is too large to be replicated
     */
    @Override
    public Session open(GenerationState initial, Listener listener) {
        if (initial.request().length > MAX_REQUEST_BYTES) {
            throw new IllegalArgumentException(
                    "a request of "
                            + initial.request().length
                            + " bytes can't be replicated; set the"
                            + " body limit to at most "
                            + MAX_REQUEST_BYTES
                            + " bytes");
        }
        Member self = mView.get().self();
        OwnerSession owner =
                new OwnerSession(now(), initial, self.id(), self.incarnation(), mOptions);
        MeshSession session = new MeshSession(this, owner, listener);
        runOnLoop(
                () -> {
                    List<Member> holders = mClaimedHolders.remove(initial.key());
                    if (holders != null) {
                        owner.addStaleCopies(holders);
                    }
                    mEndpoint.add(owner);
                    mSessions.put(owner, session);
                    notifyFenced();
                    progress(session);
                });
        return session;
    }

    @Override
    public Takeover takeOver(RequestKey key) {
        return takeOver(key, 0, 0);
    }

    @Override
    public Takeover takeOver(RequestKey key, int attempt, int position) {
        TakeoverRun takeover = new TakeoverRun(this, key, mView.get().self(), mOptions);
        takeover.require(attempt, position);
        runOnLoop(
                () -> {
                    mTakeovers.add(takeover);
                    takeover.start(now(), mView.get());
                });
        return takeover.await();
    }

    /**
     * Returns the number of records that this instance holds; a leaving instance may stop early
     * when it is 0.
     *
     * @return records and claims, counted on the loop
     * @throws java.util.concurrent.CompletionException if the loop has stopped
     */
    public int heldRecords() {
        return CompletableFuture.supplyAsync(() -> mEndpoint.store().size(), this::runOnLoop)
                .join();
    }

    @Override
    public void close() {
        ScheduledFuture<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    long now() {
        return mTicker.nanos();
    }

    MeshNode mesh() {
        return mMesh;
    }

    ReplicaEndpoint endpoint() {
        return mEndpoint;
    }

    MemberView view() {
        return mView.get();
    }

    /**
     * Runs a task on the loop. Tasks share a wake-up, since one wake-up per token costs more than
     * the task.
     */
    void runOnLoop(Runnable task) {
        mTasks.add(task);
        if (mRunScheduled.compareAndSet(false, true)) {
            try {
                mLoop.execute(this::runTasks);
            } catch (RejectedExecutionException e) {
                LOG.debug("the instance is stopping", e);
            }
        }
    }

    private void runTasks() {
        mRunScheduled.set(false);
        for (Runnable task = mTasks.poll(); task != null; task = mTasks.poll()) {
            runGuarded(task);
        }
    }

    void runLater(Runnable task, Duration delay) {
        try {
            mLoop.schedule(() -> runGuarded(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("the instance is stopping", e);
        }
    }

    /** Notifies the listeners of generations that were claimed; called on the loop. */
    void notifyFenced() {
        for (MeshSession session : List.copyOf(mSessions.values())) {
            if (session.owner().fencingAttempt() > 0) {
                progress(session);
            }
        }
    }

    void takeoverEnded(TakeoverRun takeover, RequestKey key, List<Member> holders) {
        mTakeovers.remove(takeover);
        if (!holders.isEmpty()) {
            mClaimedHolders.put(key, holders);
        }
    }

    /** Sends the pending item of a session and notifies its listener; called on the loop. */
    void progress(MeshSession session) {
        OwnerSession owner = session.owner();
        OwnerSession.Item item = owner.nextItem(now(), mView.get());
        if (item != null) {
            session.enqueue(link(item.holder()), item);
        }
        for (OwnerSession.StaleCopy stale : owner.takeStaleCopies()) {
            link(stale.holder()).add(stale.drop());
            flush(link(stale.holder()));
        }
        if (session.notifyListener()) {
            mSessions.remove(owner);
            mEndpoint.remove(owner);
        }
        if (item != null) {
            flush(link(item.holder()));
        }
    }

    private HolderLink link(Member holder) {
        return mLinks.computeIfAbsent(holder.id(), id -> new HolderLink(holder));
    }

    private void flush(HolderLink link) {
        if (!link.isReady()) {
            return;
        }
        HolderLink.Frame frame = link.takeFrame();
        mMesh.request(
                        MeshPeer.of(link.holder()),
                        MessageType.REPLICA_BATCH,
                        frame.batch(),
                        ReplicaBatchAck.parser(),
                        mOptions.ackTimeout())
                .whenComplete((ack, failure) -> runOnLoop(() -> handleAck(link, frame, ack)));
    }

    private void handleAck(HolderLink link, HolderLink.Frame frame, @Nullable ReplicaBatchAck ack) {
        link.frameDone();
        var entries = ack == null ? null : HolderLink.Frame.byKey(ack);
        List<MeshSession> sessions = new ArrayList<>(frame.items().size());
        frame.items()
                .forEach(
                        (session, item) -> {
                            OwnerSession owner = session.owner();
                            if (entries == null) {
                                owner.onFailure(item);
                            } else {
                                owner.onAck(
                                        now(), item, entries.getOrDefault(owner.key(), List.of()));
                            }
                            sessions.add(session);
                        });
        sendNextItems(sessions);
        flush(link);
    }

    /** Collects the next items of many sessions before any frame is sent. */
    private void sendNextItems(List<MeshSession> sessions) {
        Set<HolderLink> links = new HashSet<>();
        for (MeshSession session : sessions) {
            OwnerSession.Item item = session.owner().nextItem(now(), mView.get());
            if (item != null) {
                HolderLink link = link(item.holder());
                session.enqueue(link, item);
                links.add(link);
            }
        }
        links.forEach(this::flush);
        sessions.forEach(this::progress);
    }

    private void tick() {
        MemberView view = mView.get();
        long now = now();
        if (view.number() != mSeenViewNumber) {
            mSeenViewNumber = view.number();
            mSessions.keySet().forEach(owner -> owner.onMembershipChange(view));
            mLinks.values()
                    .removeIf(link -> view.find(link.holder().id()).isEmpty() && link.isIdle());
        }
        List<MeshSession> waiting = new ArrayList<>();
        mSessions.forEach(
                (owner, session) -> {
                    if (owner.isSendDue(now)) {
                        waiting.add(session);
                    }
                });
        sendNextItems(waiting);
        for (TakeoverRun takeover : List.copyOf(mTakeovers)) {
            takeover.tick(now);
        }
        if (now - mLastExpiryNanos > EXPIRY_PERIOD_NANOS) {
            mLastExpiryNanos = now;
            mEndpoint.store().expire(now);
            mClaimedHolders.clear();
        }
    }

    private void runGuarded(Runnable task) {
        mGuard.run("replication", task);
    }
}
