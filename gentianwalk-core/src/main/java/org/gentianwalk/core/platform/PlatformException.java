package org.gentianwalk.core.platform;

/** Thrown when a platform service did not respond or rejected a request. */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message which service failed, how, and what to check
     */
    public PlatformException(String message) {
        super(message);
    }

    /**
     * Creates the exception with its cause.
     *
     * @param message which service failed, how, and what to check
     * @param cause the underlying failure
     */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
