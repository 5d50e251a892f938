package org.gentianwalk.bench.fleet;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Properties of a simulated deployment.
 *
 * @param name name of the deployment
 * @param zones the region of each availability zone
 * @param instances number of instances per zone
 * @param engines number of model engines per zone
 * @param engine properties of the engines
 * @param kinds the kinds of request
 * @param zoneMillis one-way latency between zones of a region, milliseconds
 * @param regionMillis one-way latency between regions, milliseconds
 * @param groupSize mean number of requests that arrive at the same moment, at different instances
 */
public record FleetTraits(
        String name,
        Map<String, String> zones,
        int instances,
        int engines,
        EngineTraits engine,
        List<Kind> kinds,
        double zoneMillis,
        double regionMillis,
        double groupSize) {
    private static final Map<String, String> SIX_ZONES =
            Map.of("a", "near", "b", "far", "c", "near", "d", "far", "e", "near", "f", "far");

    /** Groups of three requests, most of which are plain calls. */
    private static final double GENERATIONS_IN_GROUP = 1.4;

    private static final EngineTraits.Noise SHARED_MACHINES =
            new EngineTraits.Noise(0.15, 2.5, 600);

    public FleetTraits {
        zones = Map.copyOf(zones);
        kinds = List.copyOf(kinds);
    }

    /**
     * A kind of request.
     *
     * @param name name of the kind
     * @param priority rank, 0 is the most urgent
     * @param perSecond requests per second across the fleet
     * @param targetMillis maximum time to the first event of an answer on time, milliseconds
     * @param pauseMillis maximum gap between events of an answer on time, milliseconds
     * @param deadlineMillis how long a caller waits for the complete answer, milliseconds
     * @param worth value of an answer on time
     * @param lateWorth value of a late answer
     */
    public record Kind(
            String name,
            int priority,
            double perSecond,
            long targetMillis,
            long pauseMillis,
            long deadlineMillis,
            double worth,
            double lateWorth) {}

    /**
     * Returns the deployment with another size of groups.
     *
     * @param size mean number of requests that arrive at the same moment
     * @return the deployment
     */
    FleetTraits withGroupSize(double size) {
        return new FleetTraits(
                name, zones, instances, engines, engine, kinds, zoneMillis, regionMillis, size);
    }

    /**
     * Returns the region of a zone.
     *
     * @param zone the zone
     * @return the region
     */
    String region(String zone) {
        return Objects.requireNonNull(zones.get(zone), zone);
    }

    /**
     * Returns all deployments.
     *
     * @return the deployments, the small ones first
     */
    public static List<FleetTraits> all() {
        return List.of(kvali(), vanDaele(), zarqa(), kvaliGrown(), vanDaeleGrown(), zarqaGrown());
    }

    /**
     * Returns the deployment of the laundrette scheme, whose engines share machines with other
     * work.
     *
     * @return nine instances and 12 engines in three zones
     */
    public static FleetTraits zarqa() {
        return new FleetTraits(
                "zarqa",
                Map.of("a", "near", "b", "far", "c", "near"),
                3,
                4,
                new EngineTraits(64, 192, 88_000, 9, 3.03, 0.121, 8, 200, SHARED_MACHINES),
                List.of(
                        new Kind("digest", 1, 0.984, 4_500, 700, 25_000, 45, 1.3),
                        new Kind("complaint", 1, 1.21, 4_500, 700, 25_000, 45, 1.3),
                        new Kind("refund", 1, 0.411, 4_500, 700, 25_000, 45, 1.3)),
                1.4,
                12,
                GENERATIONS_IN_GROUP);
    }

    /**
     * Returns the enlarged deployment of the laundrette scheme.
     *
     * @return 60 instances and 126 engines in six zones
     */
    public static FleetTraits zarqaGrown() {
        return new FleetTraits(
                "zarqa-grown",
                SIX_ZONES,
                10,
                21,
                new EngineTraits(16, 48, 88_000, 9, 3.03, 0.121, 8, 200, SHARED_MACHINES),
                List.of(
                        new Kind("digest", 1, 11.3, 4_513, 700, 25_074, 40, 1.2),
                        new Kind("complaint", 1, 13.4, 4_513, 700, 25_074, 40, 1.2),
                        new Kind("refund", 1, 2.95, 4_513, 700, 25_074, 40, 1.2)),
                0.9,
                12,
                GENERATIONS_IN_GROUP);
    }

    /**
     * Returns the enlarged deployment of the catalogue consortium.
     *
     * @return 66 instances and 84 engines in six zones
     */
    public static FleetTraits kvaliGrown() {
        return new FleetTraits(
                "kvali-grown",
                SIX_ZONES,
                11,
                14,
                new EngineTraits(16, 33, 88_000, 6, 5.18, 0.0367, 8, 200),
                List.of(
                        new Kind("quote", 0, 2.05, 4_000, 700, 25_000, 140, 1.8),
                        new Kind("refresh", 2, 17.6, 10_000, 700, 25_000, 38, 1.7)),
                0.9,
                12,
                1);
    }

    /**
     * Returns the enlarged deployment of the renewal desk.
     *
     * @return 78 instances and 78 engines in six zones
     */
    public static FleetTraits vanDaeleGrown() {
        return new FleetTraits(
                "daele-grown",
                SIX_ZONES,
                13,
                13,
                new EngineTraits(12, 33, 88_000, 9, 3.37, 0.0367, 8, 200),
                List.of(
                        new Kind("renewal", 0, 1.89, 4_000, 700, 25_000, 160, 1.9),
                        new Kind("amendment", 2, 16.4, 10_000, 700, 25_000, 42, 1.9)),
                1.4,
                12,
                1);
    }

    /**
     * Returns the deployment of the catalogue consortium.
     *
     * @return nine instances and 24 engines in three zones
     */
    public static FleetTraits kvali() {
        return new FleetTraits(
                "kvali",
                Map.of("a", "near", "b", "near", "c", "far"),
                3,
                8,
                new EngineTraits(16, 33, 88_000, 6, 5.18, 0.0367, 8, 200),
                List.of(
                        new Kind("quote", 0, 0.62, 4_000, 700, 25_000, 140, 1.8),
                        new Kind("refresh", 2, 5.28, 10_000, 700, 25_000, 38, 1.7)),
                1.4,
                12,
                1);
    }

    /**
     * Returns the deployment of the renewal desk.
     *
     * @return six instances and 17 engines in three zones
     */
    public static FleetTraits vanDaele() {
        return new FleetTraits(
                "van-daele",
                Map.of("a", "near", "b", "near", "c", "far"),
                2,
                6,
                new EngineTraits(24, 33, 88_000, 9, 3.37, 0.0367, 8, 200),
                List.of(
                        new Kind("renewal", 0, 0.294, 4_000, 700, 25_000, 240, 2.9),
                        new Kind("amendment", 2, 3.64, 10_000, 700, 25_000, 64, 2.9)),
                1.4,
                12,
                1);
    }
}
