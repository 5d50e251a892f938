package org.gentianwalk.gateway.fleet;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.membership.Membership;
import org.gentianwalk.core.membership.MembershipOptions;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.GatewaySettings;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.gateway.store.TableFeed;
import org.gentianwalk.gateway.store.TableWatcher;
import org.gentianwalk.proto.MemberState;
import org.gentianwalk.proto.MemberUpdate;
import org.gentianwalk.server.guard.FailureGuard;
import org.gentianwalk.server.mesh.MembershipDriver;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshOptions;
import org.gentianwalk.server.mesh.MeshPeer;
import org.gentianwalk.server.mesh.MeshSender;
import org.jspecify.annotations.Nullable;

/**
 * Connects this instance with the other instances. Instances discover each other through a table of
 * the shared store, and afterwards through the membership protocol.
 */
public final class FleetLink implements AutoCloseable {
    /** Table in which each instance registers its address. */
    private static final String TABLE = "gentianwalk-instances";

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
    private static final Duration RETRY = Duration.ofMillis(500);

    /** Longest random delay of a further registration, so that instances do not write together. */
    private static final Duration MAX_DELAY = Duration.ofSeconds(1);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final GatewayLog mLog;
    private final FailureGuard mGuard;
    private final Member mSelf;
    private final MeshNode mMesh;
    private final MembershipDriver mDriver;
    private final LoadExchange mLoads;
    private final TableExchange mTables;
    private volatile int mInstances = 1;
    private volatile boolean mLeaving;

    /**
     * Creates a link that is not connected.
     *
     * @param settings settings of the instance; the address of the mesh must be set
     * @param listener supplies the load of this instance and receives that of the others
     * @param store the shared store
     * @param control the control thread
     * @param ticker clock
     * @param log logs unreadable rows
     * @param guard runs the parts that may fail by themselves
     */
    public FleetLink(
            GatewaySettings settings,
            LoadListener listener,
            RowStore store,
            ScheduledExecutorService control,
            Ticker ticker,
            GatewayLog log,
            FailureGuard guard) {
        mStore = store;
        mControl = control;
        mLog = log;
        mGuard = guard;
        InetSocketAddress address = settings.mesh().address();
        long incarnation = System.currentTimeMillis();
        mSelf =
                new Member(
                        settings.name(),
                        address.getHostString() + ":" + address.getPort(),
                        settings.locations().own(),
                        incarnation,
                        0,
                        Member.Health.ALIVE,
                        false,
                        0);
        mMesh =
                new MeshNode(
                        new MeshSender(settings.name(), incarnation),
                        settings.mesh().keys(),
                        MeshOptions.DEFAULT,
                        new MetricRegistry());
        Membership membership = new Membership(mSelf, MembershipOptions.DEFAULT, incarnation);
        mDriver = new MembershipDriver(membership, mMesh, control, ticker, guard);
        mLoads = new LoadExchange(mMesh, mSelf, listener, ticker);
        mTables = new TableExchange(mMesh, mSelf, control, new Random(incarnation));
    }

    /**
     * Starts to listen, registers this instance in the store and reads the rows of the others.
     *
     * @param address address to listen on
     * @throws IOException if the address can't be bound
     */
    public void start(InetSocketAddress address) throws IOException {
        try {
            mMesh.listen(address);
        } catch (MeshException e) {
            throw new IOException(e.getMessage(), e);
        }
        mDriver.addListener(this::updateMembers);
        mDriver.start();
        mControl.execute(() -> retryAfterFailure(this::announce));
    }

    /** Sends due messages. Must be called on the control thread, at least every 50 ms. */
    public void advance() {
        mLoads.advance();
    }

    /** Processes the load notices that have arrived. Must be called before decisions are made. */
    public void processNotices() {
        mLoads.processNotices();
    }

    /**
     * Returns the feed that passes changes read from the store on to other instances.
     *
     * @return the feed
     */
    public TableFeed tableFeed() {
        return mTables;
    }

    /**
     * Sets the watchers that receive changes read by other instances.
     *
     * @param watchers the watchers, one for each table
     */
    public void setWatchers(List<TableWatcher> watchers) {
        mTables.setWatchers(watchers);
    }

