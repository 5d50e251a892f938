package org.gentianwalk.bench.fleet;

import org.gentianwalk.bench.clock.VirtualClock;

/** Load and failure patterns of the experiments. */
public final class Patterns {
    private Patterns() {}

    /**
     * Returns a pattern in which about nine of ten engines of one zone crash, periodically and in
     * one zone after the other.
     *
     * @param firstMillis time of the first crash
     * @param periodMillis time between two crashes
     * @param downMillis downtime of the engines
     * @return the pattern; every second crash happens without resetting connections
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
     * Returns a pattern in which one kind of request arrives more often for a while.
     *
     * @param kind index of the kind
     * @param factor multiplier of the arrival rate
     * @param fromMillis start
     * @param toMillis end
     * @return the pattern
     */
    public static Pattern burst(int kind, double factor, long fromMillis, long toMillis) {
        return model -> model.addBurst(kind, factor, fromMillis, toMillis);
    }

    /**
     * Returns a pattern that slows down the steps of some engines.
     *
     * @param share fraction of the engines
     * @param factor multiplier of the step time
     * @param fromMillis start
     * @param toMillis end
     * @return the pattern
     */
    public static Pattern slowEngines(double share, double factor, long fromMillis, long toMillis) {
        return model -> {
            model.clock()
                    .at(fromMillis * VirtualClock.MILLI, () -> model.scaleStepTime(share, factor));
            model.clock().at(toMillis * VirtualClock.MILLI, () -> model.scaleStepTime(1, 1));
        };
    }

    /**
     * Returns a pattern that kills all instances at once, which breaks off the running answers.
     *
     * @param atMillis time of the kill
     * @return the pattern
     */
    public static Pattern instancesKilled(long atMillis) {
        return model -> model.clock().at(atMillis * VirtualClock.MILLI, model::killInstances);
    }

    /**
     * Returns a rolling release: engines are replaced one by one, and a replaced engine drains
     * while its successor starts.
     *
     * @param fromMillis start
     * @param gapMillis time between two replacements
     * @param count number of replaced engines
     * @return the pattern
     */
    public static Pattern release(long fromMillis, long gapMillis, int count) {
        return model -> {
            for (int i = 0; i < count; i++) {
                int slot = i;
                model.clock()
                        .at(
                                (fromMillis + i * gapMillis) * VirtualClock.MILLI,
                                () -> model.replaceEngine(slot));
            }
        };
    }
}
