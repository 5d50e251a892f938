package org.gentianwalk.server.mesh;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import org.jspecify.annotations.Nullable;

/** A message could not be sent, or its reply did not arrive. The peer may have received it. */
public final class MeshException extends Exception {
    /**
     * Returns whether the receiver's address refused the connection, which means that its process
     * has stopped.
     *
     * @return false when the receiver may be running but slow or unreachable
     */
    public boolean isRefused() {
        Throwable cause = getCause();
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /**
     * Creates an exception without a cause.
     *
     * @param message what failed
     */
    public MeshException(String message) {
        this(message, null);
    }

    /**
     * Creates an exception.
     *
     * @param message what failed
     * @param cause the underlying failure, or null
     */
    public MeshException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }
}