    /**
     * Returns the number of live instances.
     *
     * @return the number, this instance included
     */
    public int instances() {
        return mInstances;
    }

    /**
     * Registers this instance again after a random delay, since the store came back from a copy
     * that may lack its row, or has it although the instance is leaving.
     */
    public void registerAgain() {
        long delay = ThreadLocalRandom.current().nextLong(MAX_DELAY.toNanos());
        mControl.schedule(
                () -> {
                    if (mLeaving) {
                        mStore.write(TABLE, mSelf.id(), null, STORE_TIMEOUT);
                    } else {
                        retryAfterFailure(this::announce);
                    }
                },
                delay,
                TimeUnit.NANOSECONDS);
    }

    /** Announces to the others that this instance is about to stop, and removes its row. */
    public void leave() {
        mLeaving = true;
        mGuard.run("membership", mDriver::leave);
        mStore.write(TABLE, mSelf.id(), null, STORE_TIMEOUT);
    }

    @Override
    public void close() {
        mDriver.close();
        mMesh.close();
    }

    private void updateMembers(MemberView view) {
        mInstances = view.members().size();
        mGuard.run("load exchange", () -> mLoads.updateMembers(view));
        mGuard.run("table exchange", () -> mTables.updateMembers(view));
    }

    private void announce() {
        byte[] row =
                MemberUpdate.newBuilder()
                        .setInstance(mSelf.id())
                        .setAddress(mSelf.address())
                        .setAvailabilityZone(mSelf.location().availabilityZone())
                        .setRegion(mSelf.location().region())
                        .setIncarnation(mSelf.incarnation())
                        .setState(MemberState.ALIVE)
                        .build()
                        .toByteArray();
        mStore.write(TABLE, mSelf.id(), row, STORE_TIMEOUT)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (failure == null && result instanceof Result.Rows) {
                                retryAfterFailure(this::readInstances);
                            } else {
                                scheduleRetry(this::announce);
                            }
                        },
                        mControl);
    }

    private void readInstances() {
        mStore.read(TABLE, "", STORE_TIMEOUT)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (failure == null && result instanceof Result.Rows rows) {
                                mGuard.run("list of instances", () -> applyList(rows.rows()));
                            } else {
                                scheduleRetry(this::readInstances);
                            }
                        },
                        mControl);
    }

    private void applyList(List<Row> rows) {
        List<InstanceList.Entry> entries = parseEntries(rows);
        mTables.setListed(
                entries.stream().map(entry -> new MeshPeer(entry.id(), entry.address())).toList());
        mDriver.applyInstanceList(entries);
    }

    private void scheduleRetry(Runnable task) {
        mControl.schedule(() -> retryAfterFailure(task), RETRY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void retryAfterFailure(Runnable task) {
        if (!mGuard.run("registration of the instance", task)) {
            scheduleRetry(task);
        }
    }

    private List<InstanceList.Entry> parseEntries(List<Row> rows) {
        List<InstanceList.Entry> entries = new ArrayList<>();
        for (Row row : rows) {
            MemberUpdate update = parseEntry(row);
            if (update == null || update.getInstance().equals(mSelf.id())) {
                continue;
            }
            entries.add(
                    new InstanceList.Entry(
                            update.getInstance(),
                            InstanceList.Kind.INSTANCE,
                            update.getAddress(),
                            new Location(update.getRegion(), update.getAvailabilityZone()),
                            InstanceList.State.LIVE));
        }
        return entries;
    }

    private @Nullable MemberUpdate parseEntry(Row row) {
        try {
            MemberUpdate update = MemberUpdate.parseFrom(row.value());
            if (update.getAddress().isEmpty() || update.getRegion().isEmpty()) {
                mLog.rowIgnored(row.key(), "the row of the instance is not complete");
                return null;
            }
            return update;
        } catch (InvalidProtocolBufferException e) {
            mLog.rowIgnored(row.key(), String.valueOf(e.getMessage()));
            return null;
        }
    }
}
