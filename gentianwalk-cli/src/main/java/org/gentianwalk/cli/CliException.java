package org.gentianwalk.cli;

/** A failure whose message is all that the operator needs. */
public final class CliException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message what failed and how to correct it
     */
    public CliException(String message) {
        super(message);
    }
}
