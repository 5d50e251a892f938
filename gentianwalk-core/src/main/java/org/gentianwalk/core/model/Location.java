package org.gentianwalk.core.model;

/**
 * Location of an instance or an upstream.
 *
 * @param region name of the region
 * @param availabilityZone name of the availability zone, unique across regions
 */
public record Location(String region, String availabilityZone) {
    /** Network distance classes, nearest first. */
    public enum Distance {
        SAME_ZONE,
        SAME_REGION,
        OTHER_REGION
    }

    public Location {
        if (region.isEmpty() || availabilityZone.isEmpty()) {
            throw new IllegalArgumentException("region and availability zone must not be empty");
        }
    }

    /**
     * Returns the distance class to another location.
     *
     * @param other the other location
     * @return the distance class
     */
    public Distance distanceTo(Location other) {
        if (!region.equals(other.region)) {
            return Distance.OTHER_REGION;
        }
        return availabilityZone.equals(other.availabilityZone)
                ? Distance.SAME_ZONE
                : Distance.SAME_REGION;
    }
}
