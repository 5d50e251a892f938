package org.gentianwalk.gateway.store;

import java.util.List;
import org.gentianwalk.gateway.store.RowStore.Row;

/**
 * What an instance has read of a table, for other instances.
 *
 * @param table the table
 * @param from version from which on the rows are complete
 * @param to version up to which they are complete
 * @param rows rows changed or removed in between, oldest first
 * @param available false when the sender can't reach the store any more
 */
public record TableChanges(String table, long from, long to, List<Row> rows, boolean available) {
    public TableChanges {
        rows = List.copyOf(rows);
    }
}
