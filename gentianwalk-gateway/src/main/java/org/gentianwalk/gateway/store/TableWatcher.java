package org.gentianwalk.gateway.store;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.server.guard.FailureGuard;
import org.jspecify.annotations.Nullable;

/**
 * Watches one table of the shared store. Confined to the control thread.
 *
 * <p>Reads the complete table first and then polls for changes. The complete table is read again
 * after a failure of the store, or when it no longer holds the changes. An instance that receives
 * changes from others does not poll the store, and one that can't reach the store fetches the table
 * from another instance.
 */
public final class TableWatcher {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(150);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(600);

    /** Interval at which an instance that relies on readers checks whether it is one itself. */
    private static final Duration ROLE_CHECK = Duration.ofMillis(300);

    /**
     * Time after which an overdue call is joined by another one. A store that was silent leaves the
     * calls of that time without a response, also after its return.
     */
    private static final Duration HEDGE_DELAY = Duration.ofMillis(500);

    /** Maximum number of calls at the same time. */
    private static final int MAX_PENDING = 4;

    /**
     * Maximum size of a table that is read, bytes, including {@link #ROW_BYTES} a row. The
     * upstreams of the largest site, 12,000 rows of some 300 bytes, take 5 MB.
     */
    static final long MAX_TABLE_BYTES = 8 << 20;

    /** Memory of a row beside its key and value, bytes; an estimate. */
    static final int ROW_BYTES = 128;

    private final RowStore mStore;
    private final String mTable;
    private final TableListener mListener;
    private final TableFeed mFeed;
    private final ScheduledExecutorService mControl;
    private final Ticker mTicker;
    private final WatchTimes mTimes;
    private final FailureGuard mGuard;
    private final TableMirror mMirror = new TableMirror();
    private Duration mBackoff = INITIAL_BACKOFF;
    private @Nullable Long mReaderHeardAt;
    private @Nullable ScheduledFuture<?> mNextPoll;
    private boolean mUnreachable;
    private boolean mStopped;

    /** Number of the current round of calls; the results of earlier rounds are ignored. */
    private int mRound;

    /** Calls of the current round without a result. */
    private int mPending;

    /**
     * Creates a watcher that has not started.
     *
     * @param store the store
     * @param table the table
     * @param listener receives the content of the table
     * @param feed exchanges changes with other instances
     * @param control the control thread
     * @param ticker clock
     * @param times times of the calls to the store
     * @param guard runs the steps of the watch, so that none ends it
     */
    public TableWatcher(
            RowStore store,
            String table,
            TableListener listener,
            TableFeed feed,
            ScheduledExecutorService control,
            Ticker ticker,
            WatchTimes times,
            FailureGuard guard) {
        mStore = store;
        mTable = table;
        mListener = listener;
        mFeed = feed;
        mControl = control;
        mTicker = ticker;
        mTimes = times;
        mGuard = guard;
    }

    /** Starts to watch the table. */
    public void start() {
        runStep(this::readAll);
    }

    /** Stops watching; the result of a pending call is ignored. */
    public void stop() {
        mStopped = true;
    }

    /**
     * Returns the name of the table.
     *
     * @return the name
     */
    public String table() {
        return mTable;
    }

    /**
     * Returns the local copy of the table, for another instance.
     *
     * @return all rows, or null before the first complete read
     */
    public @Nullable TableChanges snapshot() {
        StoreVersion to = mMirror.readTo();
        return to.version() < 0
                ? null
                : new TableChanges(
                        mTable, to.era(), 0, to.version(), mMirror.rows(), !mUnreachable);
    }

