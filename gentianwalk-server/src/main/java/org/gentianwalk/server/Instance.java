package org.gentianwalk.server;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.http.ConnectionMonitor;
import org.gentianwalk.server.http.InstanceHttpServer;
import org.gentianwalk.server.http.Replies;
import org.gentianwalk.server.pipeline.CompletionEndpoint;
import org.gentianwalk.server.pipeline.ControlThread;
import org.gentianwalk.server.pipeline.Dispatcher;
import org.gentianwalk.server.pipeline.GenerationManager;
import org.gentianwalk.server.pipeline.ModelsEndpoint;
import org.gentianwalk.server.pipeline.ResumeEndpoint;
import org.gentianwalk.server.service.ServiceEndpoint;
import org.gentianwalk.server.upstream.EngineClient;
import org.gentianwalk.server.upstream.EnginePoller;
import org.jboss.logging.Logger;

/** One serving instance: assembles its components, starts and stops them. */
public final class Instance implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Instance.class);
    private static final Duration SWEEP_PERIOD = Duration.ofMillis(250);
    private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(50);
    private static final int ENGINE_SELECTORS = 2;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final InstanceSettings mSettings;
    private final Supplier<ServingRules> mRules;
    private final ControlThread mControl;
    private final EngineClient mClient = new EngineClient(ENGINE_SELECTORS);
    private final Dispatcher mDispatcher;
    private final EnginePoller mPoller;
    private final GenerationManager mGenerations;
    private final ConnectionMonitor mMonitor;
    private final InstanceHttpServer mServer;
    private final ServiceEndpoint mServices;
    private volatile boolean mReady;

    /**
     * Creates an instance; {@link #start} starts serving.
     *
     * @param settings the settings
     * @param rules the configuration in force, read for each call
     * @param parts exchangeable parts
     * @throws IOException if the address is taken
     */
    public Instance(InstanceSettings settings, Supplier<ServingRules> rules, InstanceParts parts)
            throws IOException {
        this(settings, rules, parts, new ControlThread("control-" + settings.id()));
    }

    /**
     * Creates an instance that shares its control thread with other components.
     *
     * @param settings the settings
     * @param rules the configuration in force, read for each call
     * @param parts exchangeable parts
     * @param control the thread that owns the control state; closed with the instance
     * @throws IOException if the address is taken
     */
    public Instance(
            InstanceSettings settings,
            Supplier<ServingRules> rules,
            InstanceParts parts,
            ControlThread control)
            throws IOException {
        mSettings = settings;
        mRules = rules;
        Ticker ticker = parts.ticker();
        mServer = new InstanceHttpServer(settings.host(), settings.port());
        mControl = control;
        mDispatcher =
                new Dispatcher(
                        parts.schedulers().create(settings, rules),
                        rules,
                        parts.replicas(),
                        mClient,
                        parts.sink(),
                        ticker,
                        mControl);
        mPoller = new EnginePoller(mClient, mDispatcher);
        mDispatcher.usedEnginesListener(mPoller::engines);
        mGenerations =
                new GenerationManager(settings.id(), rules, parts.replicas(), mDispatcher, ticker);
        mMonitor = new ConnectionMonitor(parts.connections(), ticker);
        for (String path : new String[] {"/v1/chat/completions", "/v1/completions"}) {
            mServer.register(
                    path, new CompletionEndpoint(path, rules, mGenerations, mMonitor, ticker));
        }
        mServer.register(
                ResumeEndpoint.PATH, new ResumeEndpoint(rules, mGenerations, mMonitor, ticker));
        mServer.register(ModelsEndpoint.PATH, new ModelsEndpoint(rules));
        mServices = new ServiceEndpoint(rules, parts.calls(), () -> mReady, ticker);
        mServer.register(ServiceEndpoint.PATH, mServices);
        mServer.register("/healthz", exchange -> status(exchange, true));
        mServer.register("/readyz", exchange -> status(exchange, mReady));
    }

    /**
     * Adds a handler for further paths, such as metrics. Must be called before {@link #start}.
     *
     * @param path prefix of the paths
     * @param handler the handler
     */
    public void register(String path, HttpHandler handler) {
        mServer.register(path, handler);
    }

    /** Starts serving. */
    public void start() {
        mDispatcher.start();
        mControl.schedulePeriodically(SWEEP_PERIOD, this::sweep);
        mServer.start();
        mReady = true;
        LOG.infof("instance %s listens on %s", mSettings.id(), uri());
    }

    /**
     * Returns the address for callers.
     *
     * @return base address
     */
    public URI uri() {
        return URI.create("http://" + mSettings.host() + ":" + mServer.port());
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    public InstanceSettings settings() {
        return mSettings;
    }

    /**
     * Returns the control thread.
     *
     * @return the thread that owns the control state
     */
    public ControlThread control() {
        return mControl;
    }

    /**
     * Returns the dispatcher, which receives the upstream states of the platform's list.
     *
     * @return the dispatcher
     */
    public Dispatcher dispatcher() {
        return mDispatcher;
    }

    /**
     * Returns whether the instance accepts new work.
     *
     * @return false before the start and while draining
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Sets whether the instance accepts new work. Running work continues in any case.
     *
     * @param ready false to drain
     */
    public void ready(boolean ready) {
        mReady = ready;
        mGenerations.acceptNewWork(ready);
    }

    /**
     * Returns the number of generations that have not ended.
     *
     * @return running and queued generations
     */
    public long running() {
        return mGenerations.running();
    }

    /**
     * Returns the number of callers' exchanges in progress.
     *
     * @return exchanges that have started and not ended
     */
    public int openExchanges() {
        return mServer.openExchanges();
    }

    /**
     * Stops accepting new work, waits until all running work and all responses are finished, and
     * closes.
     *
     * @throws InterruptedException if the calling thread was interrupted; nothing is closed then
     */
    public void shutdown() throws InterruptedException {
        drain();
        close();
        LOG.infof("instance %s has stopped", mSettings.id());
    }

    /**
     * Stops accepting new work and waits until all running work and all responses are finished.
     *
     * @throws InterruptedException if the calling thread was interrupted
     */
    public void drain() throws InterruptedException {
        ready(false);
        LOG.infof("instance %s is draining, %s generations left", mSettings.id(), running());
        while (running() > 0 || mServer.openExchanges() > 0) {
            Thread.sleep(DRAIN_CHECK_PERIOD);
        }
    }

    /** Stops immediately and breaks all connections. */
    @Override
    public void close() {
        mReady = false;
        mServer.close();
        mPoller.close();
        mControl.close();
        mMonitor.close();
        mClient.close();
        mServices.close();
    }

    private void sweep() {
        mGenerations.sweep();
    }

    private static void status(HttpExchange exchange, boolean ok) throws IOException {
        byte[] text = (ok ? "ok\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
        Replies.bytes(exchange, ok ? STATUS_OK : STATUS_UNAVAILABLE, "text/plain", text);
    }
}
