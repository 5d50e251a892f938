package org.gentianwalk.gateway.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.jspecify.annotations.Nullable;

/**
 * Local copy of a table, updated from the store and from other instances. Each row carries the
 * point in the store's history at which it was written, so updates may arrive in any order.
 *
 * <p>When the store comes back from a copy, its era rises and the mirror adopts the new one with a
 * complete table: rows that it knows to be newer than those of the copy are carried over. They hold
 * until the row is written again, or until they are settled by what the store lists.
 */
final class TableMirror {
    /** Maximum number of tombstones; they keep an outdated copy from restoring a removed row. */
    private static final int MAX_TOMBSTONES = 4_096;

    private final ContentOrder mOrder;
    private final Ticker mTicker;
    private final Map<String, Row> mRows = new TreeMap<>();
    private final Map<String, Row> mTombstones = new HashMap<>();
    private final SupersededRows mSuperseded = new SupersededRows();
    private StoreVersion mReadTo = StoreVersion.NONE;
    private boolean mSettled;
    private boolean mHoldsCarried;

    TableMirror(ContentOrder order, Ticker ticker) {
        mOrder = order;
        mTicker = ticker;
    }

    /** Order of rows that follows from their content. */
    interface ContentOrder {
        /** Returns whether a known row is newer than another one, whatever their versions. */
        boolean supersedes(Row known, Row other);
    }

    /** Returns the version up to which the copy is complete; -1 before the first complete read. */
    long version() {
        return mReadTo.version();
    }

    /** Returns the point in the store's history up to which the copy is complete. */
    StoreVersion readTo() {
        return mReadTo;
    }

    /** Returns whether a point belongs to a later era than a copy that is complete. */
    boolean isOutdatedBy(StoreVersion point) {
        return version() >= 0 && point.era() > mReadTo.era();
    }

    List<Row> rows() {
        return List.copyOf(mRows.values());
    }

    /** Returns the rows and the tombstones that the store does not know. */
    List<Row> rowsForPeers() {
        List<Row> rows = new ArrayList<>(mRows.values());
        mTombstones.values().stream().filter(Row::carried).forEach(rows::add);
        return rows;
    }

    /** Returns whether rows of an earlier era have been carried over since the last settlement. */
    boolean holdsCarried() {
        return mHoldsCarried;
    }

    /** Returns the number of rows and tombstones that were carried over from an earlier era. */
    int carried() {
        return (int) rowsForPeers().stream().filter(Row::carried).count();
    }

    /**
     * Applies the complete table as of a point; adopts its era if that is new. Tables of an earlier
     * era are ignored.
     *
     * @return the changed rows, including removed ones
     */
    List<Row> applySnapshot(List<Row> rows, StoreVersion point) {
        List<Row> changes = new ArrayList<>();
        if (point.era() < mReadTo.era()) {
            return changes;
        }
        if (isOutdatedBy(point)) {
            adopt(rows, point, changes);
            return changes;
        }
        Set<String> present = new HashSet<>();
        for (Row row : rows) {
            present.add(row.key());
            apply(row, changes);
        }
        for (Row known : rows()) {
            if (!present.contains(known.key())
                    && !known.carried()
                    && !point.isBefore(known.written())) {
                apply(tombstone(known.key(), point, false), changes);
            }
        }
        mReadTo = mReadTo.max(point);
        return changes;
    }

    /**
     * Applies changes that are complete up to a point of the era of this copy. Rows of an earlier
     * era are ignored.
     *
     * @return the changes that were not applied before
     */
    List<Row> applyChanges(List<Row> rows, StoreVersion point) {
        List<Row> changes = new ArrayList<>();
        if (point.era() < mReadTo.era()) {
            return changes;
        }
        for (Row row : rows) {
            apply(row, changes);
        }
        mReadTo = mReadTo.max(point);
        return changes;
    }

    /** Continues at a point that precedes the known one, since the store has no later history. */
    void rewind(StoreVersion point) {
        mReadTo = point;
    }

    /**
     * Gives the rows that were carried over up for those that the store lists.
     *
     * @param rows the complete table of the store
     * @param point point up to which it is complete
     */
    void settle(List<Row> rows, StoreVersion point) {
        Map<String, Row> listed = new HashMap<>();
        rows.forEach(row -> listed.put(row.key(), row));
        for (Row carried : rowsForPeers()) {
            if (!carried.carried()) {
                continue;
            }
            Row row = listed.get(carried.key());
            mRows.remove(carried.key());
            mTombstones.remove(carried.key());
            if (row == null) {
                addTombstone(tombstone(carried.key(), point, false));
            } else {
                mRows.put(row.key(), row);
            }
        }
        mSettled = true;
        mHoldsCarried = false;
    }