    /**
     * Applies changes that another instance has read.
     *
     * @param changes the changes
     */
    public void applyPeerChanges(TableChanges changes) {
        if (!changes.available() || changes.from() > mMirror.version() || mMirror.version() < 0) {
            // Polls the store itself for the missing changes.
            mReaderHeardAt = null;
            ScheduledFuture<?> nextPoll = mNextPoll;
            if (nextPoll != null && nextPoll.cancel(false)) {
                poll();
            } else if (changes.available() && mUnreachable) {
                // The pending call may have been sent while the store was silent.
                joinPending();
            }
            return;
        }
        mReaderHeardAt = mTicker.nanos();
        List<Row> changed = mMirror.applyChanges(changes.rows(), changes.end());
        if (mUnreachable || !changed.isEmpty()) {
            markReachable();
            pass(() -> mListener.changed(changed));
        }
    }

    private boolean isFedByReader() {
        return remainingTrustNanos() > 0;
    }

    /** Returns for how long this instance relies on readers, nanoseconds; 0 if it does not. */
    private long remainingTrustNanos() {
        Long at = mReaderHeardAt;
        if (at == null || mFeed.isReader()) {
            return 0;
        }
        return Math.max(0, mTimes.trust().toNanos() - (mTicker.nanos() - at));
    }

    private void readAll() {
        if (mStopped) {
            return;
        }
        startRound();
        new CompleteRead(mRound).readFrom("");
        scheduleHedge(HEDGE_DELAY);
    }

    private void startRound() {
        mRound++;
        mPending = 1;
    }

    /** Joins a call that is overdue with a complete read; only readers do, for all others. */
    private void scheduleHedge(Duration delay) {
        int round = mRound;
        schedule(
                () -> {
                    if (!mStopped && round == mRound && mFeed.isReader()) {
                        joinPending();
                        scheduleHedge(HEDGE_DELAY);
                    }
                },
                delay);
    }

    private void joinPending() {
        if (mPending > 0 && mPending < MAX_PENDING) {
            mPending++;
            new CompleteRead(mRound).readFrom("");
        }
    }

    /** A read of the complete table, in pages. */
    private final class CompleteRead {
        private final int mReadRound;
        private final List<Row> mRows = new ArrayList<>();
        private StoreVersion mReadAt = StoreVersion.NONE;
        private long mBytes;

        CompleteRead(int round) {
            mReadRound = round;
        }

        void readFrom(String key) {
            onResult(mStore.read(mTable, key, mTimes.timeout()), this::pageRead);
        }

        private void pageRead(Result result) {
            if (mStopped || mReadRound != mRound) {
                return;
            }
            switch (result) {
                case Result.Rows rows -> pageRead(rows);
                case Result.HistoryLost lost -> callFailed("the store no longer holds the changes");
                case Result.Failed failed -> callFailed(failed.reason());
            }
        }

        private void pageRead(Result.Rows rows) {
            if (mRows.isEmpty()) {
                // Changes between the reads of two pages may be missing from the first one.
                mReadAt = rows.readAt();
            }
            if (!mRows.isEmpty()
                    && !rows.rows().isEmpty()
                    && !isAfter(rows.rows().getLast(), mRows.getLast())) {
                callFailed("a page does not continue the one before");
                return;
            }
            for (Row row : rows.rows()) {
                mBytes += row.key().length() + row.value().length + ROW_BYTES;
            }
            if (mBytes > MAX_TABLE_BYTES) {
                callFailed("the table is larger than " + MAX_TABLE_BYTES + " bytes");
                return;
            }
            mRows.addAll(rows.rows());
            if (rows.more() && !rows.rows().isEmpty()) {
                // The smallest key after the last one, in byte order.
                readFrom(rows.rows().getLast().key() + "\0");
                return;
            }
            StoreVersion from = mMirror.readTo();
            List<Row> changed = mMirror.applySnapshot(mRows, mReadAt);
            endRound();
            pass(() -> mListener.replaced(mMirror.rows()));
            pass(() -> mFeed.reportRead(mTable, from, mReadAt, changed));
            poll();
        }

        /** Compares in the order of the store, that of the bytes of the keys. */
        private static boolean isAfter(Row row, Row before) {
            return Arrays.compareUnsigned(
                            row.key().getBytes(StandardCharsets.UTF_8),
                            before.key().getBytes(StandardCharsets.UTF_8))
                    > 0;
        }
    }

