package org.gentianwalk.gateway.store;

/** A row whose value is not what its place asks for. The message says what is wrong with it. */
public final class UnreadableRowException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong
     */
    public UnreadableRowException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param message what is wrong
     * @param cause why the value could not be read
     */
    public UnreadableRowException(String message, Throwable cause) {
        super(message, cause);
    }
}
