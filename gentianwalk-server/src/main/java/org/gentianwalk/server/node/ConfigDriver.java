package org.gentianwalk.server.node;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianwalk.core.config.version.PollSchedule;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.server.config.ConfigListener;
import org.gentianwalk.server.config.ConfigService;
import org.gentianwalk.server.control.MeshConfigPeers;
import org.gentianwalk.server.guard.FailureGuard;
import org.gentianwalk.server.mesh.MembershipDriver;
import org.gentianwalk.server.mesh.MeshNode;

/** Keeps an instance's configuration up to date from the store and from other instances. */
final class ConfigDriver implements AutoCloseable {
    /** A quarter of a poll slot, so that a poller notices its slot in time. */
    private static final Duration TICK = Duration.ofMillis(250);

    private final ConfigService mConfig;
    private final MembershipDriver mMembers;
    private final ScheduledExecutorService mControl;
    private final ExecutorService mExecutor = Executors.newVirtualThreadPerTaskExecutor();
    private final FailureGuard mGuard = FailureGuard.logging();
    private final AtomicBoolean mPolling = new AtomicBoolean();
    private long mLastPolledSlot = -1;

    ConfigDriver(
            PlatformClients platform,
            MeshNode mesh,
            MembershipDriver members,
            ScheduledExecutorService control,
            ConfigListener listener) {
        mMembers = members;
        mControl = control;
        MeshConfigPeers peers = new MeshConfigPeers(mesh, members::view);
        SecureRandom random = new SecureRandom();
        mConfig =
                new ConfigService(
                        platform.table(),
                        platform.objects(),
                        peers,
                        listener,
                        new ConfigService.Timing(
                                System::currentTimeMillis, random::nextLong, ConfigDriver::sleep),
                        mExecutor);
        peers.serve(mConfig);
    }

    ConfigService config() {
        return mConfig;
    }

    void start() {
        mMembers.addListener(this::checkPeerVersions);
        mControl.scheduleAtFixedRate(
                mGuard.guarded("configuration", this::tick),
                0,
                TICK.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private void tick() {
        mMembers.announceConfigVersion(mConfig.version());
        long now = System.currentTimeMillis();
        long slot = Math.floorDiv(now, PollSchedule.SLOT_MS);
        MemberView view = mMembers.view();
        // An instance without a configuration polls in every slot until the store or a peer
        // answers.
        boolean due =
                mConfig.version() == 0
                        || PollSchedule.isPoller(
                                view.rendezvous(), Member::id, view.self().id(), now);
        if (slot == mLastPolledSlot || !due || !mPolling.compareAndSet(false, true)) {
            return;
        }
        mLastPolledSlot = slot;
        try {
            mExecutor.execute(this::poll);
        } catch (RejectedExecutionException ignored) {
            // The instance is stopping.
            mPolling.set(false);
        }
    }

    private void poll() {
        try {
            mGuard.run("poll of the configuration", mConfig::poll);
        } finally {
            mPolling.set(false);
        }
    }

    private void checkPeerVersions(MemberView view) {
        for (Member member : view.members()) {
            if (member.configVersion() > mConfig.version()) {
                mConfig.onPeerVersion(member.id(), member.configVersion());
                return;
            }
        }
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