    /** Polls the store for changes, unless other instances pass them on. */
    private void poll() {
        if (mStopped) {
            return;
        }
        mNextPoll = null;
        long trust = remainingTrustNanos();
        if (trust > 0) {
            // This instance may become a reader in the meantime.
            long delay = Math.min(trust, ROLE_CHECK.toNanos());
            mNextPoll = mControl.schedule(() -> runStep(this::poll), delay, TimeUnit.NANOSECONDS);
            return;
        }
        StoreVersion since = mMirror.readTo();
        startRound();
        int round = mRound;
        onResult(
                mStore.changes(mTable, since.version(), mTimes.longPoll(), mTimes.timeout()),
                result -> changesRead(round, since, result));
        scheduleHedge(mTimes.longPoll().plus(HEDGE_DELAY));
    }

    private void changesRead(int round, StoreVersion since, Result result) {
        if (mStopped || round != mRound) {
            return;
        }
        switch (result) {
            case Result.Rows rows -> {
                List<Row> changed = mMirror.applyChanges(rows.rows(), rows.readAt());
                endRound();
                pass(() -> mListener.changed(changed));
                pass(() -> mFeed.reportRead(mTable, since, rows.readAt(), rows.rows()));
                Duration pause = rows.rows().isEmpty() ? Duration.ZERO : mTimes.pause();
                schedule(this::poll, pause);
            }
            case Result.HistoryLost lost -> readAll();
            case Result.Failed failed -> callFailed(failed.reason());
        }
    }

    /** Calls the listener or the feed, whose failure must not end the watch. */
    private void pass(Runnable call) {
        mGuard.run("rows of table " + mTable, call);
    }

    /**
     * Runs a step of the watch; the watch starts again when it fails, since each step calls the
     * next.
     */
    private void runStep(Runnable step) {
        if (!mGuard.run("watch of table " + mTable, step)) {
            schedule(this::readAll, MAX_BACKOFF);
        }
    }

    private void schedule(Runnable step, Duration delay) {
        mControl.schedule(() -> runStep(step), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Passes the result of a call on; a call that ends with an exception has failed. */
    private void onResult(CompletionStage<Result> call, Consumer<Result> step) {
        call.exceptionally(failure -> new Result.Failed(String.valueOf(failure), false))
                .thenAcceptAsync(result -> runStep(() -> step.accept(result)), mControl);
    }

    /** Ends a round after a response; the results of its other calls are ignored. */
    private void endRound() {
        mRound++;
        mPending = 0;
        markReachable();
    }

    private void markReachable() {
        mUnreachable = false;
        mBackoff = INITIAL_BACKOFF;
    }

    private void callFailed(String reason) {
        mPending--;
        if (isFedByReader()) {
            // The call may have been sent while the store was silent; readers have a response.
            if (mPending == 0) {
                poll();
            }
            return;
        }
        if (!mUnreachable) {
            mUnreachable = true;
            pass(() -> mListener.unavailable(reason));
            pass(() -> mFeed.reportUnreachable(mTable));
        }
        pass(() -> onResult(mFeed.pull(mTable), this::applyPulled));
        if (mPending > 0) {
            return;
        }
        schedule(this::retry, mBackoff);
        Duration doubled = mBackoff.multipliedBy(2);
        mBackoff = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
    }

    private void retry() {
        if (isFedByReader()) {
            poll();
        } else {
            readAll();
        }
    }

    /** Applies the table of another instance while the store can't be reached. */
    private void applyPulled(Result result) {
        if (mUnreachable
                && result instanceof Result.Rows rows
                && rows.version() > mMirror.version()) {
            mMirror.applySnapshot(rows.rows(), rows.readAt());
            pass(() -> mListener.replaced(mMirror.rows()));
            pass(() -> mListener.unavailable("the table was fetched from another instance"));
        }
    }
}
