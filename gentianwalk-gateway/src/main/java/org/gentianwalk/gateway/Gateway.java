package org.gentianwalk.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.gentianwalk.core.route.CallerLimits;
import org.gentianwalk.core.route.RouteTable;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.control.ControlPlane;
import org.gentianwalk.gateway.control.DispatchSchedulers;
import org.gentianwalk.gateway.control.EngineQueryClient;
import org.gentianwalk.gateway.control.NettyTrafficLoop;
import org.gentianwalk.gateway.control.SchedulerFactory;
import org.gentianwalk.gateway.http.EdgeOptions;
import org.gentianwalk.gateway.http.EdgeServer;
import org.gentianwalk.gateway.http.StatusServer;
import org.gentianwalk.gateway.http.UpstreamClient;
import org.gentianwalk.gateway.http.UpstreamSender;
import org.gentianwalk.gateway.store.RowFormat;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.traffic.Exchange;
import org.gentianwalk.gateway.traffic.TrafficHandler;
import org.gentianwalk.gateway.wire.WireDialect;
import org.gentianwalk.server.guard.FailureGuard;

/** One instance: forwards requests of callers to upstreams as the shared configuration states. */
public final class Gateway implements AutoCloseable {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Time before the end of the grace period at which requests in progress are ended. */
    static final Duration STOP_MARGIN = Duration.ofMillis(400);

    private final GatewaySettings mSettings;
    private final Ticker mTicker;
    private final EventLoopGroup mTraffic;
    private final ScheduledExecutorService mControl;
    private final ControlPlane mControlPlane;
    private final EdgeServer mEdge;
    private final StatusServer mStatus;
    private final StatusServer mMetrics;
    private final UpstreamClient mClient;
    private final BiFunction<UpstreamSender, ScheduledExecutorService, RowStore> mStore;
    private final FailureGuard mGuard;
    private volatile Runnable mFatalHandler = () -> {};
    private volatile boolean mStopping;

    /**
     * Creates an instance that does not serve yet.
     *
     * @param settings its settings
     * @param dialect reads and writes the headers of messages
     * @param rows names and parses the rows of the shared store
     * @param store creates the client of the shared store
     */
    public Gateway(
            GatewaySettings settings,
            WireDialect dialect,
            RowFormat rows,
            BiFunction<UpstreamSender, ScheduledExecutorService, RowStore> store) {
        this(
                settings,
                dialect,
                rows,
                store,
                new DispatchSchedulers(
                        settings.locations(), settings.ordersByTarget(), settings.placement()));
    }

    /**
     * Creates an instance with given schedulers that does not serve yet.
     *
     * @param settings its settings
     * @param dialect reads and writes the headers of messages
     * @param rows names and parses the rows of the shared store
     * @param store creates the client of the shared store
     * @param schedulers creates the schedulers of services
     */
    public Gateway(
            GatewaySettings settings,
            WireDialect dialect,
            RowFormat rows,
            BiFunction<UpstreamSender, ScheduledExecutorService, RowStore> store,
            SchedulerFactory schedulers) {
        Ticker ticker = Ticker.system();
        mTicker = ticker;
        mGuard = new FailureGuard(ticker, error -> mFatalHandler.run());
        mSettings = settings;
        mStore = store;
        mTraffic = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mControl =
                Executors.newSingleThreadScheduledExecutor(
                        task -> Thread.ofPlatform().name("control").unstarted(task));
        mClient = new UpstreamClient(mTraffic, dialect, ticker);
        EngineQueryClient queries =
                new EngineQueryClient(mClient, dialect, mTraffic.next(), ticker);
        mControlPlane =
                new ControlPlane(
                        settings,
                        mControl,
                        new NettyTrafficLoop(mTraffic.next()),
                        ticker,
                        rows,
                        queries,
                        schedulers,
                        mGuard);
        Exchange.Collaborators collaborators =
                new Exchange.Collaborators(mClient, dialect, mControlPlane, ticker);
        TrafficHandler handler =
                new TrafficHandler(mControlPlane::table, collaborators, () -> mStopping);
        mStatus = new StatusServer(mTraffic, Map.of(dialect.readinessPath(), this::readiness));
        mMetrics =
                new StatusServer(
                        mTraffic,
                        Map.of(
                                "/metrics",
                                () -> new StatusServer.Page(OK, mControlPlane.metrics())));
        mEdge =
                new EdgeServer(
                        mTraffic,
                        new EdgeOptions(dialect, this::limits, () -> mStopping, ticker),
                        handler);
    }

