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
     * Records that an attempt was started.
     *
     * @param work the request
     * @param upstream its upstream
     * @param nowNanos current time
     */
    default void recordStart(Work work, Upstream upstream, long nowNanos) {}
}
