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
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Keeps copies of running generations at other instances over the mesh, and holds theirs.
 *
 * <p>All state belongs to one loop, a single-threaded executor that is given to the service; calls
 * from traffic threads are handed to it. Listeners are called on the loop and must not block.
 *
 * <p>Options: {@link ReplicaOptions}. Example: {@code new MeshReplicaService(mesh, driver::view,
 * mesh.eventLoop(), Ticker.system(), ReplicaOptions.DEFAULT).start()}.
 */
public final class MeshReplicaService implements ReplicaService, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(MeshReplicaService.class);
    private static final long TICK_MILLIS = 20;
    private static final long EXPIRE_NANOS = 1_000_000_000L;

    /** A request near the frame limit of the mesh can't be copied in one frame. */
    private static final int MAX_REQUEST_BYTES = (4 << 20) - (256 << 10);

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
    private final AtomicBoolean mDraining = new AtomicBoolean();
    private long mSeenView = -1;
    private long mExpiredAt;
    private @Nullable ScheduledFuture<?> mTimer;

    /**
     * Creates a service that does not run yet.
     *
     * @param mesh the transport
     * @param view gives the latest snapshot of the membership
     * @param loop single-threaded executor that owns the state
     * @param ticker time source
     * @param options times and bounds
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

    /** Starts to hold records of others and to answer takeovers. */
    public void start() {
        mMesh.registerHandler(
                MessageType.REPLICA_BATCH,
                ReplicaBatch.parser(),
                (sender, batch, reply) ->
                        run(
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
                        run(
                                () ->
                                        reply.send(
                                                MessageType.REPLICA_FETCH_REPLY,
                                                mEndpoint.fetch(fetch.getKey()))));
        mMesh.registerHandler(
                MessageType.REPLICA_CLAIM,
                ReplicaClaim.parser(),
                (sender, claim, reply) ->
                        run(
                                () -> {
                                    var answer = mEndpoint.claim(now(), claim);
                                    tellFenced();
                                    reply.send(MessageType.REPLICA_CLAIM_REPLY, answer);
                                }));
        mTimer =
                mLoop.scheduleWithFixedDelay(
                        () -> guarded(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalArgumentException if the request is too large to be copied
     */
    @Override
    public Session open(GenerationState initial, Listener listener) {
        if (initial.request().length > MAX_REQUEST_BYTES) {
            throw new IllegalArgumentException(
                    "a request of "
                            + initial.request().length
                            + " bytes can't be copied; set the"
                            + " body limit to at most "
                            + MAX_REQUEST_BYTES
                            + " bytes");
        }
        Member self = mView.get().self();
        OwnerSession owner =
                new OwnerSession(now(), initial, self.id(), self.incarnation(), mOptions);
        MeshSession session = new MeshSession(this, owner, listener);
        run(
                () -> {
                    List<Member> holders = mClaimedHolders.remove(initial.key());
                    if (holders != null) {
                        owner.addStale(holders);
                    }
                    mEndpoint.add(owner);
                    mSessions.put(owner, session);
                    tellFenced();
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
        run(
                () -> {
                    mTakeovers.add(takeover);
                    takeover.start(now(), mView.get());
                });
        return takeover.await();
    }

    /**
     * Returns how many records this instance holds; a leaving instance may stop early at 0.
     *
     * @return records and claims, counted on the loop
     * @throws java.util.concurrent.CompletionException if the loop has stopped
     */
    public int held() {
        return CompletableFuture.supplyAsync(() -> mEndpoint.store().size(), this::run).join();
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

    /** Tasks share a wake-up of the loop, since one for each token costs more than the task. */
    void run(Runnable task) {
        mTasks.add(task);
        if (mDraining.compareAndSet(false, true)) {
            try {
                mLoop.execute(this::drain);
            } catch (RejectedExecutionException e) {
                LOG.debug("the instance is stopping", e);
            }
        }
    }

    private void drain() {
        mDraining.set(false);
        for (Runnable task = mTasks.poll(); task != null; task = mTasks.poll()) {
            guarded(task);
        }
    }

    void runLater(Runnable task, Duration delay) {
        try {
            mLoop.schedule(() -> guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("the instance is stopping", e);
        }
    }

    /** Tells listeners whose generation was claimed; on the loop. */
    void tellFenced() {
        for (MeshSession session : List.copyOf(mSessions.values())) {
            if (session.session().fencedBy() > 0) {
                progress(session);
            }
        }
    }

    void ended(TakeoverRun takeover, RequestKey key, List<Member> holders) {
        mTakeovers.remove(takeover);
        if (!holders.isEmpty()) {
            mClaimedHolders.put(key, holders);
        }
    }

    /** Sends what a session has to send and tells its listener what is new; on the loop. */
    void progress(MeshSession session) {
        OwnerSession owner = session.session();
        OwnerSession.Item item = owner.next(now(), mView.get());
        if (item != null) {
            session.sendOver(link(item.holder()), item);
        }
        for (OwnerSession.Stale stale : owner.takeStale()) {
            link(stale.holder()).add(stale.drop());
            flush(link(stale.holder()));
        }
        if (session.tell()) {
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
        HolderLink.Frame frame = link.take();
        mMesh.request(
                        MeshPeer.of(link.holder()),
                        MessageType.REPLICA_BATCH,
                        frame.batch(),
                        ReplicaBatchAck.parser(),
                        mOptions.ackTimeout())
                .whenComplete((ack, failure) -> run(() -> answered(link, frame, ack)));
    }

    private void answered(HolderLink link, HolderLink.Frame frame, @Nullable ReplicaBatchAck ack) {
        link.done();
        var entries = ack == null ? null : HolderLink.Frame.byKey(ack);
        List<MeshSession> sessions = new ArrayList<>(frame.items().size());
        frame.items()
                .forEach(
                        (session, item) -> {
                            OwnerSession owner = session.session();
                            if (entries == null) {
                                owner.failed(item);
                            } else {
                                owner.acked(
                                        now(), item, entries.getOrDefault(owner.key(), List.of()));
                            }
                            sessions.add(session);
                        });
        collect(sessions);
        flush(link);
    }

    /** Collects the next items of many sessions before any frame is sent. */
    private void collect(List<MeshSession> sessions) {
        Set<HolderLink> links = new HashSet<>();
        for (MeshSession session : sessions) {
            OwnerSession.Item item = session.session().next(now(), mView.get());
            if (item != null) {
                HolderLink link = link(item.holder());
                session.sendOver(link, item);
                links.add(link);
            }
        }
        links.forEach(this::flush);
        sessions.forEach(this::progress);
    }

    private void tick() {
        MemberView view = mView.get();
        long now = now();
        if (view.number() != mSeenView) {
            mSeenView = view.number();
            mSessions.keySet().forEach(owner -> owner.changed(view));
            mLinks.values()
                    .removeIf(link -> view.find(link.holder().id()).isEmpty() && link.isIdle());
        }
        List<MeshSession> waiting = new ArrayList<>();
        mSessions.forEach(
                (owner, session) -> {
                    if (owner.isWaiting(now)) {
                        waiting.add(session);
                    }
                });
        collect(waiting);
        for (TakeoverRun takeover : List.copyOf(mTakeovers)) {
            takeover.tick(now);
        }
        if (now - mExpiredAt > EXPIRE_NANOS) {
            mExpiredAt = now;
            mEndpoint.store().expire(now);
            mClaimedHolders.clear();
        }
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a step of the replication failed", e);
        }
    }
}
