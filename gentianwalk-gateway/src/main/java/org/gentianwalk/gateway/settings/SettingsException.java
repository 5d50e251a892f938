package org.gentianwalk.gateway.settings;

/** A settings file that is not valid. The message names the key and the remedy. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the key and the remedy
     */
    public SettingsException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param message the file and the remedy
     * @param cause why it can't be read
     */
    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
