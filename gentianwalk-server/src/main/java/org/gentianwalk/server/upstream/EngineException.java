package org.gentianwalk.server.upstream;

/** Signals that an engine did not complete a request. */
public final class EngineException extends Exception {
    /** Why the request failed. */
    public enum Reason {
        /** The connection could not be opened; the engine did not receive the request. */
        UNREACHABLE,
        /** The engine temporarily accepts no work. */
        REFUSED,
        /** The engine rejects the request as invalid, as any other engine would. */
        REJECTED,
        /** The connection broke, or the engine violated its protocol. */
        BROKEN
    }

    private final Reason mReason;

    /**
     * Creates an exception.
     *
     * @param reason why the request failed
     * @param message details for the log
     */
    public EngineException(Reason reason, String message) {
        super(message);
        mReason = reason;
    }

    /**
     * Returns why the request failed.
     *
     * @return the reason
     */
    public Reason reason() {
        return mReason;
    }
}
