package org.gentianwalk.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A service of the configuration.
 *
 * @param name its name
 * @param healthPath path of the health check of its upstreams
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param engine properties of its model engines, or null for a plain service
 */
public record ServiceSpec(
        String name, String healthPath, int maxConnections, @Nullable EngineSpec engine) {}
