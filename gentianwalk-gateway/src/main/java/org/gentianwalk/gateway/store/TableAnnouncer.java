package org.gentianwalk.gateway.store;

import java.util.List;
import org.gentianwalk.gateway.store.RowStore.Row;

/**
 * Tracks what an instance has read of a table and has not announced to others yet.
 *
 * <p>An announcement states all changes within a range of versions. Changes that the instance
 * received from others are not part of what it has read, so a range ends where a read starts at a
 * later version than the previous read reached.
 */
public final class TableAnnouncer {
    /**
     * Size of the largest row that is announced, bytes. Larger rows, such as a configuration with
     * many routes, are read from the store by each instance, since a reader's link could not carry
     * them to all others in time.
     */
    private static final int MAX_ROW_BYTES = 4_096;

    /** Size of all rows of an announcement, bytes; a whole table that is larger is read as well. */
    private static final int MAX_ANNOUNCED_BYTES = 256 << 10;

    private final String mTable;
    private long mEra;
    private long mFrom;
    private long mTo;

    /**
     * Creates an announcer of a table that has not been read.
     *
     * @param table the table
     */
    public TableAnnouncer(String table) {
        mTable = table;
    }

    /**
     * Records a read of the store.
     *
     * @param from point from which on all changes were read
     * @param to point up to which they were read
     */
    public void recordRead(StoreVersion from, StoreVersion to) {
        if (to.isBefore(from) || to.era() < mEra) {
            return;
        }
        if (to.era() > mEra) {
            mEra = to.era();
            mTo = 0;
            mFrom = 0;
        }
        long first = from.era() == mEra ? from.version() : 0;
        if (first > mTo) {
            mFrom = first;
        }
        mTo = Math.max(mTo, to.version());
    }

    /** Leaves out the range read so far, whose changes are not announced. */
    public void skip() {
        mFrom = mTo;
    }

    /**
     * Returns the announcement of the range read since the last one.
     *
     * @param rows all rows that changed within the range; often empty
     * @return the announcement
     */
    public TableChanges announce(List<Row> rows) {
        long bytes = rows.stream().mapToLong(row -> row.key().length() + row.value().length).sum();
        boolean small =
                bytes <= MAX_ANNOUNCED_BYTES
                        && rows.stream().allMatch(row -> row.value().length <= MAX_ROW_BYTES);
        long from = small ? mFrom : mTo;
        mFrom = mTo;
        return new TableChanges(mTable, mEra, from, mTo, small ? rows : List.of(), true);
    }
}
