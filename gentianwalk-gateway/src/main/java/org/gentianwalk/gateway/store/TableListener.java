package org.gentianwalk.gateway.store;

import java.util.List;
import org.gentianwalk.gateway.store.RowStore.Row;

/** Receives the content of a watched table. Called on the control thread. */
public interface TableListener {
    /**
     * Called with the complete table.
     *
     * @param rows all rows
     */
    void replaced(List<Row> rows);

    /**
     * Called with changes.
     *
     * @param rows changed and removed rows, oldest first; empty when nothing has changed but the
     *     store is reachable
     */
    void changed(List<Row> rows);

    /**
     * Called when the table can't be read at present.
     *
     * @param reason description for the log
     */
    void unavailable(String reason);
}
