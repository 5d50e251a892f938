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

    private final Map<Identity, Long> mRows = new LinkedHashMap<>();

    /** What identifies a row across eras: versions alone are given out again. */
    private record Identity(String key, long version, long checksum) {
        static Identity of(Row row) {
            CRC32C checksum = new CRC32C();
            checksum.update(row.value());
            return new Identity(row.key(), row.version(), checksum.getValue());
        }
    }

    /** Records a row that has been replaced or removed. */
    void add(Row row, long nowNanos) {
        Identity identity = Identity.of(row);
        mRows.remove(identity);
        mRows.put(identity, nowNanos);
        var oldest = mRows.entrySet().iterator();
        while (oldest.hasNext()) {
            boolean expired = nowNanos - oldest.next().getValue() > MAX_AGE_NANOS;
            if (!expired && mRows.size() <= MAX_ROWS) {
                return;
            }
            oldest.remove();
        }
    }

    boolean contains(Row row, long nowNanos) {
        Long at = mRows.get(Identity.of(row));
        return at != null && nowNanos - at <= MAX_AGE_NANOS;
    }
}
