package org.gentianwalk.bench.capacity;

import java.util.List;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.suspect.SuspectTable;

/**
 * Measures the costs of the suspect table, which is limited to 4,096 entries for any fleet size.
 */
final class SuspectProbes {
    private static final String ROLE = "suspects";
    private static final int MAX_ENTRIES = 4_096;
    private static final int COPIES = 8;
    private static final int ENGINES = 12_000;

    private final Meter mMeter;
    private final int[] mSizes;

    SuspectProbes(boolean quick) {
        mMeter = new Meter(quick);
        mSizes = quick ? new int[] {256, 512, 1_024} : new int[] {1_024, 2_048, 3_072, 4_096};
    }

    List<CapacityProbe> all() {
        return List.of(
                new Probe(
                        ROLE,
                        "memory, bytes",
                        "entries",
                        mSizes,
                        MAX_ENTRIES,
                        size -> Meter.heapBytes(COPIES, () -> createTable(size))),
                new Probe(
                        ROLE,
                        "processor time of an expiry scan, ns",
                        "entries",
                        mSizes,
                        MAX_ENTRIES,
                        size -> {
                            SuspectTable table = createTable(size);
                            return mMeter.nanosPerCall(() -> table.expire(1));
                        }));
    }

    private static SuspectTable createTable(int entries) {
        SuspectTable table = new SuspectTable(PolicyOptions.defaults().retry());
        for (int i = 0; i < entries; i++) {
            table.recordLoss(new Fingerprint(i, 31L * i), "engine-" + i % ENGINES, 0);
        }
        // Drains pending notices, as in the state between two gossip rounds.
        table.drainChanges(0);
        if (table.size() != entries) {
            throw new IllegalStateException(table.size() + " entries instead of " + entries);
        }
        return table;
    }
}
