package org.gentianwalk.standin.engine;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.standin.StandinHttp;
import org.jspecify.annotations.Nullable;

/**
 * A model engine on loopback that speaks the protocol of real engines, with deterministic tokens
 * ({@link TokenSequence}) and faults ({@link Faults}).
 *
 * <p>Example: {@code EngineStandin engine = EngineStandin.start(EngineOptions.of("e1", "m"), 0);}
 */
public final class EngineStandin implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineOptions mOptions;
    private final int mPort;
    private final Faults mFaults = new Faults();
    private final AtomicLong mStarted = new AtomicLong();
    private final AtomicLong mCancelled = new AtomicLong();
    private final AtomicLong mFinished = new AtomicLong();
    private final AtomicLong mTokens = new AtomicLong();
    private final AtomicLong mPromptTokens = new AtomicLong();
    private final AtomicLong mCachedTokens = new AtomicLong();
    private volatile TokenObserver mObserver = (seed, position) -> {};
    private @Nullable Life mLife;

    private EngineStandin(EngineOptions options, int port) throws IOException {
        mOptions = options;
        Life life = new Life(this, StandinHttp.open(port));
        mPort = life.mServer.getAddress().getPort();
        mLife = life;
        life.start();
    }

    /**
     * Starts an engine.
     *
     * @param options its options
     * @param port loopback port, or 0 for a free one
     * @return the running engine
     * @throws IOException if the port is taken
     */
    public static EngineStandin start(EngineOptions options, int port) throws IOException {
        return new EngineStandin(options, port);
    }

    /**
     * Returns the address.
     *
     * @return base address
     */
    public URI uri() {
        return URI.create("http://127.0.0.1:" + mPort);
    }

    /**
     * Describes the engine as the settings of an instance do.
     *
     * @param location where it pretends to run
     * @return the upstream
     */
    public UpstreamInfo info(Location location) {
        double interval = Math.max(1, mOptions.timing().tokenInterval().toNanos());
        double prefill = Math.max(1, mOptions.timing().prefillPerToken().toNanos());
        return new UpstreamInfo(
                mOptions.id(),
                uri(),
                location,
                mOptions.models(),
                mOptions.slots(),
                mOptions.slots() * NANOS_PER_SECOND / interval,
                NANOS_PER_SECOND / prefill,
                mOptions.capabilities());
    }

    /**
     * Returns the options.
     *
     * @return the options
     */
    public EngineOptions options() {
        return mOptions;
    }

    /**
     * Returns the fault hooks.
     *
     * @return the hooks
     */
    public Faults faults() {
        return mFaults;
    }

    /**
     * Sets an observer of all tokens.
     *
     * @param observer the observer
     */
    public void observe(TokenObserver observer) {
        mObserver = observer;
    }

    /** Ends the engine abruptly: every connection breaks and the cache is lost. */
    public synchronized void kill() {
        Life life = mLife;
        mLife = null;
        if (life != null) {
            life.end();
        }
    }

    private synchronized void kill(Life life) {
        if (mLife == life) {
            kill();
        }
    }

    /**
     * Starts a killed engine again on its old port, without faults.
     *
     * @throws IOException if the port was taken in the meantime
     */
    public synchronized void restart() throws IOException {
        if (mLife == null) {
            mFaults.clear();
            mLife = new Life(this, StandinHttp.open(mPort));
            mLife.start();
        }
    }

    /**
     * Tells whether the engine runs.
     *
     * @return false after {@link #kill} until {@link #restart}
     */
    public synchronized boolean isAlive() {
        return mLife != null;
    }

    /**
     * Returns the number of generations in the batch.
     *
     * @return generations, 0 when the engine is dead
     */
    public synchronized int running() {
        return mLife == null ? 0 : mLife.mSlots.running();
    }

    /**
     * Returns what the engine has done since it was created, over all restarts.
     *
     * @return the counts
     */
    public Counts counts() {
        return new Counts(
                mStarted.get(),
                mFinished.get(),
                mCancelled.get(),
                mTokens.get(),
                mPromptTokens.get(),
                mCachedTokens.get());
    }

    @Override
    public void close() {
        kill();
    }

    /**
     * Counts of an engine's work.
     *
     * @param started generations that left the engine's queue
     * @param finished generations that ended by themselves
     * @param cancelled generations that were cancelled
     * @param tokens output tokens sent
     * @param promptTokens prompt tokens received
     * @param cachedTokens prompt tokens found in the prefix cache
     */
    public record Counts(
            long started,
            long finished,
            long cancelled,
            long tokens,
            long promptTokens,
            long cachedTokens) {}

    /** The state that is lost when the engine dies. */
    static final class Life {
        final EngineStandin mEngine;
        final HttpServer mServer;
        final SlotQueue mSlots;
        final PrefixCache mCache;
        final Orders mOrders;
        final Map<String, EngineRequest> mRequests = new ConcurrentHashMap<>();
        volatile boolean mDead;

        Life(EngineStandin engine, HttpServer server) {
            mEngine = engine;
            mServer = server;
            mSlots = new SlotQueue(engine.mOptions.slots());
            mCache = new PrefixCache(engine.mOptions.cache());
            mOrders = new Orders(engine.mOptions);
        }

        void start() {
            CompletionHandler completions = new CompletionHandler(this);
            ControlHandlers control = new ControlHandlers(this);
            mServer.createContext("/v1/chat/completions", completions);
            mServer.createContext("/v1/completions", completions);
            mServer.createContext("/v1/requests/", control::cancel);
            mServer.createContext("/v1/models", control::models);
            mServer.createContext("/load", control::load);
            mServer.createContext("/cache_events", control::cacheEvents);
            mServer.createContext("/orders", control::orders);
            mServer.createContext("/state", control::state);
            mServer.start();
        }

        void end() {
            mDead = true;
            mServer.stop(0);
        }

        EngineOptions options() {
            return mEngine.mOptions;
        }

        Faults faults() {
            return mEngine.mFaults;
        }

        void countStart(int promptTokens, int cachedTokens) {
            mEngine.mStarted.incrementAndGet();
            mEngine.mPromptTokens.addAndGet(promptTokens);
            mEngine.mCachedTokens.addAndGet(cachedTokens);
        }

        void countTokens(long seed, int position, int tokens) {
            mEngine.mTokens.addAndGet(tokens);
            mEngine.mObserver.sending(seed, position);
        }

        void countEnd(boolean cancelled) {
            (cancelled ? mEngine.mCancelled : mEngine.mFinished).incrementAndGet();
        }

        /** Kills the engine from one of its own threads; a later life is not affected. */
        void die() {
            mDead = true;
            Thread.ofVirtual().start(() -> mEngine.kill(this));
        }
    }
}
