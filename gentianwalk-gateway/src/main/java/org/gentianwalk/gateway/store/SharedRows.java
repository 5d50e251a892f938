package org.gentianwalk.gateway.store;

import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.route.RouteTable;

/** Names and reads the rows that the platform and the upstreams write. Holds no state. */
public interface SharedRows {
    /**
     * Returns where the configuration lies.
     *
     * @return name of its table
     */
    String configTable();

    /**
     * Returns which row holds the configuration.
     *
     * @return key of the row
     */
    String configKey();

    /**
     * Returns where upstreams register.
     *
     * @return name of the table, whose keys are upstream identifiers
     */
    String upstreamTable();

    /**
     * Reads a configuration.
     *
     * @param value value of its row
     * @return the routing table
     * @throws UnreadableRowException if the value is not a configuration
     */
    RouteTable configuration(byte[] value) throws UnreadableRowException;

    /**
     * Reads an upstream's entry.
     *
     * @param id key of its row
     * @param value value of its row
     * @return the upstream
     * @throws UnreadableRowException if the value names no upstream that can be used
     */
    Upstream upstream(String id, byte[] value) throws UnreadableRowException;
}