    /** Takes no more rows that another instance carried over into this era. */
    void endCarrying() {
        mSettled = true;
    }

    /** Takes the complete table of a new era; what is known to be newer is carried over. */
    private void adopt(List<Row> rows, StoreVersion point, List<Row> changes) {
        mReadTo = point;
        mSettled = false;
        long now = mTicker.nanos();
        Map<String, Row> known = new HashMap<>(mTombstones);
        known.putAll(mRows);
        for (Row row : rows) {
            Row before = known.remove(row.key());
            if (before == null) {
                apply(row, changes);
            } else if (isSameValue(before, row)) {
                restamp(before, row);
            } else if (mSuperseded.contains(row, now) || isNewerByContent(before, row)) {
                restamp(before, carriedOver(before, point));
            } else {
                // It may be an old row that this mirror has not seen, which another instance knows.
                apply(row, changes, false);
            }
        }
        for (Row lost : known.values()) {
            restamp(lost, carriedOver(lost, point));
        }
    }

    private static boolean isSameValue(Row row, Row other) {
        return row.removed() == other.removed() && Arrays.equals(row.value(), other.value());
    }

    private boolean isNewerByContent(Row known, Row other) {
        // Versions decide in a store that was never restored; parsing the content takes time.
        boolean restored = other.written().era() > 0;
        return restored && !known.removed() && !other.removed() && mOrder.supersedes(known, other);
    }

    private static Row carriedOver(Row row, StoreVersion point) {
        return new Row(row.key(), row.value(), row.removed(), point, true);
    }

    private static Row tombstone(String key, StoreVersion point, boolean carried) {
        return new Row(key, new byte[0], true, point, carried);
    }

    /** Replaces a row by one with the same value. A later copy may hold it as it was before. */
    private void restamp(Row before, Row row) {
        if (before.version() != row.version()) {
            mSuperseded.add(before, mTicker.nanos());
        }
        mHoldsCarried |= row.carried();
        (row.removed() ? mTombstones : mRows).put(row.key(), row);
    }

    private void addTombstone(Row tombstone) {
        if (mTombstones.size() >= MAX_TOMBSTONES) {
            mTombstones.clear();
        }
        mTombstones.put(tombstone.key(), tombstone);
    }

    private void apply(Row row, List<Row> changes) {
        apply(row, changes, true);
    }

    /**
     * Applies a row unless it is outdated.
     *
     * @param row the row
     * @param changes receives the row if it is applied
     * @param replaces whether the row before is certainly older
     */
    private void apply(Row row, List<Row> changes, boolean replaces) {
        Row known = mRows.get(row.key());
        Row tombstone = mTombstones.get(row.key());
        Row latest = known != null ? known : tombstone;
        boolean outdated = latest != null && !isLater(row, latest);
        // Instances settle at different times, and the earlier ones must not take the row again.
        boolean settled = row.carried() && mSettled && row.written().era() == mReadTo.era();
        if (outdated || settled || row.carried() && isReplaced(row, known, tombstone)) {
            return;
        }
        mHoldsCarried |= row.carried();
        if (known != null && isNewerByContent(known, row)) {
            restamp(known, carriedOver(known, row.written()));
            return;
        }
        if (known != null && replaces) {
            mSuperseded.add(known, mTicker.nanos());
        }
        if (row.removed()) {
            addTombstone(row);
            if (mRows.remove(row.key()) != null) {
                changes.add(row);
            }
        } else {
            if (tombstone != null && replaces) {
                mSuperseded.add(tombstone, mTicker.nanos());
            }
            mTombstones.remove(row.key());
            mRows.put(row.key(), row);
            changes.add(row);
        }
    }

    /** Returns whether a row is later; who carried it over has seen what the store then listed. */
    private static boolean isLater(Row row, Row latest) {
        boolean sameVersion = row.written().equals(latest.written());
        return latest.written().isBefore(row.written())
                || sameVersion && row.carried() && !latest.carried();
    }

    /**
     * Returns whether a row that another instance carried over is known to have been replaced. That
     * instance may have been cut off before, and the version states only when it read the table.
     */
    private boolean isReplaced(Row row, @Nullable Row known, @Nullable Row tombstone) {
        if (tombstone != null
                && !tombstone.carried()
                && tombstone.written().era() == row.written().era()) {
            return true;
        }
        return (known != null || tombstone != null) && mSuperseded.contains(row, mTicker.nanos());
    }
}
