package org.gentianwalk.core.dispatch;

import java.util.Map;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Location.Distance;

/**
 * Distances from this instance to availability zones.
 *
 * @param own location of this instance
 * @param regions the region of each availability zone
 */
public record LocationMap(Location own, Map<String, String> regions) {
    public LocationMap {
        regions = Map.copyOf(regions);
    }

    /**
     * Returns the region of a zone.
     *
     * @param zone the zone
     * @return its region, or an empty string when the zone is not in the map
     */
    public String region(String zone) {
        return regions.getOrDefault(zone, "");
    }

    /**
     * Returns the distance to a zone.
     *
     * @param zone the zone; one that is not in the map counts as another region
     * @return the distance class
     */
    public Distance distance(String zone) {
        String region = regions.get(zone);
        if (region == null) {
            return Distance.OTHER_REGION;
        }
        return own.distanceTo(new Location(region, zone));
    }
}
