package org.gentianwalk.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A service of the configuration.
 *
 * @param name name of the service
 * @param healthPath path of the health check of its upstreams
 * @param maxConnections maximum number of connections to one upstream from all of its clients
 * @param engine properties of its model engines, or null for a plain service
 */
public record ServiceSpec(
        String name, String healthPath, int maxConnections, @Nullable EngineSpec engine) {}
