package org.gentianwalk.core.hash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.gentianwalk.core.model.Location;

/**
 * Rendezvous hashing over a fixed set of members: all, those of a region or those of an
 * availability zone. Immutable and thread-safe.
 *
 * <p>When a member joins or leaves, only the keys assigned to it move. The ranking depends only on
 * the member identifiers, so every instance with the same members computes the same order.
 *
 * <p>Example: {@code new Rendezvous<>(members, Member::id, Member::location).topOfZone("tbilisi-a",
 * key.toString(), 2)}.
 *
 * @param <T> the type of the members
 */
public final class Rendezvous<T> {
    private final List<Entry<T>> mEntries;
    private final Map<String, SortedMap<String, List<Entry<T>>>> mByRegion = new TreeMap<>();

    /**
     * Builds the table.
     *
     * @param members the members, without duplicates
     * @param id returns the identifier of a member
     * @param location returns the location of a member
     */
    public Rendezvous(
            Collection<T> members, Function<T, String> id, Function<T, Location> location) {
        List<Entry<T>> entries = new ArrayList<>(members.size());
        for (T member : members) {
            Entry<T> entry = new Entry<>(member, id.apply(member), KeyHash.of(id.apply(member)));
            entries.add(entry);
            Location memberLocation = location.apply(member);
            mByRegion
                    .computeIfAbsent(memberLocation.region(), region -> new TreeMap<>())
                    .computeIfAbsent(memberLocation.availabilityZone(), zone -> new ArrayList<>())
                    .add(entry);
        }
        mEntries = List.copyOf(entries);
    }

    /**
     * Ranks all members for a key.
     *
     * @param key the key
     * @param count maximum number of members to return
     * @return the highest-ranked members, best first
     */
    public List<T> top(String key, int count) {
        return topRanked(mEntries, KeyHash.of(key), count);
    }

    /**
     * Ranks the members of one availability zone for a key.
     *
     * @param zone the availability zone
     * @param key the key
     * @param count maximum number of members to return
     * @return the highest-ranked members, best first; empty for an unknown zone
     */
    public List<T> topOfZone(String zone, String key, int count) {
        for (SortedMap<String, List<Entry<T>>> zones : mByRegion.values()) {
            List<Entry<T>> entries = zones.get(zone);
            if (entries != null) {
                return topRanked(entries, KeyHash.of(key), count);
            }
        }
        return List.of();
    }

    /**
     * Ranks the members of one region for a key.
     *
     * @param region the region
     * @param key the key
     * @param count maximum number of members to return
     * @return the highest-ranked members, best first; empty for an unknown region
     */
    public List<T> topOfRegion(String region, String key, int count) {
        List<Entry<T>> entries = new ArrayList<>();
        mByRegion.getOrDefault(region, new TreeMap<>()).values().forEach(entries::addAll);
        return topRanked(entries, KeyHash.of(key), count);
    }

    /**
     * Ranks the availability zones of a region for a key.
     *
     * @param region the region
     * @param key the key
     * @return the zones with at least one member, best first
     */
    public List<String> zones(String region, String key) {
        long digest = KeyHash.of(key);
        List<Entry<String>> zones = new ArrayList<>();
        for (String zone : mByRegion.getOrDefault(region, new TreeMap<>()).keySet()) {
            zones.add(new Entry<>(zone, zone, KeyHash.of(zone)));
        }
        return topRanked(zones, digest, zones.size());
    }

    /**
     * Returns the regions.
     *
     * @return the regions with at least one member, sorted by name
     */
    public List<String> regions() {
        return List.copyOf(mByRegion.keySet());
    }

    private static <E> List<E> topRanked(List<Entry<E>> entries, long key, int count) {
        if (count <= 0 || entries.isEmpty()) {
            return List.of();
        }
        Comparator<Scored<E>> worstFirst =
                Comparator.<Scored<E>>comparingLong(Scored::score)
                        .thenComparing(scored -> scored.entry().id(), Comparator.reverseOrder());
        PriorityQueue<Scored<E>> top = new PriorityQueue<>(worstFirst);
        for (Entry<E> entry : entries) {
            top.add(new Scored<>(entry, KeyHash.score(key, entry.digest())));
            if (top.size() > count) {
                top.poll();
            }
        }
        List<Scored<E>> sorted = new ArrayList<>(top);
        sorted.sort(worstFirst.reversed());
        List<E> members = new ArrayList<>(sorted.size());
        for (Scored<E> scored : sorted) {
            members.add(scored.entry().member());
        }
        return members;
    }

    private record Entry<E>(E member, String id, long digest) {}

    private record Scored<E>(Entry<E> entry, long score) {}
}
