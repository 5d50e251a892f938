package org.gentianwalk.gateway.store;

/** A row whose value can't be parsed or is not valid. The message states the defect. */
public final class UnreadableRowException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the defect
     */
    public UnreadableRowException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param message the defect
     * @param cause why the value could not be parsed
     */
    public UnreadableRowException(String message, Throwable cause) {
        super(message, cause);
    }
}
