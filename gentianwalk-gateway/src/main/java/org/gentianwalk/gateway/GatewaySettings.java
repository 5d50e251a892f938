package org.gentianwalk.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.gentianwalk.core.dispatch.LocationMap;
import org.gentianwalk.core.dispatch.PlacementPolicy;
import org.gentianwalk.core.dispatch.RetryBounds;
import org.gentianwalk.core.rollout.ExposureLimits;
import org.gentianwalk.server.mesh.MeshKey;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an instance.
 *
 * @param name its name, unique in the fleet
 * @param locations its location, and the regions of all zones
 * @param callers address on which callers are served
 * @param readiness address on which the readiness check is served
 * @param metrics address on which metrics are served, or null for none
 * @param mesh address and keys of the mesh between instances
 * @param store address of the shared store
 * @param retries the fleet's bounds on retries
 * @param configChange time within which a new configuration must be in force
 * @param upstreamChange time within which a change in the list of upstreams must be in force
 * @param stopGrace time from the request to stop until the process is killed
 * @param logLevel minimum level of the lines that are logged
 * @param ordersByTarget whether waiting generations of every service are ordered by their targets
 * @param placement how the upstreams of requests are selected
 * @param exposure bounds of version rollouts, or null when rollouts are not handled
 */
public record GatewaySettings(
        String name,
        LocationMap locations,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        @Nullable InetSocketAddress metrics,
        Mesh mesh,
        String store,
        RetryBounds retries,
        Duration configChange,
        Duration upstreamChange,
        Duration stopGrace,
        String logLevel,
        boolean ordersByTarget,
        PlacementPolicy.Kind placement,
        @Nullable ExposureLimits exposure) {
    /**
     * Creates settings with the default order of waiting generations and placement policy, of an
     * instance that does not handle version rollouts.
     *
     * @param name its name, unique in the fleet
     * @param locations its location, and the regions of all zones
     * @param callers address on which callers are served
     * @param readiness address on which the readiness check is served
     * @param metrics address on which metrics are served, or null for none
     * @param mesh address and keys of the mesh between instances
     * @param store address of the shared store
     * @param retries the fleet's bounds on retries
     * @param configChange time within which a new configuration must be in force
     * @param upstreamChange time within which a change in the list of upstreams must be in force
     * @param stopGrace time from the request to stop until the process is killed
     * @param logLevel minimum level of the lines that are logged
     */
    public GatewaySettings(
            String name,
            LocationMap locations,
            InetSocketAddress callers,
            InetSocketAddress readiness,
            @Nullable InetSocketAddress metrics,
            Mesh mesh,
            String store,
            RetryBounds retries,
            Duration configChange,
            Duration upstreamChange,
            Duration stopGrace,
            String logLevel) {
        this(
                name,
                locations,
                callers,
                readiness,
                metrics,
                mesh,
                store,
                retries,
                configChange,
                upstreamChange,
                stopGrace,
                logLevel,
                false,
                PlacementPolicy.Kind.LOWEST_COST,
                null);
    }

    /**
     * Settings of the mesh between instances.
     *
     * @param address address on which the other instances reach this one
     * @param keys keys shared by all instances, the signing one first
     */
    public record Mesh(InetSocketAddress address, List<MeshKey> keys) {
        public Mesh {
            keys = List.copyOf(keys);
        }
    }
}
