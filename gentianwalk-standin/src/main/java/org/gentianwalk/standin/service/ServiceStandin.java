package org.gentianwalk.standin.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.standin.StandinHttp;
import org.jspecify.annotations.Nullable;

/**
 * A plain service on loopback. It executes a call each time it gets it, counts executions by
 * idempotency key, and answers {@code GET /lookup/{key}} about earlier calls. Several stand-ins may
 * share one {@link Ledger}, as replicas of one service do.
 *
 * <p>Example: {@code ServiceStandin stock = ServiceStandin.start("stock", new Ledger(), 0, 1);}
 */
public final class ServiceStandin implements AutoCloseable {
    /** Path that reports the outcome of a call by its key. */
    public static final String LOOKUP_PATH = "/lookup";

    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;

    private final String mId;
    private final Ledger mLedger;
    private final HttpServer mServer;
    private final Random mRandom;
    private volatile Duration mDelay = Duration.ZERO;
    private volatile double mLostAnswers;
    private volatile boolean mRefusing;

    private ServiceStandin(String id, Ledger ledger, int port, long seed) throws IOException {
        mId = id;
        mLedger = ledger;
        mRandom = new Random(seed);
        mServer = StandinHttp.open(port);
        mServer.createContext("/", this::call);
        mServer.createContext(LOOKUP_PATH + "/", this::lookup);
        mServer.start();
    }

    /**
     * Starts a service.
     *
     * @param id identifier
     * @param ledger what has been executed
     * @param port loopback port, or 0 for a free one
     * @param seed seed of the choice of lost answers
     * @return the running service
     * @throws IOException if the port is taken
     */
    public static ServiceStandin start(String id, Ledger ledger, int port, long seed)
            throws IOException {
        return new ServiceStandin(id, ledger, port, seed);
    }

    /**
     * Returns the address.
     *
     * @return base address
     */
    public URI uri() {
        return URI.create("http://127.0.0.1:" + mServer.getAddress().getPort());
    }

    /**
     * Describes the service as the settings of an instance do.
     *
     * @param location where it pretends to run
     * @return the upstream
     */
    public UpstreamInfo info(Location location) {
        return new UpstreamInfo(mId, uri(), location, Set.of(), 1, 1, 1, Set.of());
    }

    /**
     * Makes calls slow.
     *
     * @param delay time between the execution and the answer
     */
    public void delay(Duration delay) {
        mDelay = delay;
    }

    /**
     * Loses answers: the call is executed and the connection breaks.
     *
     * @param share part of the answers lost, from 0 to 1
     */
    public void loseAnswers(double share) {
        mLostAnswers = share;
    }

    /**
     * Makes the service refuse calls with 503 without executing them.
     *
     * @param refusing true to refuse
     */
    public void refuse(boolean refusing) {
        mRefusing = refusing;
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private void call(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (mRefusing) {
                StandinHttp.error(exchange, STATUS_UNAVAILABLE, "refusing");
                return;
            }
            String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
            int executions = mLedger.execute(key == null ? "" : key);
            Thread.sleep(mDelay);
            if (losesAnswer()) {
                return;
            }
            StandinHttp.reply(exchange, STATUS_OK, answer(key, executions, body.length));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void lookup(HttpExchange exchange) throws IOException {
        String key = exchange.getRequestURI().getPath().substring(LOOKUP_PATH.length() + 1);
        int executions = mLedger.executions(key);
        if (executions == 0) {
            StandinHttp.error(exchange, STATUS_NOT_FOUND, "unknown_key");
        } else {
            StandinHttp.reply(exchange, STATUS_OK, answer(key, executions, 0));
        }
    }

    private ObjectNode answer(@Nullable String key, int executions, int bytes) {
        return StandinHttp.JSON
                .createObjectNode()
                .put("service", mId)
                .put("key", key)
                .put("executions", executions)
                .put("bytes", bytes);
    }

    private boolean losesAnswer() {
        synchronized (mRandom) {
            return mRandom.nextDouble() < mLostAnswers;
        }
    }

    /** Executions by idempotency key. */
    public static final class Ledger {
        private final Map<String, Integer> mExecutions = new ConcurrentHashMap<>();

        /**
         * Returns how often a call was executed.
         *
         * @param key its idempotency key
         * @return executions
         */
        public int executions(String key) {
            return mExecutions.getOrDefault(key, 0);
        }

        /**
         * Returns all executions.
         *
         * @return a copy of the counts by key
         */
        public Map<String, Integer> all() {
            return Map.copyOf(mExecutions);
        }

        int execute(String key) {
            return mExecutions.merge(key, 1, Integer::sum);
        }
    }
}
