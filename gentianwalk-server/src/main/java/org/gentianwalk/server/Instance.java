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
import org.gentianwalk.server.http.ConnectionWatch;
import org.gentianwalk.server.http.HttpEdge;
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

/** One serving instance: puts its parts together, starts and stops them. */
public final class Instance implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Instance.class);
    private static final Duration SWEEP_PERIOD = Duration.ofMillis(250);
    private static final Duration DRAIN_CHECK = Duration.ofMillis(50);
    private static final int SELECTORS = 2;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final InstanceSettings mSettings;
    private final Supplier<ServingRules> mRules;
    private final ControlThread mControl;
    private final EngineClient mClient = new EngineClient(SELECTORS);
    private final Dispatcher mDispatcher;
    private final EnginePoller mPoller;
    private final GenerationManager mGenerations;
    private final ConnectionWatch mWatch;
    private final HttpEdge mEdge;
    private final ServiceEndpoint mServices;
    private volatile boolean mReady;

    /**
     * Puts an instance together; {@link #start} makes it serve.
     *
     * @param settings the settings
     * @param rules the configuration in force, read anew for each call
     * @param parts exchangeable parts
     * @throws IOException if the address is taken
     */
    public Instance(InstanceSettings settings, Supplier<ServingRules> rules, InstanceParts parts)
            throws IOException {
        this(settings, rules, parts, new ControlThread("control-" + settings.id()));
    }

    /**
     * Puts an instance together that shares its control thread with other parts.
     *
     * @param settings the settings
     * @param rules the configuration in force, read anew for each call
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
        mEdge = new HttpEdge(settings.host(), settings.port());
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
        mWatch = new ConnectionWatch(parts.peers(), ticker);
        for (String path : new String[] {"/v1/chat/completions", "/v1/completions"}) {
            mEdge.register(path, new CompletionEndpoint(path, rules, mGenerations, mWatch, ticker));
        }
        mEdge.register(
                ResumeEndpoint.PATH, new ResumeEndpoint(rules, mGenerations, mWatch, ticker));
        mEdge.register(ModelsEndpoint.PATH, new ModelsEndpoint(rules));
        mServices = new ServiceEndpoint(rules, parts.calls(), () -> mReady, ticker);
        mEdge.register(ServiceEndpoint.PATH, mServices);
        mEdge.register("/healthz", exchange -> status(exchange, true));
        mEdge.register("/readyz", exchange -> status(exchange, mReady));
    }

    /**
     * Adds a handler for further paths, such as metrics. To be called before {@link #start}.
     *
     * @param path prefix of the paths
     * @param handler the handler
     */
    public void register(String path, HttpHandler handler) {
        mEdge.register(path, handler);
    }

    /** Starts to serve. */
    public void start() {
        mDispatcher.start();
        mControl.schedulePeriodically(SWEEP_PERIOD, this::sweep);
        mEdge.start();
        mReady = true;
        LOG.infof("instance %s listens on %s", mSettings.id(), uri());
    }

    /**
     * Returns the address for callers.
     *
     * @return base address
     */
    public URI uri() {
        return URI.create("http://" + mSettings.host() + ":" + mEdge.port());
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
     * Returns the dispatcher, which takes in what the platform's list says about upstreams.
     *
     * @return the dispatcher
     */
    public Dispatcher dispatcher() {
        return mDispatcher;
    }

    /**
     * Tells whether the instance takes new work.
     *
     * @return false before the start and while draining
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Starts or stops taking new work. Running work goes on in any case.
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
     * @return exchanges that were begun and not ended
     */
    public int openExchanges() {
        return mEdge.openExchanges();
    }

    /**
     * Stops taking new work, waits until all running work and all answers are finished, and closes.
     *
     * @throws InterruptedException if the calling thread was interrupted; nothing is closed then
     */
    public void shutdown() throws InterruptedException {
        drain();
        close();
        LOG.infof("instance %s has stopped", mSettings.id());
    }

    /**
     * Stops taking new work and waits until all running work and all answers are finished.
     *
     * @throws InterruptedException if the calling thread was interrupted
     */
    public void drain() throws InterruptedException {
        ready(false);
        LOG.infof("instance %s is draining, %s generations left", mSettings.id(), running());
        while (running() > 0 || mEdge.openExchanges() > 0) {
            Thread.sleep(DRAIN_CHECK);
        }
    }

    /** Stops at once: every connection breaks. */
    @Override
    public void close() {
        mReady = false;
        mEdge.close();
        mPoller.close();
        mControl.close();
        mWatch.close();
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
