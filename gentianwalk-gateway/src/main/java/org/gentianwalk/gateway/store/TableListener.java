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

    /**
     * Returns whether the content of a known row shows that it is newer than another row of its
     * key, whatever their versions.
     *
     * @param known the known row
     * @param other the other row
     * @return true when the known row stays in force; false when only the versions decide
     */
    default boolean supersedes(Row known, Row other) {
        return false;
    }

    /**
     * Returns whether the writers of the table refresh their rows, so that a row that the store
     * does not hold some seconds after it came back from a copy is gone.
     *
     * @return false when rows of an earlier era are kept until they are written again
     */
    default boolean refreshesRows() {
        return true;
    }

    /**
     * Called when the store has come back from a copy and has lost what was written last.
     *
     * @param era the new era of the store
     */
    default void restored(long era) {
        // Only writers to the store have to act.
    }
}
