package org.gentianwalk.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;

/**
 * Follows one table of the shared store. Confined to the control thread.
 *
 * <p>The whole table is read first, then its changes; after the store has dropped the history, or
 * has failed, the whole table is read again.
 */
public final class TableWatcher {
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(150);
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(600);

    private final RowStore mStore;
    private final String mTable;
    private final TableListener mListener;
    private final ScheduledExecutorService mControl;
    private final WatchTimes mTimes;
    private final List<Row> mRead = new ArrayList<>();
    private Duration mBackoff = FIRST_BACKOFF;
    private boolean mLost;
    private boolean mStopped;

    /**
     * Creates a watcher that has not started.
     *
     * @param store the store
     * @param table the table
     * @param listener learns the content
     * @param control the control thread
     * @param times pace of the calls
     */
    public TableWatcher(
            RowStore store,
            String table,
            TableListener listener,
            ScheduledExecutorService control,
            WatchTimes times) {
        mStore = store;
        mTable = table;
        mListener = listener;
        mControl = control;
        mTimes = times;
    }

    /**
     * Pace of the calls.
     *
     * @param longPoll longest wait for a change; bounds how long a lost call goes unnoticed
     * @param timeout longest wait for any other answer
     * @param pause time between two calls for changes, so that changes in quick succession cost one
     *     call
     */
    public record WatchTimes(Duration longPoll, Duration timeout, Duration pause) {}

    /** Starts to follow the table. */
    public void start() {
        readAll();
    }

    /** Stops after the call that is out. */
    public void stop() {
        mStopped = true;
    }

    private void readAll() {
        if (mStopped) {
            return;
        }
        mRead.clear();
        readFrom("");
    }

    private void readFrom(String key) {
        mStore.read(mTable, key, mTimes.timeout()).thenAcceptAsync(this::read, mControl);
    }

    private void read(Result result) {
        if (mStopped) {
            return;
        }
        switch (result) {
            case Result.Rows rows -> {
                mRead.addAll(rows.rows());
                if (rows.more() && !rows.rows().isEmpty()) {
                    // The smallest key after the last one, in byte order.
                    readFrom(rows.rows().getLast().key() + "\0");
                    return;
                }
                recovered();
                mListener.replaced(List.copyOf(mRead));
                mRead.clear();
                follow(rows.version());
            }
            case Result.HistoryLost lost -> failed("history lost");
            case Result.Failed failed -> failed(failed.reason());
        }
    }

    private void follow(long version) {
        mStore.changes(mTable, version, mTimes.longPoll(), mTimes.timeout())
                .thenAcceptAsync(result -> followed(version, result), mControl);
    }

    private void followed(long before, Result result) {
        if (mStopped) {
            return;
        }
        switch (result) {
            case Result.Rows rows -> {
                recovered();
                mListener.changed(rows.rows());
                long version = Math.max(before, rows.version());
                later(rows.rows().isEmpty() ? Duration.ZERO : mTimes.pause(), version);
            }
            case Result.HistoryLost lost -> readAll();
            case Result.Failed failed -> failed(failed.reason());
        }
    }

    private void later(Duration pause, long version) {
        mControl.schedule(() -> follow(version), pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void recovered() {
        mLost = false;
        mBackoff = FIRST_BACKOFF;
    }

    private void failed(String reason) {
        if (!mLost) {
            mLost = true;
            mListener.lost(reason);
        }
        mControl.schedule(this::readAll, mBackoff.toMillis(), TimeUnit.MILLISECONDS);
        Duration doubled = mBackoff.multipliedBy(2);
        mBackoff = doubled.compareTo(LONGEST_BACKOFF) > 0 ? LONGEST_BACKOFF : doubled;
    }
}
