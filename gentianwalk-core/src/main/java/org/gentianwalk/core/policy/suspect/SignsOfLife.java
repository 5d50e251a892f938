package org.gentianwalk.core.policy.suspect;

import java.util.LinkedHashMap;

/** The last sign of life of each engine, which refutes losses that only silence proved. */
final class SignsOfLife {
    private static final int MAX_ENGINES = 65_536;

    private final LinkedHashMap<Integer, Long> mSigns = new LinkedHashMap<>();

    void record(int engine, long atNanos) {
        mSigns.put(engine, atNanos);
        if (mSigns.size() > MAX_ENGINES) {
            mSigns.pollFirstEntry();
        }
    }

    boolean refutes(Suspect.Loss loss) {
        Long sign = mSigns.get(loss.engine());
        return loss.isRevocable() && sign != null && sign - loss.atNanos() > 0;
    }
}
