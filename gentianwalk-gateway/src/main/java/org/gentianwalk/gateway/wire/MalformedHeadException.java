package org.gentianwalk.gateway.wire;

/** A request head with an invalid header. The message names the header and the remedy. */
public final class MalformedHeadException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the header and its expected form
     */
    public MalformedHeadException(String message) {
        super(message);
    }
}
