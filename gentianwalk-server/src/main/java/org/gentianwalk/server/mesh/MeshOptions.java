package org.gentianwalk.server.mesh;

import java.time.Duration;

/**
 * Limits and timeouts of the mesh transport.
 *
 * @param maxFrameBytes maximum frame size in bytes; section 3.4 of the design
 * @param sendBufferBytes bytes that may be queued for a peer that does not read; further messages
 *     fail immediately
 * @param connectTimeout timeout for opening a connection
 * @param idleTimeout time without traffic after which a connection is closed
 * @param threads number of event loop threads; with one, replication runs on {@link
 *     MeshNode#eventLoop()} without switching threads, which took 27% of its CPU time
 */
public record MeshOptions(
        int maxFrameBytes,
        int sendBufferBytes,
        Duration connectTimeout,
        Duration idleTimeout,
        int threads) {
    /** Default values. */
    public static final MeshOptions DEFAULT =
            new MeshOptions(4 << 20, 8 << 20, Duration.ofSeconds(1), Duration.ofSeconds(60), 1);
}
