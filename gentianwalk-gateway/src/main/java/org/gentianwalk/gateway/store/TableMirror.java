package org.gentianwalk.gateway.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.gateway.store.RowStore.Row;

/**
 * Local copy of a table, updated from the store and from other instances. Each row carries the
 * version at which it was written, so updates may arrive in any order.
 */
final class TableMirror {
    /** Maximum number of tombstones; they keep an outdated copy from restoring a removed row. */
    private static final int MAX_TOMBSTONES = 4_096;

    private final Map<String, Row> mRows = new TreeMap<>();
    private final Map<String, Long> mTombstones = new HashMap<>();
    private StoreVersion mReadTo = StoreVersion.NONE;

    /** Returns the version up to which the copy is complete; -1 before the first complete read. */
    long version() {
        return mReadTo.version();
    }

    /** Returns the point in the store's history up to which the copy is complete. */
    StoreVersion readTo() {
        return mReadTo;
    }

    List<Row> rows() {
        return List.copyOf(mRows.values());
    }

    /**
     * Applies the complete table as of a version.
     *
     * @return the changed rows, including removed ones
     */
    List<Row> applySnapshot(List<Row> rows, StoreVersion version) {
        List<Row> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (Row row : rows) {
            present.add(row.key());
            apply(row, changes);
        }
        for (Row known : List.copyOf(mRows.values())) {
            if (!present.contains(known.key()) && known.version() <= version.version()) {
                apply(new Row(known.key(), new byte[0], true, version.version()), changes);
            }
        }
        mReadTo = new StoreVersion(0, Math.max(mReadTo.version(), version.version()));
        return changes;
    }

    /**
     * Applies changes that are complete up to a version.
     *
     * @return the changes that were not applied before
     */
    List<Row> applyChanges(List<Row> rows, StoreVersion version) {
        List<Row> changes = new ArrayList<>();
        for (Row row : rows) {
            apply(row, changes);
        }
        mReadTo = new StoreVersion(0, Math.max(mReadTo.version(), version.version()));
        return changes;
    }

    private void apply(Row row, List<Row> changes) {
        Row known = mRows.get(row.key());
        long tombstone = mTombstones.getOrDefault(row.key(), -1L);
        if (known != null && known.version() >= row.version() || tombstone >= row.version()) {
            return;
        }
        if (row.removed()) {
            if (mTombstones.size() >= MAX_TOMBSTONES) {
                mTombstones.clear();
            }
            mTombstones.put(row.key(), row.version());
            if (mRows.remove(row.key()) != null) {
                changes.add(row);
            }
        } else {
            mTombstones.remove(row.key());
            mRows.put(row.key(), row);
            changes.add(row);
        }
    }
}
