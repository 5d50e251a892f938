package org.gentianwalk.gateway.store;

import java.util.List;
import org.gentianwalk.gateway.store.RowStore.Row;

/** Learns the content of a watched table. Called on the control thread. */
public interface TableListener {
    /**
     * Takes in the whole table.
     *
     * @param rows every row
     */
    void replaced(List<Row> rows);

    /**
     * Takes in changes.
     *
     * @param rows changed and removed rows, oldest first; none when only the connection is shown to
     *     work
     */
    void changed(List<Row> rows);

    /**
     * Tells that the table can't be read at present.
     *
     * @param reason for the log
     */
    void lost(String reason);
}
