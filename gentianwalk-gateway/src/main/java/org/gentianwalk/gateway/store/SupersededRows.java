package org.gentianwalk.gateway.store;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import org.gentianwalk.gateway.store.RowStore.Row;

/**
 * Rows that a mirror has seen and knows to be out of date. They tell an old row of a copy from one
 * that was written after the store came back.
 */
final class SupersededRows {
    /** Age after which a row is forgotten; copies are some seconds old. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(60).toNanos();

    /** Maximum number of rows, which bounds their memory; the oldest ones are forgotten first. */
    private static final int MAX_ROWS = 4_096;

    private static final long ANY_VERSION = -1;

    private final Map<Identity, Long> mRows = new LinkedHashMap<>();

    /** The same rows whatever their version. */
    private final Map<Identity, Long> mValues = new LinkedHashMap<>();

    /** What identifies a row across eras: versions alone are given out again. */
    private record Identity(String key, long version, boolean removed, long checksum) {
        static Identity of(Row row, long version) {
            CRC32C checksum = new CRC32C();
            checksum.update(row.value());
            return new Identity(row.key(), version, row.removed(), checksum.getValue());
        }
    }

    /** Records a row that has been replaced or removed. */
    void add(Row row, long nowNanos) {
        add(mRows, Identity.of(row, row.version()), nowNanos);
        add(mValues, Identity.of(row, ANY_VERSION), nowNanos);
    }

    private static void add(Map<Identity, Long> rows, Identity identity, long nowNanos) {
        rows.remove(identity);
        rows.put(identity, nowNanos);
        var oldest = rows.entrySet().iterator();
        while (oldest.hasNext()) {
            boolean expired = nowNanos - oldest.next().getValue() > MAX_AGE_NANOS;
            if (!expired && rows.size() <= MAX_ROWS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Returns whether a row is known to be out of date. One that was carried over has lost the
     * version with which it was written, so its value alone counts.
     */
    boolean contains(Row row, long nowNanos) {
        Long at =
                row.carried()
                        ? mValues.get(Identity.of(row, ANY_VERSION))
                        : mRows.get(Identity.of(row, row.version()));
        return at != null && nowNanos - at <= MAX_AGE_NANOS;
    }
}
