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
 * Detects the failure of a zone: the loss of more than two of its engines within one second. Such
 * losses are not attributed to requests.
 */
public final class ZoneLosses {
    /** Time window in which losses are counted together, nanoseconds. */
    public static final long WINDOW_NANOS = 1_000_000_000L;

    /** Maximum number of lost engines that do not count as the failure of the zone. */
    private static final int MAX_INDEPENDENT_LOSSES = 2;

    /**
     * Time within which two losses of an engine are reports of the same loss. Other instances
     * repeat their reports with each message.
     */
    private static final long SAME_LOSS_NANOS = WINDOW_NANOS / 4;

    private static final long RETENTION_NANOS = 10 * WINDOW_NANOS;

    private final Map<String, Deque<EngineLoss>> mLost = new HashMap<>();

    /**
     * Records a loss.
     *
     * @param zone the engine's zone
     * @param engine hash of the engine's identifier
     * @param atNanos time of the loss
     */
    public void recordLoss(String zone, int engine, long atNanos) {
        Deque<EngineLoss> lost = mLost.computeIfAbsent(zone, name -> new ArrayDeque<>());
        while (!lost.isEmpty() && atNanos - lost.getFirst().atNanos() > RETENTION_NANOS) {
            lost.removeFirst();
        }
        for (EngineLoss known : lost) {
            if (known.engine() == engine
                    && Math.abs(known.atNanos() - atNanos) <= SAME_LOSS_NANOS) {
                return;
            }
        }
        lost.addLast(new EngineLoss(engine, atNanos));
    }

    /** Returns the number of losses kept. */
    int size() {
        return mLost.values().stream().mapToInt(Deque::size).sum();
    }

    /**
     * Returns whether a loss is part of a zone's failure.
     *
     * @param zone the zone
     * @param atNanos time of the loss
     * @return true when a window of one second that starts within one second of the loss contains
     *     more than two engines
     */
    public boolean isZoneFailure(String zone, long atNanos) {
        return isZoneFailure(zone, atNanos, Set.of());
    }

    /**
     * Returns whether a loss under a request is part of a zone's failure, which engines show that
     * were not lost under the request. It may have ended several itself within a second.
     *
     * @param zone the zone
     * @param atNanos time of the loss
     * @param requestEngines hashes of the engines that were lost under the request
     * @return true when a window of one second that starts within one second of the loss contains
     *     more than two engines, at least one of which was not lost under the request
     */
    boolean isZoneFailure(String zone, long atNanos, Set<Integer> requestEngines) {
        if (zone.isEmpty()) {
            return false;
        }
        List<EngineLoss> near = new ArrayList<>();
        for (EngineLoss lost : mLost.getOrDefault(zone, new ArrayDeque<>())) {
            if (Math.abs(lost.atNanos() - atNanos) <= WINDOW_NANOS) {
                near.add(lost);
            }
        }
        for (EngineLoss first : near) {
            Set<Integer> engines = new HashSet<>();
            for (EngineLoss lost : near) {
                long later = lost.atNanos() - first.atNanos();
                if (later >= 0 && later <= WINDOW_NANOS) {
                    engines.add(lost.engine());
                }
            }
            if (engines.size() > MAX_INDEPENDENT_LOSSES && !requestEngines.containsAll(engines)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the time of the latest loss that is part of a failure of the zone.
     *
     * @param zone the zone
     * @return time of the loss, or empty when no recent failure is known
     */
    public OptionalLong lastFailure(String zone) {
        Deque<EngineLoss> lost = mLost.getOrDefault(zone, new ArrayDeque<>());
        Iterator<EngineLoss> latestFirst = lost.descendingIterator();
        while (latestFirst.hasNext()) {
            long at = latestFirst.next().atNanos();
            if (isZoneFailure(zone, at)) {
                return OptionalLong.of(at);
            }
        }
        return OptionalLong.empty();
    }

    private record EngineLoss(int engine, long atNanos) {}
}
