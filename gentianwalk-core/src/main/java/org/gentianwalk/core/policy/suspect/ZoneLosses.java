package org.gentianwalk.core.policy.suspect;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Recognizes the loss of a zone: more than two of its engines lost within one second. Such losses
 * are no request's fault.
 */
public final class ZoneLosses {
    /** Time within which losses count together, nanoseconds. */
    public static final long WINDOW_NANOS = 1_000_000_000L;

    /** More lost engines than this mean a zone's failure. */
    private static final int MAX_SINGLE_LOSSES = 2;

    private static final long KEPT_NANOS = 10 * WINDOW_NANOS;

    private final Map<String, Deque<Lost>> mLost = new HashMap<>();

    /**
     * Records a loss.
     *
     * @param zone the engine's zone
     * @param engine the engine
     * @param atNanos time of the loss
     */
    public void lost(String zone, int engine, long atNanos) {
        Deque<Lost> lost = mLost.computeIfAbsent(zone, name -> new ArrayDeque<>());
        while (!lost.isEmpty() && atNanos - lost.getFirst().atNanos() > KEPT_NANOS) {
            lost.removeFirst();
        }
        lost.addLast(new Lost(engine, atNanos));
    }

    /**
     * Tells whether a loss belongs to a zone's failure.
     *
     * @param zone the zone
     * @param atNanos time of the loss
     * @return true when any window of one second around it holds more than two engines
     */
    public boolean isZoneFailure(String zone, long atNanos) {
        if (zone.isEmpty()) {
            return false;
        }
        List<Lost> near = new ArrayList<>();
        for (Lost lost : mLost.getOrDefault(zone, new ArrayDeque<>())) {
            if (Math.abs(lost.atNanos() - atNanos) <= WINDOW_NANOS) {
                near.add(lost);
            }
        }
        for (Lost first : near) {
            Set<Integer> engines = new HashSet<>();
            for (Lost lost : near) {
                long later = lost.atNanos() - first.atNanos();
                if (later >= 0 && later <= WINDOW_NANOS) {
                    engines.add(lost.engine());
                }
            }
            if (engines.size() > MAX_SINGLE_LOSSES) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the time of the latest loss that belongs to a failure of the zone.
     *
     * @param zone the zone
     * @return time of the loss, or empty when no failure is remembered
     */
    public OptionalLong lastFailure(String zone) {
        Deque<Lost> lost = mLost.getOrDefault(zone, new ArrayDeque<>());
        Iterator<Lost> latestFirst = lost.descendingIterator();
        while (latestFirst.hasNext()) {
            long at = latestFirst.next().atNanos();
            if (isZoneFailure(zone, at)) {
                return OptionalLong.of(at);
            }
        }
        return OptionalLong.empty();
    }

    private record Lost(int engine, long atNanos) {}
}
