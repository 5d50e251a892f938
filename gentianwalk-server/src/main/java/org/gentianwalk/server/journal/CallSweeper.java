package org.gentianwalk.server.journal;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.gentianwalk.core.journal.CallRows;
import org.gentianwalk.core.platform.ObjectStore;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.TableService;

/**
 * Removes expired call rows. One instance at a time runs it, under a lease. Two concurrent sweepers
 * would only waste writes, since each delete is conditional on the row's version.
 *
 * <p>Example: {@code sweeper.sweep(lease::mayAct, clock.millis())}
 */
public final class CallSweeper {
    /** Rows per page of the scan. */
    private static final int PAGE_SIZE = 200;

    private final TableService mTable;
    private final ObjectStore mObjects;
    private final int mMaxDeletes;
    private String mAfter = "";

    /**
     * Creates the sweeper.
     *
     * @param table stores the call rows
     * @param objects stores large bodies
     * @param maxDeletes maximum rows removed in one sweep, which limits its share of the store's
     *     writes
     */
    public CallSweeper(TableService table, ObjectStore objects, int maxDeletes) {
        mTable = table;
        mObjects = objects;
        mMaxDeletes = maxDeletes;
    }

    /**
     * Scans the next page of rows, and restarts at the first page after the last one.
     *
     * @param holdsLease returns whether the lease is still held
     * @param epochMillis the wall clock, milliseconds since the epoch
     * @return rows removed
     * @throws PlatformException if the store can't be reached
     */
    public int sweep(BooleanSupplier holdsLease, long epochMillis) throws PlatformException {
        List<Row> page = mTable.list(CallRows.PREFIX, mAfter, PAGE_SIZE);
        int removed = 0;
        for (Row row : page) {
            if (removed >= mMaxDeletes || !holdsLease.getAsBoolean()) {
                return removed;
            }
            if (CallRows.isExpired(row, epochMillis)) {
                remove(row);
                removed++;
            }
            mAfter = row.key();
        }
        if (page.isEmpty()) {
            mAfter = "";
        }
        return removed;
    }

    private void remove(Row row) throws PlatformException {
        String object = CallRows.parse(row).map(call -> call.getBodyObject()).orElse("");
        if (!object.isEmpty()) {
            mObjects.delete(object);
        }
        mTable.delete(row.key(), row.version());
    }
}
