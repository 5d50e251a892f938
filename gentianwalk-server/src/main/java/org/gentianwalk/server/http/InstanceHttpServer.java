package org.gentianwalk.server.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.jboss.logging.Logger;

/** The HTTP server of an instance for callers, with one virtual thread per exchange. */
public final class InstanceHttpServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(InstanceHttpServer.class);
    private static final int BACKLOG = 4096;

    // Time limit for receiving a complete request; the body has its own, shorter limit.
    private static final String MAX_REQUEST_SECONDS = "30";

    // A request fails if the caller reuses a connection while the server is closing it, so idle
    // connections are kept longer than callers and load balancers usually keep them.
    private static final String MAX_IDLE_CONNECTIONS = "10000";
    private static final String IDLE_SECONDS = "300";

    static {
        setDefault("sun.net.httpserver.maxReqTime", MAX_REQUEST_SECONDS);
        setDefault("sun.net.httpserver.nodelay", "true");
        setDefault("sun.net.httpserver.maxIdleConnections", MAX_IDLE_CONNECTIONS);
        setDefault("sun.net.httpserver.idleInterval", IDLE_SECONDS);
    }

    private final HttpServer mServer;
    private final AtomicInteger mOpen = new AtomicInteger();

    /**
     * Binds the server; {@link #start} starts serving.
     *
     * @param host address to listen on
     * @param port the port, or 0 for a free one
     * @throws IOException if the address can't be bound
     */
    public InstanceHttpServer(String host, int port) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(host, port), BACKLOG);
        mServer.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        register("/", InstanceHttpServer::notFound);
    }

    /**
     * Adds a handler.
     *
     * @param path prefix of the handled paths; the longest matching prefix wins
     * @param handler the handler; the server closes the exchange
     */
    public void register(String path, HttpHandler handler) {
        mServer.createContext(path, exchange -> serve(exchange, handler));
    }

    /** Starts serving requests. */
    public void start() {
        mServer.start();
    }

    /**
     * Returns the port.
     *
     * @return the port in use
     */
    public int port() {
        return mServer.getAddress().getPort();
    }

    /**
     * Returns the number of exchanges in progress.
     *
     * @return exchanges that have started and not ended
     */
    public int openExchanges() {
        return mOpen.get();
    }

    /** Closes all connections. */
    @Override
    public void close() {
        mServer.stop(0);
    }

    /**
     * Responds that the path does not exist.
     *
     * @param exchange the exchange
     * @throws IOException if the caller has disconnected
     */
    public static void notFound(HttpExchange exchange) throws IOException {
        Replies.error(
                exchange,
                ServeError.rejected(ErrorKind.NOT_FOUND, exchange.getRequestURI().getPath()));
    }

    private void serve(HttpExchange exchange, HttpHandler handler) {
        mOpen.incrementAndGet();
        try {
            handler.handle(exchange);
        } catch (IOException e) {
            LOG.debugf("connection from %s broke: %s", exchange.getRemoteAddress(), e);
        } catch (RuntimeException e) {
            LOG.error("unexpected failure while serving " + exchange.getRequestURI().getPath(), e);
            sendInternalError(exchange);
        } finally {
            mOpen.decrementAndGet();
            exchange.close();
        }
    }

    private static void sendInternalError(HttpExchange exchange) {
        try {
            if (exchange.getResponseCode() < 0) {
                Replies.error(exchange, ServeError.rejected(ErrorKind.INTERNAL, "in the handler"));
            }
        } catch (IOException ignored) {
            // The caller has disconnected.
        }
    }

    private static void setDefault(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
