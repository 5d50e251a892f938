package org.gentianwalk.server.mesh;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.membership.Membership;
import org.gentianwalk.core.membership.Outgoing;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.IndirectProbe;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.Probe;
import org.gentianwalk.proto.ProbeAck;
import org.gentianwalk.server.guard.FailureGuard;
import org.jspecify.annotations.Nullable;

/**
 * Runs a {@link Membership} over the mesh on the given control executor.
 *
 * <p>Options: none. Example: {@code driver.start(); driver.view().rendezvous()}.
 */
public final class MembershipDriver implements AutoCloseable {
    /** Resolution of the probe timeouts, and the longest delay of a published snapshot. */
    private static final Duration TICK = Duration.ofMillis(100);

    private final FailureGuard mGuard;
    private final Membership mMembership;
    private final MeshNode mMesh;
    private final ScheduledExecutorService mControl;
    private final Ticker mTicker;
    private final List<Consumer<MemberView>> mListeners = new CopyOnWriteArrayList<>();
    private volatile MemberView mView;
    private @Nullable ScheduledFuture<?> mTimer;

    /**
     * Creates a driver; {@link #start} starts it.
     *
     * @param membership the membership; from now on only the control executor may use it
     * @param mesh the transport
     * @param control single-threaded executor
     * @param ticker time source
     */
    public MembershipDriver(
            Membership membership, MeshNode mesh, ScheduledExecutorService control, Ticker ticker) {
        this(membership, mesh, control, ticker, FailureGuard.logging());
    }

    /**
     * Creates a driver with a given guard; {@link #start} starts it.
     *
     * @param membership the membership; from now on only the control executor may use it
     * @param mesh the transport
     * @param control single-threaded executor
     * @param ticker time source
     * @param guard runs its tasks and the listeners by themselves
     */
    public MembershipDriver(
            Membership membership,
            MeshNode mesh,
            ScheduledExecutorService control,
            Ticker ticker,
            FailureGuard guard) {
        mGuard = guard;
        mMembership = membership;
        mMesh = mesh;
        mControl = control;
        mTicker = ticker;
        mView = membership.view();
    }

    /** Starts probing members and answering probes. */
    public void start() {
        mMesh.registerHandler(
                MessageType.PROBE,
                Probe.parser(),
                (sender, probe, reply) -> {
                    if (probe.getSelf().getInstance().equals(sender.id())) {
                        run(() -> send(mMembership.onProbe(mTicker.nanos(), probe)));
                    }
                });
        mMesh.registerHandler(
                MessageType.PROBE_ACK,
                ProbeAck.parser(),
                (sender, ack, reply) -> run(() -> send(mMembership.onAck(mTicker.nanos(), ack))));
        mMesh.registerHandler(
                MessageType.INDIRECT_PROBE,
                IndirectProbe.parser(),
                (sender, request, reply) ->
                        run(
                                () ->
                                        send(
                                                mMembership.onIndirectProbe(
                                                        mTicker.nanos(), sender.id(), request))));
        mTimer =
                mControl.scheduleAtFixedRate(
                        mGuard.guarded("membership", this::tick),
                        0,
                        TICK.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the latest snapshot.
     *
     * @return a snapshot at most 100 ms old; may be called from any thread
     */
    public MemberView view() {
        return mView;
    }

    /**
     * Adds a listener that gets each new snapshot on the control executor.
     *
     * @param listener the listener
     */
    public void addListener(Consumer<MemberView> listener) {
        mListeners.add(listener);
    }

    /**
     * Passes the platform's instance list to the membership.
     *
     * @param entries all entries
     */
    public void applyInstanceList(List<InstanceList.Entry> entries) {
        run(() -> mMembership.onInstanceList(mTicker.nanos(), entries));
    }

    /**
     * Announces a configuration version.
     *
     * @param version the version in force
     */
    public void announceConfigVersion(long version) {
        run(() -> mMembership.setConfigVersion(version));
    }

    /** Announces that this instance is about to stop. */
    public void leave() {
        run(mMembership::leave);
    }

    @Override
    public void close() {
        ScheduledFuture<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void tick() {
        mGuard.run("membership probes", () -> send(mMembership.tick(mTicker.nanos())));
        MemberView view = mMembership.view();
        if (view != mView) {
            mView = view;
            for (Consumer<MemberView> listener : mListeners) {
                mGuard.run("listener of the membership", () -> listener.accept(view));
            }
        }
    }

    private void run(Runnable task) {
        try {
            mControl.execute(mGuard.guarded("membership event", task));
        } catch (RejectedExecutionException ignored) {
            // The instance is stopping.
        }
    }

    private void send(List<Outgoing> messages) {
        for (Outgoing out : messages) {
            mMesh.send(new MeshPeer(out.target(), out.address()), out.type(), out.message());
        }
    }
}
