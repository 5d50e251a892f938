package org.gentianwalk.gateway.fleet;

import java.util.Collection;
import java.util.List;
import org.gentianwalk.core.dispatch.InstanceLoad;

/** The control plane as the exchange of load uses it. Called on the control thread. */
public interface LoadListener {
    /**
     * Returns a number that rises with each change of the shares.
     *
     * @return the number
     */
    long shareChanges();

    /**
     * Returns this instance's shares.
     *
     * @return one for each service
     */
    List<InstanceLoad> shares();

    /**
     * Takes in another instance's shares.
     *
     * @param instance the instance and its incarnation
     * @param shares its shares
     */
    void peerShares(String instance, List<InstanceLoad> shares);

    /**
     * Tells which other instances live.
     *
     * @param instances the instances with their incarnations, as in {@link #peerShares}
     */
    void peers(Collection<String> instances);
}
