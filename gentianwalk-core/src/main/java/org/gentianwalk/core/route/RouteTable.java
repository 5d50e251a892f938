package org.gentianwalk.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** One version of the configuration, indexed for look-ups. Immutable and safe for any thread. */
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
     * @param limits bounds on callers
     * @param teamsByKey the team of each key, or null when requests need no key
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
     * Returns the version.
     *
     * @return version of the configuration
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the bounds on callers.
     *
     * @return the bounds
     */
    public CallerLimits limits() {
        return mLimits;
    }

    /**
     * Finds the route of a request: of those of the host, the one with the longest prefix.
     *
     * @param host host header, with or without a port
     * @param target request target; the query does not count
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
     * Finds a service.
     *
     * @param name its name
     * @return the service, or null when the version has none of that name
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
     * Returns the number of routes.
     *
     * @return routes of this version
     */
    public int routeCount() {
        int count = 0;
        for (Map<String, Route> routes : mRoutes.values()) {
            count += routes.size();
        }
        return count;
    }

    /**
     * Tells whether requests need a key, except on anonymous routes.
     *
     * @return true when the configuration names teams
     */
    public boolean requiresKey() {
        return mHasTeams;
    }

    /**
     * Finds the team of a key.
     *
     * @param key the key
     * @return its team, or null when no team has it
     */
    public @Nullable Team team(String key) {
        return mTeamsByKey.get(key);
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
