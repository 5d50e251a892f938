package org.gentianwalk.server.http;

import java.net.InetSocketAddress;

/**
 * Provides the state of the system's TCP connections, to detect callers that have disconnected. The
 * JDK's HTTP server reports a closed connection only when a write fails, and nothing is written
 * before the first token of a response.
 */
public interface ConnectionTable {
    /**
     * Reads the current state of all connections.
     *
     * @return a snapshot of the states
     */
    Snapshot snapshot();

    /** State of a connection. */
    enum State {
        OPEN,
        /** The remote side has closed it regularly. */
        CLOSED,
        /** The table does not contain it: it was reset, or the table changed while it was read. */
        ABSENT
    }

    /** The state of all connections at one moment. */
    interface Snapshot {
        /**
         * Returns the state of a connection.
         *
         * @param local the local address
         * @param remote the remote address
         * @return the state
         */
        State state(InetSocketAddress local, InetSocketAddress remote);
    }

    /**
     * Returns a table that reports every connection as open, for systems without {@code
     * /proc/net/tcp}.
     *
     * @return the table
     */
    static ConnectionTable unknown() {
        return () -> (local, remote) -> State.OPEN;
    }
}
