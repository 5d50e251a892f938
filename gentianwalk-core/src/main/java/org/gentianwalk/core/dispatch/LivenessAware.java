package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.List;

/**
 * A scheduler that has engines checked before it treats missing output as a loss. An engine that
 * prefills a prompt on a slow machine produces no output for as long as a lost one, but still
 * responds to a check.
 */
public interface LivenessAware {
    /**
     * Returns the checks to make, each once. The result is passed to {@link #recordLivenessCheck}.
     *
     * @return the checks; usually empty
     */
    List<LivenessCheck> takeLivenessChecks();

    /**
     * Records the result of a check.
     *
     * @param engine the engine that was checked
     * @param responded true when it sent any response within the timeout
     * @param nowNanos current time
     */
    void recordLivenessCheck(Upstream engine, boolean responded, long nowNanos);

    /**
     * Records that a check has shown that the process has ended: nothing listens at its address, or
     * another process does. Takes the place of {@link #recordLivenessCheck}.
     *
     * @param engine the engine that was checked
     * @param nowNanos current time
     */
    default void recordProcessEnd(Upstream engine, long nowNanos) {
        recordLivenessCheck(engine, false, nowNanos);
    }

    /**
     * Records that a check was answered by a process that was started later at the address of the
     * one that was checked, whose entry is out of date. Takes the place of {@link
     * #recordLivenessCheck}.
     *
     * @param engine the engine that was checked
     * @param incarnation start of the process that answered, as {@link Upstream#incarnation}
     * @param nowNanos current time
     */
    default void recordLaterStart(Upstream engine, long incarnation, long nowNanos) {
        recordProcessEnd(engine, nowNanos);
    }

    /**
     * A check to make.
     *
     * @param engine the engine
     * @param timeout time within which a live engine responds
     */
    record LivenessCheck(Upstream engine, Duration timeout) {}
}
