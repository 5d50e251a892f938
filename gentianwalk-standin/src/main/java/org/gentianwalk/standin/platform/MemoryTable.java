package org.gentianwalk.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.TransactionalTable;
import org.gentianwalk.core.platform.WriteResult;
import org.jspecify.annotations.Nullable;

/** The table service in memory, without faults. Every operation is atomic. */
public final class MemoryTable implements TransactionalTable {
    private final TreeMap<String, Row> mRows = new TreeMap<>();

    /**
     * Last versions of all keys, also of deleted ones: a key's versions must not recur, since a
     * late conditional write would then match a row that it was not meant for.
     */
    private final Map<String, Long> mVersions = new HashMap<>();

    @Override
    public synchronized ReadResult read(String key) {
        Row row = mRows.get(key);
        return row == null ? new ReadResult.Missing() : new ReadResult.Found(row);
    }

    @Override
    public synchronized WriteResult write(String key, long expected, byte[] value) {
        return transact(List.of(new Condition(key, expected)), List.of(new Change.Put(key, value)));
    }

    @Override
    public synchronized WriteResult delete(String key, long expected) {
        return transact(List.of(new Condition(key, expected)), List.of(new Change.Delete(key)));
    }

    @Override
    public synchronized List<Row> list(String prefix, String after, int limit) {
        List<Row> page = new ArrayList<>();
        String from = after.compareTo(prefix) > 0 ? after : prefix;
        for (Row row : mRows.tailMap(from, true).values()) {
            if (page.size() >= limit || !row.key().startsWith(prefix)) {
                break;
            }
            if (!row.key().equals(after)) {
                page.add(row);
            }
        }
        return page;
    }

    @Override
    public synchronized WriteResult transact(List<Condition> conditions, List<Change> changes) {
        for (Condition condition : conditions) {
            Row current = mRows.get(condition.key());
            if (version(current) != condition.expected()) {
                return new WriteResult.Conflict(current);
            }
        }
        long first = Row.ABSENT;
        for (int index = 0; index < changes.size(); index++) {
            long version = apply(changes.get(index));
            first = index == 0 ? version : first;
        }
        return new WriteResult.Written(first);
    }

    private long apply(Change change) {
        return switch (change) {
            case Change.Put put -> {
                long version = mVersions.merge(put.key(), 1L, Long::sum);
                mRows.put(put.key(), new Row(put.key(), version, put.value().clone()));
                yield version;
            }
            case Change.Delete delete -> {
                mRows.remove(delete.key());
                yield Row.ABSENT;
            }
        };
    }

    private static long version(@Nullable Row row) {
        return row == null ? Row.ABSENT : row.version();
    }
}
