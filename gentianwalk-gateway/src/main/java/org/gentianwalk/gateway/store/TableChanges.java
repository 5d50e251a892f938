package org.gentianwalk.gateway.store;

import java.util.List;
import org.gentianwalk.gateway.store.RowStore.Row;

/**
 * Changes of a table that one instance has read and passes on to others.
 *
 * @param table the table
 * @param era era of the store, to which both versions belong
 * @param from version after which the changes are complete
 * @param to version up to which the changes are complete
 * @param rows rows changed or removed in between, oldest first
 * @param available false when the sender can no longer reach the store
 */
public record TableChanges(
        String table, long era, long from, long to, List<Row> rows, boolean available) {
    public TableChanges {
        rows = List.copyOf(rows);
    }

    /**
     * Creates changes of a store that has never come back from a copy.
     *
     * @param table the table
     * @param from version after which the changes are complete
     * @param to version up to which the changes are complete
     * @param rows rows changed or removed in between, oldest first
     * @param available false when the sender can no longer reach the store
     */
    public TableChanges(String table, long from, long to, List<Row> rows, boolean available) {
        this(table, 0, from, to, rows, available);
    }

    /**
     * Returns whether the rows are the whole table.
     *
     * @return true when they are complete from the first version on
     */
    public boolean isComplete() {
        return from == 0;
    }

    /**
     * Returns the point in the store's history up to which the changes are complete.
     *
     * @return the point
     */
    public StoreVersion end() {
        return new StoreVersion(era, to);
    }
}
