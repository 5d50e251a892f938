package org.gentianwalk.server.http;

import com.sun.net.httpserver.HttpExchange;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianwalk.core.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Monitors the connections of callers that wait for a response. When a caller has disconnected or
 * does not read, its thread is interrupted, which ends the wait or closes the connection that the
 * thread is writing to.
 */
public final class ConnectionMonitor implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ConnectionMonitor.class);
    private static final Duration PERIOD = Duration.ofMillis(200);

    // The table is not read atomically, so an open connection may be missing from one snapshot.
    private static final int MAX_ABSENCES = 3;

    // Bytes that may be queued for a caller that does not read.
    private static final long MAX_BACKLOG_BYTES = 256 << 10;

    // A write that takes longer indicates that the socket's send buffer is full.
    private static final long BLOCKED_NANOS = Duration.ofSeconds(1).toNanos();

    private final Set<Watched> mWatched = ConcurrentHashMap.newKeySet();
    private final ConnectionTable mConnections;
    private final Ticker mTicker;
    private final Thread mThread;

    /**
     * Starts monitoring.
     *
     * @param connections lists the connections that callers have closed
     * @param ticker monotonic clock
     */
    public ConnectionMonitor(ConnectionTable connections, Ticker ticker) {
        mConnections = connections;
        mTicker = ticker;
        mThread = Thread.ofVirtual().name("connections").start(this::run);
    }

    /**
     * Monitors the calling thread's exchange until the returned handle is closed.
     *
     * @param exchange the exchange
     * @param writeTimeout maximum duration of one write
     * @return the handle
     */
    public Watched watch(HttpExchange exchange, Duration writeTimeout) {
        Watched watched =
                new Watched(
                        exchange.getLocalAddress(),
                        exchange.getRemoteAddress(),
                        writeTimeout.toNanos());
        mWatched.add(watched);
        return watched;
    }

    @Override
    public void close() {
        mThread.interrupt();
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(PERIOD);
                sweep();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sweep() {
        if (mWatched.isEmpty()) {
            return;
        }
        // Copied before the snapshot is taken, since a connection that is opened while the table is
        // read may be missing from it.
        List<Watched> present = List.copyOf(mWatched);
        ConnectionTable.Snapshot connections = mConnections.snapshot();
        long now = mTicker.nanos();
        for (Watched watched : present) {
            if (watched.isWriteStalled(now)) {
                watched.interrupt("caller does not read");
            } else if (watched.isDisconnected(connections.state(watched.mLocal, watched.mRemote))) {
                watched.interrupt("caller disconnected");
            }
        }
    }

    /** A monitored exchange. */
    public final class Watched implements AutoCloseable {
        private final InetSocketAddress mLocal;
        private final InetSocketAddress mRemote;
        private final long mWriteTimeoutNanos;
        private final Thread mOwner = Thread.currentThread();
        private long mWriteStarted;
        private long mBacklog;
        private boolean mWriting;
        private boolean mOpen = true;
        private int mAbsences;

        private Watched(InetSocketAddress local, InetSocketAddress remote, long writeTimeout) {
            mLocal = local;
            mRemote = remote;
            mWriteTimeoutNanos = writeTimeout;
        }

        /**
         * Marks the start of a write.
         *
         * @param backlogBytes bytes queued behind it
         */
        public synchronized void writing(long backlogBytes) {
            mWriteStarted = mTicker.nanos();
            mBacklog = backlogBytes;
            mWriting = true;
        }

        /** Marks the end of a write. */
        public synchronized void written() {
            mWriting = false;
        }

        @Override
        public synchronized void close() {
            mOpen = false;
            mWatched.remove(this);
        }

        private synchronized boolean isWriteStalled(long now) {
            long since = now - mWriteStarted;
            return mWriting
                    && (since > mWriteTimeoutNanos
                            || since > BLOCKED_NANOS && mBacklog > MAX_BACKLOG_BYTES);
        }

        private synchronized boolean isDisconnected(ConnectionTable.State state) {
            mAbsences = state == ConnectionTable.State.ABSENT ? mAbsences + 1 : 0;
            return state == ConnectionTable.State.CLOSED || mAbsences >= MAX_ABSENCES;
        }

        // Synchronized with close(), so that the owner is never interrupted after its exchange
        // ended.
        private synchronized void interrupt(String reason) {
            if (mOpen) {
                LOG.infof("decision=disconnect caller=%s reason=\"%s\"", mRemote, reason);
                mOwner.interrupt();
            }
        }
    }
}
