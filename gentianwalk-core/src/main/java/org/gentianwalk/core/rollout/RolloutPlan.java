package org.gentianwalk.core.rollout;

import java.util.List;
import java.util.Set;
import org.gentianwalk.core.dispatch.PeerView;

/**
 * Decides on one rollout order for one instance, from the instance's own observations and the
 * cumulative counters of the others. Not safe for use by several threads at once.
 */
public final class RolloutPlan {
    private final RolloutOrder order;
    private final ExposureLimits limits;
    private RolloutPhase phase = RolloutPhase.OBSERVING;

    /**
     * Creates a plan that observes.
     *
     * @param order the order
     * @param limits bounds on the requests that the new version may get while it is observed
     */
    public RolloutPlan(RolloutOrder order, ExposureLimits limits) {
        this.order = order;
        this.limits = limits;
    }

    /**
     * Returns the order that this plan decides on.
     *
     * @return the order
     */
    public RolloutOrder order() {
        return order;
    }

    /**
     * Sets the live instances, which share the slack of the exposure.
     *
     * @param peers the live instances
     */
    public void updatePeers(PeerView peers) {}

    /**
     * Records that a request for the service arrived at this instance, once per request and not per
     * attempt.
     *
     * @param nowNanos monotonic time of the arrival
     */
    public void recordRequest(long nowNanos) {}

    /**
     * Returns whether a new attempt may go to a version now. Changes nothing.
     *
     * @param route name of the request's route
     * @param newVersion true for the version of the order, false for any other
     * @param retry whether the request has had an attempt before
     * @param nowNanos monotonic time of the decision
     * @return false when the attempt has to go to the other version
     */
    public boolean mayStart(String route, boolean newVersion, boolean retry, long nowNanos) {
        return !newVersion;
    }

    /**
     * Records the start of an attempt, before it is sent. Attempts that run when the plan is
     * created have none.
     *
     * @param route name of the request's route
     * @param newVersion version of the upstream
     * @param nowNanos monotonic time of the start
     */
    public void recordStart(String route, boolean newVersion, long nowNanos) {}

    /**
     * Records the time to the first output of an attempt that still runs. The end of this attempt
     * then states no time to the first output.
     *
     * @param route name of the request's route
     * @param newVersion version of the upstream
     * @param firstNanos time from the start of the attempt to the first output
     * @param nowNanos monotonic time of the first output
     */
    public void recordFirst(String route, boolean newVersion, long firstNanos, long nowNanos) {}

    /**
     * Records the end of an attempt by an answer or by a failure of the upstream. An attempt that
     * the caller or the scheduler ended is not recorded.
     *
     * @param route name of the request's route
     * @param newVersion version of the upstream
     * @param failed whether the upstream failed
     * @param firstNanos time to the first output; negative when not known or recorded before
     * @param totalNanos duration of the attempt; negative when not known or not comparable, as that
     *     of a resumed stream
     * @param nowNanos monotonic time of the end
     */
    public void recordAnswer(
            String route,
            boolean newVersion,
            boolean failed,
            long firstNanos,
            long totalNanos,
            long nowNanos) {}

    /**
     * Sets the number of this instance's attempts that run at upstreams of other versions.
     *
     * @param running the number
     */
    public void recordOldAttempts(int running) {}

    /**
     * Takes over the newest report of another instance. A report on another order, or one that is
     * older than the one known, is ignored.
     *
     * @param instance identifier of the other instance
     * @param report its report
     * @param nowNanos monotonic time of the receipt
     */
    public void mergePeer(String instance, RolloutReport report, long nowNanos) {}

    /**
     * Keeps the number of old attempts only of these other instances. The evidence of instances
     * that are gone is kept.
     *
     * @param instances identifiers of the live instances
     */
    public void retainPeers(Set<String> instances) {}

    /**
     * Returns what this instance has observed.
     *
     * @return the report for the other instances
     */
    public RolloutReport report() {
        return new RolloutReport(
                order.service(), order.era(), order.revision(), 0, 0, false, List.of());
    }

    /**
     * Advances the phase. Never enters {@link RolloutPhase#COMPLETED}, which only the status row
     * does.
     *
     * @param nowNanos current monotonic time
     */
    public void advance(long nowNanos) {}

    /**
     * Returns the phase.
     *
     * @return the phase as of the last {@link #advance} or {@link #follow}
     */
    public RolloutPhase phase() {
        return phase;
    }

    /**
     * Returns whether the status row may be set to completed: all attempts go to the new version,
     * none runs at an old upstream of any live instance, and the evidence suffices.
     *
     * @param nowNanos current monotonic time
     * @return true when completing is allowed
     */
    public boolean isReadyToComplete(long nowNanos) {
        return false;
    }

    /**
     * Returns whether the new version is found bad, or the time limit has passed, or the order was
     * withdrawn, so that the status row is to be set to rolled back.
     *
     * @return true when the new version gets no further attempt by this instance's decision
     */
    public boolean isRejected() {
        return phase == RolloutPhase.ROLLED_BACK;
    }

    /**
     * Returns whether running streams at old upstreams are to be moved now.
     *
     * @param nowNanos current monotonic time
     * @return true shortly before the time limit while moving
     */
    public boolean movesStreams(long nowNanos) {
        return false;
    }

    /**
     * Follows the final state of the status row, which overrides this instance's own decision.
     *
     * @param finalPhase {@link RolloutPhase#COMPLETED} or {@link RolloutPhase#ROLLED_BACK}
     */
    public void follow(RolloutPhase finalPhase) {
        phase = finalPhase;
    }

    /** Ends the rollout because its order was withdrawn or replaced. */
    public void withdraw() {
        if (!phase.isFinal()) {
            phase = RolloutPhase.ROLLED_BACK;
        }
    }

    /**
     * Sets whether the store can be read. While it can't, observing does not change to moving.
     *
     * @param reachable whether the last access to the store succeeded
     */
    public void updateStore(boolean reachable) {}

    /**
     * Returns the reason for the phase, for the log.
     *
     * @return counts, failure rates and test statistics
     */
    public String explanation() {
        return "";
    }

    /**
     * Returns the evidence of all instances, to be kept for a restart.
     *
     * @return one report with the sums of all instances
     */
    public RolloutReport evidenceToKeep() {
        return report();
    }

    /**
     * Takes over evidence kept before a restart of all instances. Evidence on another order is
     * ignored.
     *
     * @param kept the evidence
     */
    public void restore(RolloutReport kept) {}
}
