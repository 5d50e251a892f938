package org.gentianwalk.gateway.fleet;

import java.util.List;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.PeerView;
import org.gentianwalk.core.dispatch.StatedLimit;
import org.gentianwalk.core.rollout.RolloutReport;

/**
 * Supplies the load of this instance and receives that of the other instances. Called on the
 * control thread.
 */
public interface LoadListener {
    /**
     * Returns a counter that increases with each change of this instance's load.
     *
     * @return the counter
     */
    long loadChanges();

    /**
     * Returns the load of this instance.
     *
     * @return one report for each service
     */
    List<InstanceLoad> loads();

    /**
     * Records the load of another instance, which replaces its previous reports.
     *
     * @param instance the instance and its incarnation
     * @param loads its reports, one for each service
     */
    void recordPeerLoads(String instance, List<InstanceLoad> loads);

    /**
     * Returns the limits that upstreams have stated to this instance lately.
     *
     * @return the statements to report
     */
    List<StatedLimit> statedLimits();

    /**
     * Records the limits that upstreams have stated to another instance.
     *
     * @param limits its latest statements
     */
    void recordPeerLimits(List<StatedLimit> limits);

    /**
     * Returns the upstream processes that have announced their end to this instance lately.
     *
     * @return identifiers of the processes
     */
    List<String> leavingProcesses();

    /**
     * Records the upstream processes that have announced their end to another instance.
     *
     * @param processes identifiers of the processes
     */
    void recordPeerLeaving(List<String> processes);

    /**
     * Returns what this instance has observed of version rollouts.
     *
     * @return one report for each rollout
     */
    default List<RolloutReport> rollouts() {
        return List.of();
    }

    /**
     * Records what another instance has observed of version rollouts.
     *
     * @param instance the instance and its incarnation
     * @param reports its reports, one for each rollout
     */
    default void recordPeerRollouts(String instance, List<RolloutReport> reports) {
        // Without rollouts there is nothing to record.
    }

    /**
     * Updates the live instances; reports of others are discarded.
     *
     * @param peers the live instances, named as in {@link #recordPeerLoads}
     */
    void updatePeers(PeerView peers);
}
