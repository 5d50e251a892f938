package org.gentianwalk.gateway.fleet;

import java.util.Collection;
import java.util.List;
import org.gentianwalk.core.dispatch.InstanceLoad;

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
     * Discards the reports of all instances but the given ones.
     *
     * @param instances the other live instances with their incarnations, as in {@link
     *     #recordPeerLoads}
     */
    void retainPeers(Collection<String> instances);
}
