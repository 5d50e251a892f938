package org.gentianwalk.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.store.StoreVersion;

/** A shared store in memory. Each instance gets a client of its own, which may be cut off. */
public final class MemoryStore {
    private final Map<String, TreeMap<String, RowStore.Row>> mTables = new HashMap<>();
    private final List<Poll> mPolls = new ArrayList<>();
    private long mVersion;
    private long mEra;

    /** The store as it was at one moment. */
    public record Copy(Map<String, TreeMap<String, RowStore.Row>> tables, long version) {}

    /** A call that waits for changes. */
    private record Poll(
            String table, long since, Client client, CompletableFuture<RowStore.Result> result) {}

    public synchronized void put(String table, String key, byte[] value) {
        write(table, new RowStore.Row(key, value, false, next(), false));
    }

    public synchronized void remove(String table, String key) {
        write(table, new RowStore.Row(key, new byte[0], true, next(), false));
    }

    public synchronized List<RowStore.Row> rows(String table) {
        return rows(table, "");
    }

    public synchronized StoreVersion version() {
        return new StoreVersion(mEra, mVersion);
    }

    /** Returns the rows as they are now, for a later {@link #restore}. */
    public synchronized Copy copy() {
        Map<String, TreeMap<String, RowStore.Row>> tables = new HashMap<>();
        mTables.forEach((table, rows) -> tables.put(table, new TreeMap<>(rows)));
        return new Copy(tables, mVersion);
    }

    /**
     * Comes back from a copy: what was written since is lost, its versions are given out again, the
     * era rises by one, and the calls that wait fail.
     */
    public synchronized void restore(Copy copy) {
        mTables.clear();
        mVersion = copy.version();
        mEra++;
        copy.tables().forEach((table, rows) -> mTables.put(table, inEra(rows)));
        List<Poll> polls = List.copyOf(mPolls);
        mPolls.clear();
        for (Poll poll : polls) {
            poll.result().complete(new RowStore.Result.Failed("the connection was reset", false));
        }
    }

    /** A response states one era for all its rows, whenever they were written. */
    private TreeMap<String, RowStore.Row> inEra(TreeMap<String, RowStore.Row> rows) {
        TreeMap<String, RowStore.Row> current = new TreeMap<>();
        for (RowStore.Row row : rows.values()) {
            StoreVersion written = new StoreVersion(mEra, row.version());
            current.put(
                    row.key(),
                    new RowStore.Row(row.key(), row.value(), row.removed(), written, false));
        }
        return current;
    }

    private StoreVersion next() {
        return new StoreVersion(mEra, ++mVersion);
    }

    public Client client() {
        return new Client();
    }

    private void write(String table, RowStore.Row row) {
        mTables.computeIfAbsent(table, name -> new TreeMap<>()).put(row.key(), row);
        for (Poll poll : List.copyOf(mPolls)) {
            if (poll.table().equals(table) && !poll.client().mSilent) {
                mPolls.remove(poll);
                poll.result().complete(changes(table, poll.since()));
            }
        }
    }

    private List<RowStore.Row> rows(String table, String fromKey) {
        return mTables.getOrDefault(table, new TreeMap<>()).tailMap(fromKey).values().stream()
                .filter(row -> !row.removed())
                .toList();
    }

    private RowStore.Result changes(String table, long since) {
        if (since > mVersion) {
            return new RowStore.Result.HistoryLost();
        }
        List<RowStore.Row> rows =
                mTables.getOrDefault(table, new TreeMap<>()).values().stream()
                        .filter(row -> row.version() > since)
                        .toList();
        return new RowStore.Result.Rows(rows, false, version());
    }

    /** The store as one instance sees it. */
    public final class Client implements RowStore {
        private volatile boolean mSilent;
        private volatile boolean mRejecting;
        private volatile boolean mLosing;
        private volatile int mWrites;

        /** Sets whether conditional writes of this instance take effect without a response. */
        public void losing(boolean losing) {
            mLosing = losing;
        }

        /** Sets whether the store leaves the calls of this instance without a response. */
        public void silent(boolean silent) {
            mSilent = silent;
        }

        /** Sets whether the store rejects the calls of this instance. */
        public void rejecting(boolean rejecting) {
            mRejecting = rejecting;
        }

        /** Returns the number of writes that were tried. */
        public int writes() {
            return mWrites;
        }

        @Override
        public CompletionStage<Result> read(String table, String fromKey, Duration timeout) {
            synchronized (MemoryStore.this) {
                if (mRejecting) {
                    return rejected();
                }
                return mSilent
                        ? expiring(timeout)
                        : CompletableFuture.completedFuture(
                                new Result.Rows(rows(table, fromKey), false, version()));
            }
        }

        @Override
        public CompletionStage<Result> changes(
                String table, long since, Duration wait, Duration timeout) {
            synchronized (MemoryStore.this) {
                if (mRejecting) {
                    return rejected();
                }
                if (mSilent) {
                    return expiring(wait.plus(timeout));
                }
                Result changes = MemoryStore.this.changes(table, since);
                if (!(changes instanceof Result.Rows rows) || !rows.rows().isEmpty()) {
                    return CompletableFuture.completedFuture(changes);
                }
                CompletableFuture<Result> result = new CompletableFuture<>();
                mPolls.add(new Poll(table, since, this, result));
                return result.completeOnTimeout(
                        new Result.Rows(List.of(), false, version()),
                        wait.toMillis(),
                        TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public CompletionStage<Result> write(
                String table, String key, byte[] value, Duration timeout) {
            synchronized (MemoryStore.this) {
                mWrites++;
                if (mRejecting) {
                    return rejected();
                }
                if (mSilent) {
                    return expiring(timeout);
                }
                if (value == null) {
                    remove(table, key);
                } else {
                    put(table, key, value);
                }
                return CompletableFuture.completedFuture(
                        new Result.Rows(List.of(), false, version()));
            }
        }

        @Override
        public CompletionStage<WriteResult> writeIf(
                String table, String key, byte[] value, long expected, Duration timeout) {
            synchronized (MemoryStore.this) {
                mWrites++;
                if (mRejecting || mSilent) {
                    return CompletableFuture.completedFuture(
                            new WriteResult.Unknown("no response"));
                }
                Row current = mTables.getOrDefault(table, new TreeMap<>()).get(key);
                boolean exists = current != null && !current.removed();
                if ((exists ? current.version() : 0) != expected) {
                    return CompletableFuture.completedFuture(
                            new WriteResult.Conflict(exists ? current : null));
                }
                put(table, key, value);
                return CompletableFuture.completedFuture(
                        mLosing
                                ? new WriteResult.Unknown("no response in time")
                                : new WriteResult.Written(mVersion));
            }
        }

        private CompletionStage<Result> rejected() {
            return CompletableFuture.completedFuture(new Result.Failed("status 503", true));
        }

        private CompletionStage<Result> expiring(Duration timeout) {
            return new CompletableFuture<Result>()
                    .completeOnTimeout(
                            new Result.Failed("no response in time", false),
                            timeout.toMillis(),
                            TimeUnit.MILLISECONDS);
        }
    }
}
