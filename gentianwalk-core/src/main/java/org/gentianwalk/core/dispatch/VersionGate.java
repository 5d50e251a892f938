package org.gentianwalk.core.dispatch;

/** Decides to which versions of a service's upstreams new attempts may go. */
public interface VersionGate {
    /** Permits all versions. */
    VersionGate OPEN = (work, upstream, nowNanos) -> true;

    /**
     * Returns whether a new attempt of a request may go to an upstream now. Changes no state.
     *
     * @param work the request
     * @param upstream the upstream
     * @param nowNanos current time
     * @return true when the upstream's version may get the attempt
     */
    boolean isPermitted(Work work, Upstream upstream, long nowNanos);

    /**
     * Returns the gate to try first for a new attempt of a request. It permits no upstream that
     * this gate does not permit. Changes no state.
     *
     * @param work the request
     * @param nowNanos current time
     * @return the gate of the preferred version, or this gate if no version is preferred
     */
    default VersionGate preferred(Work work, long nowNanos) {
        return this;
    }

    /**
     * Records that an attempt was started.
     *
     * @param work the request
     * @param attempt number of the attempt, starting at 1
     * @param upstream its upstream
     * @param nowNanos current time
     */
    default void recordStart(Work work, int attempt, Upstream upstream, long nowNanos) {}
}
