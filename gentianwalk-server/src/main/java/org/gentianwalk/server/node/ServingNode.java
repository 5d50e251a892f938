package org.gentianwalk.server.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import org.gentianwalk.core.config.InstanceFile;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.Membership;
import org.gentianwalk.core.membership.MembershipOptions;
import org.gentianwalk.core.policy.FairScheduler;
import org.gentianwalk.core.policy.ShareRules;
import org.gentianwalk.core.replica.ReplicaOptions;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.Instance;
import org.gentianwalk.server.InstanceParts;
import org.gentianwalk.server.InstanceSettings;
import org.gentianwalk.server.admin.AdminInterface;
import org.gentianwalk.server.admin.AdminToken;
import org.gentianwalk.server.admin.InstanceControl;
import org.gentianwalk.server.config.ConfigService;
import org.gentianwalk.server.control.MeshCallPeers;
import org.gentianwalk.server.control.PolicyMeshDriver;
import org.gentianwalk.server.control.PolicySettings;
import org.gentianwalk.server.journal.JournalCallService;
import org.gentianwalk.server.log.DecisionLog;
import org.gentianwalk.server.mesh.MembershipDriver;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.mesh.MeshKey;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshOptions;
import org.gentianwalk.server.mesh.MeshSender;
import org.gentianwalk.server.metrics.Metrics;
import org.gentianwalk.server.pipeline.ControlThread;
import org.gentianwalk.server.replica.MeshReplicaService;
import org.jboss.logging.Logger;

/**
 * A complete instance: serving path, mesh, membership, replication of generations, configuration,
 * journal of calls that must not be repeated, and admin interface.
 *
 * <p>Options: {@link InstanceFile}. Example: {@code ServingNode.start(file,
 * IntUnaryOperator.identity())}.
 */
public final class ServingNode implements AutoCloseable, InstanceControl {
    private static final Logger LOG = Logger.getLogger(ServingNode.class);

    /** Time in which peers learn that the instance is leaving and move their replicas elsewhere. */
    private static final Duration LEAVE_NOTICE = Duration.ofMillis(1500);

    /** Period at which the readiness follows the state of the upstreams. */
    private static final Duration READINESS_PERIOD = Duration.ofMillis(50);

    private final InstanceFile mFile;
    private final Metrics mMetrics = new Metrics();
    private final ControlThread mControl;
    private final ScheduledExecutorService mReplicaLoop;
    private final MeshNode mMesh;
    private final MembershipDriver mMembers;
    private final PlatformClients mPlatform;
    private final ConfigDriver mConfig;
    private final MeshReplicaService mReplicas;
    private final JournalCallService mCalls;
    private final PolicyMeshDriver mPolicy;
    private final FleetTasks mFleet;
    private final Instance mInstance;
    private final NodeStatus mStatus;
    private volatile boolean mStopping;

