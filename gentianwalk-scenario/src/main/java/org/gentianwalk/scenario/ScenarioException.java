package org.gentianwalk.scenario;

/** A scenario file that can't be run. The message names the file, the line and the remedy. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message file, line, problem and remedy
     */
    public ScenarioException(String message) {
        super(message);
    }
}
