package org.gentianwalk.server.upstream;

/** Signals that an engine did not complete a request. */
public final class EngineException extends Exception {
    /** Why the request failed. */
    public enum Cause {
        /** The connection could not be opened; the engine did not receive the request. */
        UNREACHABLE,
        /** The engine temporarily accepts no work. */
        REFUSED,
        /** The engine rejects the request as invalid, as any other engine would. */
        REJECTED,
        /** The connection broke, or the engine violated its protocol. */
        BROKEN
    }

    private final Cause mCause;

    /**
     * Creates an exception.
     *
     * @param cause why the request failed
     * @param message details for the log
     */
    public EngineException(Cause cause, String message) {
        super(message);
        mCause = cause;
    }

    /**
     * Returns why the request failed.
     *
     * @return the cause
     */
    public Cause reason() {
        return mCause;
    }
}