    private ServingNode(InstanceFile file, IntUnaryOperator advertisedPort)
            throws IOException, MeshException {
        mFile = file;
        Ticker ticker = Ticker.system();
        long incarnation = System.currentTimeMillis();
        mControl = new ControlThread("control-" + file.id());
        mReplicaLoop =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("replicas-" + file.id()).factory());
        mMesh =
                new MeshNode(
                        new MeshSender(file.id(), incarnation),
                        file.meshKeys().stream()
                                .map(key -> new MeshKey(key.id(), key.secret()))
                                .toList(),
                        MeshOptions.DEFAULT,
                        mMetrics.registry());
        int port = mMesh.listen(new InetSocketAddress(file.address(), file.meshPort()));
        Member self =
                new Member(
                        file.id(),
                        file.address() + ":" + advertisedPort.applyAsInt(port),
                        file.location(),
                        incarnation,
                        0,
                        Member.Health.ALIVE,
                        false,
                        0);
        mMembers =
                new MembershipDriver(
                        new Membership(self, MembershipOptions.DEFAULT, incarnation),
                        mMesh,
                        mControl.executor(),
                        ticker);
        mPlatform = new PlatformClients(file.platform(), mMetrics.registry());
        mConfig =
                new ConfigDriver(
                        mPlatform, mMesh, mMembers, mControl.executor(), new DecisionLog());
        ConfigService config = mConfig.config();
        mReplicas =
                new MeshReplicaService(
                        mMesh, mMembers::view, mReplicaLoop, ticker, ReplicaOptions.DEFAULT);
        MeshCallPeers callPeers = new MeshCallPeers(mMesh, mMembers::view);
        mCalls =
                new JournalCallService(
                        new JournalCallService.Platform(mPlatform.table(), mPlatform.objects()),
                        new JournalCallService.Self(file.id(), incarnation),
                        callPeers,
                        ticker,
                        InstantSource.system(),
                        mMetrics.registry());
        callPeers.serve(mCalls);
        FairScheduler scheduler =
                new FairScheduler(
                        PolicySettings.options(config.currentRules().policy()),
                        ShareRules.of(config::currentRules),
                        file.id(),
                        file.location(),
                        incarnation);
        mPolicy = new PolicyMeshDriver(scheduler, mMesh, mMembers, mControl.executor(), ticker);
        mFleet = new FleetTasks(mPlatform, mMesh, mMembers, config, mControl, ticker);
        mInstance =
                new Instance(
                        new InstanceSettings(
                                file.id(), file.address(), file.httpPort(), file.location()),
                        () -> new UsableRules(config.currentRules(), mFleet.upstreams()::isUsable),
                        InstanceParts.standalone()
                                .withSink(mFleet.work())
                                .withSchedulers((settings, rules) -> scheduler)
                                .withReplicas(mReplicas)
                                .withCalls(mCalls),
                        mControl);
        mFleet.upstreams().listener(mInstance.dispatcher()::leaving);
        mStatus =
                new NodeStatus(
                        file,
                        new NodeStatus.Sources(
                                mInstance, mMembers, config, mFleet, mReplicas, mPlatform));
        new AdminInterface(new AdminToken(file.adminTokenSha256()), this, config, mMetrics)
                .addTo(mInstance::register);
    }

    /**
     * Starts an instance. It is ready once it has a configuration.
     *
     * @param file its settings
     * @param advertisedPort returns the port at which other instances reach the mesh, given the
     *     port on which it listens; the two differ behind a port mapping
     * @return the running instance
     * @throws IOException if the address for callers is taken
     * @throws MeshException if the address for instances is taken
     */
    public static ServingNode start(InstanceFile file, IntUnaryOperator advertisedPort)
            throws IOException, MeshException {
        return start(file, advertisedPort, NodeTimes.DEFAULT);
    }

    /**
     * Starts an instance with given periods of its background tasks.
     *
     * @param file its settings
     * @param advertisedPort returns the port at which other instances reach the mesh, given the
     *     port on which it listens
     * @param times periods of its background tasks
     * @return the running instance
     * @throws IOException if the address for callers is taken
     * @throws MeshException if the address for instances is taken
     */
    public static ServingNode start(
            InstanceFile file, IntUnaryOperator advertisedPort, NodeTimes times)
            throws IOException, MeshException {
        ServingNode node = new ServingNode(file, advertisedPort);
        node.mReplicas.start();
        node.mMembers.start();
        node.mPolicy.start();
        node.mConfig.start();
        node.mFleet.start(times);
        node.mInstance.start();
        node.updateReadiness();
        node.mControl.schedulePeriodically(READINESS_PERIOD, node::tick);
        return node;
    }

    /**
     * Returns the address for callers.
     *
     * @return base address
     */
    public URI uri() {
        return mInstance.uri();
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    public InstanceFile settings() {
        return mFile;
    }

    /**
     * Returns the configuration of this instance.
     *
     * @return the configuration
     */
    public ConfigService config() {
        return mConfig.config();
    }

    /**
     * Returns the membership as this instance sees it.
     *
     * @return the driver of the membership
     */
    public MembershipDriver members() {
        return mMembers;
    }

    /**
     * Returns the metrics.
     *
     * @return the metrics of this instance
     */
    public Metrics metrics() {
        return mMetrics;
    }

    /**
     * Returns whether the instance accepts new work.
     *
     * @return true when a configuration is in force and the instance is not stopping
     */
    public boolean isReady() {
        return mInstance.isReady();
    }

    @Override
    public Map<String, Object> status() {
        return mStatus.describe();
    }

    @Override
    public Collection<String> upstreams() {
        return mFleet.upstreams().names();
    }

    @Override
    public void drain(String upstream) {
        mFleet.drains().set(upstream, true);
    }

    @Override
    public void undrain(String upstream) {
        mFleet.drains().set(upstream, false);
    }

    @Override
    public void shutdown() {
        Thread.ofPlatform().name("shutdown-" + mFile.id()).start(this::stopQuietly);
    }

    /**
     * Stops gracefully: announces the departure to the other instances, accepts no new work,
     * finishes all answers and calls, and closes.
     *
     * @throws InterruptedException if the calling thread was interrupted; nothing is closed then
     */
    public void stop() throws InterruptedException {
        mStopping = true;
        mMembers.leave();
        long startNanos = System.nanoTime();
        mInstance.drain();
        long remainingNanos = LEAVE_NOTICE.toNanos() - (System.nanoTime() - startNanos);
        if (remainingNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNanos);
        }
        close();
    }

    /** Stops at once and breaks every connection. */
    @Override
    public void close() {
        mStopping = true;
        mFleet.stopPolling();
        mInstance.close();
        mFleet.close();
        mMembers.close();
        mReplicas.close();
        mReplicaLoop.shutdownNow();
        mCalls.close();
        mConfig.close();
        mMesh.close();
        mPlatform.close();
    }

    private void stopQuietly() {
        try {
            stop();
        } catch (InterruptedException e) {
            LOG.warnf("shutdown of %s was interrupted", mFile.id());
        }
    }

    private void tick() {
        mFleet.upstreams().tick();
        updateReadiness();
    }

    private void updateReadiness() {
        boolean ready = !mStopping && mFleet.upstreams().isReady();
        if (ready != mInstance.isReady()) {
            mInstance.ready(ready);
        }
    }
}
