package org.gentianwalk.bench.fleet;

import org.gentianwalk.bench.clock.VirtualClock;

/** Patterns of the days that fleets have to live through. */
public final class Patterns {
    private Patterns() {}

    /**
     * Nine of ten engines of one zone after the other crash again and again.
     *
     * @param firstMillis time of the first crash
     * @param periodMillis time between two
     * @param downMillis how long engines are away
     * @return the pattern; every second crash is silent, without a reset of connections
     */
    public static Pattern zoneCrashes(long firstMillis, long periodMillis, long downMillis) {
        return model -> {
            int wave = 0;
            for (long at = firstMillis; at < model.endMillis(); at += periodMillis) {
                int zone = wave;
                boolean silent = wave % 2 == 1;
                model.clock()
                        .at(
                                at * VirtualClock.MILLI,
                                () -> model.crashZone(zone, 0.92, downMillis, silent));
                wave++;
            }
        };
    }

    /**
     * One kind of request comes more often for a time.
     *
     * @param kind index of the kind
     * @param factor how much more often
     * @param fromMillis start
     * @param toMillis end
     * @return the pattern
     */
    public static Pattern burst(int kind, double factor, long fromMillis, long toMillis) {
        return model -> model.burst(kind, factor, fromMillis, toMillis);
    }

    /**
     * Some engines take longer for each step.
     *
     * @param share part of the engines
     * @param factor how much longer
     * @param fromMillis start
     * @param toMillis end
     * @return the pattern
     */
    public static Pattern slowEngines(double share, double factor, long fromMillis, long toMillis) {
        return model -> {
            model.clock().at(fromMillis * VirtualClock.MILLI, () -> model.slowness(share, factor));
            model.clock().at(toMillis * VirtualClock.MILLI, () -> model.slowness(1, 1));
        };
    }

    /**
     * All instances are killed at once; what callers are getting then is cut off.
     *
     * @param atMillis time of the kill
     * @return the pattern
     */
    public static Pattern instancesKilled(long atMillis) {
        return model -> model.clock().at(atMillis * VirtualClock.MILLI, model::killInstances);
    }

    /**
     * Engines are replaced one after the other: a new one starts, the old one takes no new work.
     *
     * @param fromMillis start
     * @param gapMillis time between two
     * @param count engines replaced
     * @return the pattern
     */
    public static Pattern release(long fromMillis, long gapMillis, int count) {
        return model -> {
            for (int i = 0; i < count; i++) {
                int slot = i;
                model.clock()
                        .at(
                                (fromMillis + i * gapMillis) * VirtualClock.MILLI,
                                () -> model.replace(slot));
            }
        };
    }
}
