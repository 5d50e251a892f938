package org.gentianwalk.standin.platform;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.time.Ticker;

/**
 * The platform's services over HTTP: table, objects, instance list and weight store. It keeps its
 * state in memory.
 *
 * <p>Example: {@code try (var platform = PlatformStandin.start(Options.onFreePort(), faults)) { URI
 * base = platform.uri(); }}
 */
public final class PlatformStandin implements AutoCloseable {
    private static final int BACKLOG = 1024;

    private final HttpServer mServer;
    private final ExecutorService mHandlers = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final MemoryTable mTable = new MemoryTable();
    private final MemoryObjects mObjects = new MemoryObjects();
    private final LaggingInstances mInstances;
    private final OperationGate mGate;

    /**
     * Options of the stand-in.
     *
     * @param address address and port to listen on; port 0 takes a free one
     * @param writesPerSecond rate limit of writes, table and objects together
     * @param readsPerSecond rate limit of reads, table and objects together
     * @param weightsPerSecond rate limit of the weight store
     * @param listLag time until a change of the instance list shows
     * @param instances initial instance list
     */
    public record Options(
            InetSocketAddress address,
            double writesPerSecond,
            double readsPerSecond,
            double weightsPerSecond,
            Duration listLag,
            List<InstanceList.Entry> instances) {
        /** Several hundred writes a second is what the platform's store handles for everything. */
        public static final double WRITES_PER_SECOND = 400;

        /** The platform's store handles about 2,000 reads a second for everything. */
        public static final double READS_PER_SECOND = 2000;

        /** One load every two seconds, an assumption about the weight store. */
        public static final double WEIGHTS_PER_SECOND = 0.5;

        /** Lag of the instance list, an assumption about the platform. */
        public static final Duration LIST_LAG = Duration.ofSeconds(2);

        public Options {
            instances = List.copyOf(instances);
        }

        /**
         * Returns the usual limits on a free loopback port.
         *
         * @return the options
         */
        public static Options onFreePort() {
            return new Options(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    WRITES_PER_SECOND,
                    READS_PER_SECOND,
                    WEIGHTS_PER_SECOND,
                    LIST_LAG,
                    List.of());
        }
    }

    private PlatformStandin(HttpServer server, Options options, FaultHook faults) {
        Ticker ticker = Ticker.system();
        mServer = server;
        mInstances = new LaggingInstances(ticker, options.listLag(), options.instances());
        mGate =
                new OperationGate(
                        faults,
                        new RateLimit(ticker, options.readsPerSecond()),
                        new RateLimit(ticker, options.writesPerSecond()),
                        mTimer);
        LimitedWeights weights =
                new LimitedWeights(new RateLimit(ticker, options.weightsPerSecond()));
        mServer.setExecutor(mHandlers);
        TableHandler table = new TableHandler(mTable, mGate);
        mServer.createContext("/table", table);
        mServer.createContext("/objects/", new ObjectHandler(mObjects, mGate));
        mServer.createContext("/instances", new InstancesHandler(mInstances, mGate));
        mServer.createContext("/weights/", new WeightsHandler(weights, mGate));
    }

    /**
     * Starts the stand-in.
     *
     * @param options address, limits and instance list
     * @param faults chooses the fault of each operation
     * @return the running stand-in
     * @throws IOException if the address can't be bound
     */
    public static PlatformStandin start(Options options, FaultHook faults) throws IOException {
        HttpServer server = HttpServer.create(options.address(), BACKLOG);
        PlatformStandin standin = new PlatformStandin(server, options, faults);
        server.start();
        return standin;
    }

    /**
     * Returns the base address.
     *
     * @return the address that clients use, without a path
     */
    public URI uri() {
        InetSocketAddress address = mServer.getAddress();
        String host = address.getAddress().getHostAddress();
        String authority = host.contains(":") ? "[" + host + "]" : host;
        return URI.create("http://" + authority + ":" + address.getPort());
    }

    /**
     * Returns the table behind the HTTP interface, without faults.
     *
     * @return the table
     */
    public MemoryTable table() {
        return mTable;
    }

    /**
     * Returns the objects behind the HTTP interface.
     *
     * @return the objects
     */
    public MemoryObjects objects() {
        return mObjects;
    }

    /**
     * Returns the instance list behind the HTTP interface.
     *
     * @return the list
     */
    public LaggingInstances instances() {
        return mInstances;
    }

    /**
     * Returns the number of reads received.
     *
     * @return reads since the start, refused ones included
     */
    public long reads() {
        return mGate.reads();
    }

    /**
     * Returns the number of writes received.
     *
     * @return writes since the start, refused ones included
     */
    public long writes() {
        return mGate.writes();
    }

    @Override
    public void close() {
        mServer.stop(0);
        mTimer.shutdownNow();
        mHandlers.shutdownNow();
    }
}
