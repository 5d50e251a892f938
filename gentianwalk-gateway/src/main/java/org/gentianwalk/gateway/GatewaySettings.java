package org.gentianwalk.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.gentianwalk.core.dispatch.LocationMap;
import org.gentianwalk.core.dispatch.RetryBounds;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an instance.
 *
 * @param name its name, unique in the fleet
 * @param locations where it runs, and the zones around it
 * @param callers address on which callers are served
 * @param readiness address on which the balancer asks for readiness
 * @param metrics address on which metrics are served, or null for none
 * @param store address of the shared store
 * @param retries the fleet's bounds on further attempts
 * @param stopGrace time from the request to stop until the process is killed
 */
public record GatewaySettings(
        String name,
        LocationMap locations,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        @Nullable InetSocketAddress metrics,
        String store,
        RetryBounds retries,
        Duration stopGrace) {}
