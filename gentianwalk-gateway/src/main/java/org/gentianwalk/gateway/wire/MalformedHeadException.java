package org.gentianwalk.gateway.wire;

/** A request head with a header that can't be read. The message names the header and the remedy. */
public final class MalformedHeadException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the header and what it should be
     */
    public MalformedHeadException(String message) {
        super(message);
    }
}
