package org.gentianwalk.gateway.store;

import java.util.List;
import org.gentianwalk.gateway.store.RowStore.Row;

/**
 * Changes of a table that one instance has read and passes on to others.
 *
 * @param table the table
 * @param from version after which the changes are complete
 * @param to version up to which the changes are complete
 * @param rows rows changed or removed in between, oldest first
 * @param available false when the sender can no longer reach the store
 */
public record TableChanges(String table, long from, long to, List<Row> rows, boolean available) {
    public TableChanges {
        rows = List.copyOf(rows);
    }
}
