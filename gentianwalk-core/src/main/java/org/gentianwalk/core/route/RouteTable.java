package org.gentianwalk.core.route;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One version of the configuration, indexed for look-ups. Immutable and thread-safe. */
public final class RouteTable {
    private final long mVersion;
    private final Map<String, Map<String, Route>> mRoutes = new HashMap<>();
    private final Map<String, ServiceSpec> mServices = new HashMap<>();
    private final Map<String, Team> mTeamsByKey;
    private final boolean mHasTeams;
    private final CallerLimits mLimits;

    /**
     * Creates a table.
     *
     * @param version version of the configuration
     * @param routes its routes
     * @param services its services
     * @param limits limits on callers
     * @param teamsByKey the team of each API key, or null when requests need no key
     */
    public RouteTable(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            CallerLimits limits,
            @Nullable Map<String, Team> teamsByKey) {
        mVersion = version;
        mLimits = limits;
        mHasTeams = teamsByKey != null;
        mTeamsByKey = teamsByKey == null ? Map.of() : Map.copyOf(teamsByKey);
        for (Route route : routes) {
            mRoutes.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
        for (ServiceSpec service : services) {
            mServices.put(service.name(), service);
        }
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the limits on callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return mLimits;
    }

    /**
     * Finds the route of a request: the one of the host with the longest matching prefix.
     *
     * @param host host header, with or without a port
     * @param target request target; its query is ignored
     * @return the route, or null when none matches
     */
    public @Nullable Route route(String host, String target) {
        Map<String, Route> byPrefix = mRoutes.get(hostName(host));
        if (byPrefix == null) {
            return null;
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    /**
     * Finds a service by its name.
     *
     * @param name the name
     * @return the service, or null when this version has none of that name
     */
    public @Nullable ServiceSpec service(String name) {
        return mServices.get(name);
    }

    /**
     * Returns all services.
     *
     * @return the services of this version
     */
    public Collection<ServiceSpec> services() {
        return mServices.values();
    }

    /**
     * Returns the different latency targets of the routes that lead to a service.
     *
     * @param service name of the service
     * @return the targets, without those of routes that give the service no requests
     */
    public Set<Duration> latencyTargets(String service) {
        Set<Duration> targets = new HashSet<>();
        for (Map<String, Route> byPrefix : mRoutes.values()) {
            for (Route route : byPrefix.values()) {
                boolean leadsThere =
                        route.targets().stream()
                                .anyMatch(t -> t.service().equals(service) && t.weight() > 0);
                if (leadsThere) {
                    targets.add(route.target());
                }
            }
        }
        return targets;
    }

    /**
     * Returns the number of routes.
     *
     * @return the number of routes in this version
     */
    public int routeCount() {
        int count = 0;
        for (Map<String, Route> routes : mRoutes.values()) {
            count += routes.size();
        }
        return count;
    }

    /**
     * Returns whether requests need an API key, except on anonymous routes.
     *
     * @return true when the configuration defines teams
     */
    public boolean requiresKey() {
        return mHasTeams;
    }

    /**
     * Finds the team of an API key.
     *
     * @param key the key
     * @return its team, or null when the key is unknown
     */
    public @Nullable Team team(String key) {
        return mTeamsByKey.get(key);
    }

    /**
     * Returns the teams that have an API key.
     *
     * @return the teams of this version
     */
    public Set<Team> teams() {
        return Set.copyOf(mTeamsByKey.values());
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