    /**
     * Sets what is done after an error after which the process can't be relied on, such as a lack
     * of memory. Until it is replaced, the instance goes on to serve as far as it can.
     *
     * @param handler called on the thread that failed, possibly more than once; must not wait
     */
    public void onFatalError(Runnable handler) {
        mFatalHandler = handler;
    }

    /**
     * Starts to serve.
     *
     * @throws IOException if an address can't be bound
     */
    public void start() throws IOException {
        mEdge.listen(mSettings.callers());
        mStatus.listen(mSettings.readiness());
        InetSocketAddress metrics = mSettings.metrics();
        // So far only rollouts have metrics.
        if (metrics != null && mSettings.exposure() != null) {
            mMetrics.listen(metrics);
        }
        mControlPlane.start(mStore.apply(mClient, mTraffic.next()));
        mTraffic.next()
                .scheduleWithFixedDelay(
                        mGuard.guarded("idle upstream connections", mClient::closeExpired),
                        1,
                        1,
                        TimeUnit.SECONDS);
    }

    /**
     * Applies changed settings. Only the retry bounds can change while the instance runs.
     *
     * @param settings the new settings
     */
    public void applySettings(GatewaySettings settings) {
        mControlPlane.applySettings(settings);
    }

    /**
     * Stops gracefully: the readiness check fails first, and calls are served as long as they can
     * be finished within the grace period, since the balancer may go on to send connections.
     * Requests still in progress shortly before its end get a final answer. The instance ends once
     * no connection is left or the grace period is over. Further calls have no effect, since the
     * grace period runs from the first one.
     *
     * @param done called at the end, on the traffic loop
     */
    public synchronized void stop(Runnable done) {
        if (mStopping) {
            return;
        }
        mStopping = true;
        long startNanos = mTicker.nanos();
        long endNanos = startNanos + mSettings.stopGrace().minus(STOP_MARGIN).toNanos();
        mGuard.run("announcement of the stop", () -> mControlPlane.announceStop(endNanos));
        new GracefulStop(
                        new CallerConnections(),
                        mTraffic.next(),
                        mTicker,
                        mSettings.stopGrace(),
                        mGuard)
                .start(startNanos, done);
    }

    /** Stops immediately: requests in progress get a final answer, as at the end of a stop. */
    @Override
    public void close() {
        mStopping = true;
        // A shutdown that begins while the loop runs tasks ends it without closing its channels, so
        // that peers would wait for an answer.
        mEdge.close(mGuard);
        mControl.shutdownNow();
        mClient.close();
        mStatus.close();
        mMetrics.close();
        mTraffic.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }

    private CallerLimits limits() {
        RouteTable table = mControlPlane.table();
        return table == null ? CallerLimits.UNCONFIGURED : table.limits();
    }

    private StatusServer.Page readiness() {
        boolean ready = !mStopping && mControlPlane.table() != null;
        return new StatusServer.Page(
                ready ? OK : SERVICE_UNAVAILABLE, ready ? "ready\n" : "not ready\n");
    }

    /** The connections of callers, as a graceful stop sees them. */
    private final class CallerConnections implements GracefulStop.Connections {
        @Override
        public void closeIdle() {
            mEdge.closeIdle(mGuard);
        }

        @Override
        public int connections() {
            return mEdge.connections();
        }

        @Override
        public void refuse() {
            mEdge.refuseConnections();
        }

        @Override
        public void endRequests() {
            mEdge.endRequests(mGuard);
        }
    }
}
