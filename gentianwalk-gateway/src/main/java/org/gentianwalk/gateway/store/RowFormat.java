package org.gentianwalk.gateway.store;

import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.route.RouteTable;
import org.jspecify.annotations.Nullable;

/** Names the tables of the shared store and parses their rows. Stateless. */
public interface RowFormat {
    /**
     * Returns the table that holds the configuration.
     *
     * @return name of the table
     */
    String configTable();

    /**
     * Returns the key of the row that holds the configuration.
     *
     * @return the key
     */
    String configKey();

    /**
     * Returns the table in which upstreams register.
     *
     * @return name of the table, whose keys are upstream identifiers
     */
    String upstreamTable();

    /**
     * Parses a configuration.
     *
     * @param value value of its row
     * @return the routing table
     * @throws UnreadableRowException if the value is not a configuration
     */
    RouteTable parseConfiguration(byte[] value) throws UnreadableRowException;

    /**
     * Parses the entry of an upstream.
     *
     * @param id key of its row
     * @param value value of its row
     * @return the upstream
     * @throws UnreadableRowException if the value is not a valid entry
     */
    Upstream parseUpstream(String id, byte[] value) throws UnreadableRowException;

    /**
     * Returns the rows of version rollouts.
     *
     * @return their format, or null when the platform has no rollouts
     */
    default @Nullable RolloutFormat rollouts() {
        return null;
    }
}
