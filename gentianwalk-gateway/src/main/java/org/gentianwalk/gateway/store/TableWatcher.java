package org.gentianwalk.gateway.store;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.log.GatewayLog;
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
 *
 * <p>When the store comes back from a copy, its era rises. Readers then read the complete table and
 * announce it; the other instances adopt it from them, or read it after a random delay.
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

    /** Longest random delay after which a follower reads the table when the store was restored. */
    private static final Duration MAX_READ_DELAY = Duration.ofMillis(300);

    /**
     * Time after which rows that were kept from an earlier era give way to what the store lists.
     * Upstreams that are alive are listed again within about 2 s of its return; the rest allows for
     * a store that does not respond to all instances at once.
     */
    private static final Duration SETTLE_DELAY = Duration.ofSeconds(6);

    /** Interval at which the read that settles such rows is tried again. */
    private static final Duration SETTLE_RETRY = Duration.ofSeconds(1);

    /**
     * Maximum size of a table that is read, bytes, including {@link #ROW_BYTES} a row. The
     * upstreams of the largest site, 12,000 rows of some 300 bytes, take 5 MB.
     */
    static final long MAX_TABLE_BYTES = 8 << 20;

    /** Memory of a row beside its key and value, bytes; an estimate. */
    static final int ROW_BYTES = 128;

    private static final Result NOT_PULLED =
            new Result.Failed("other instances could not be asked", false);

    private final RowStore mStore;
    private final String mTable;
    private final TableListener mListener;
    private final TableFeed mFeed;
    private final ScheduledExecutorService mControl;
    private final Ticker mTicker;
    private final WatchTimes mTimes;
    private final FailureGuard mGuard;
    private final GatewayLog mLog = new GatewayLog();
    private final TableMirror mMirror;
    private Duration mBackoff = INITIAL_BACKOFF;
    private @Nullable Long mReaderHeardAt;
    private @Nullable ScheduledFuture<?> mNextPoll;
    private @Nullable ScheduledFuture<?> mDelayedRead;

    /** Time from which on a complete read settles the rows of an earlier era. */
    private @Nullable Long mSettleAt;

    /** Whether the next complete read settles them. */
    private boolean mSettles;

    /** Whether the next complete read sets the read position, since the store has no later one. */
    private boolean mRewinds;

    /** Whether the first complete read waits for the table of another instance. */
    private boolean mPullsAtStart;

    /** Complete reads since the store last returned changes. */
    private int mReadsWithoutChanges;

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
        mMirror = new TableMirror(listener::supersedes, ticker);
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
                        mTable, to.era(), 0, to.version(), mMirror.rowsForPeers(), !mUnreachable);
    }

    /**
     * Applies changes that another instance has read.
     *
     * @param changes the changes
     */
    public void applyPeerChanges(TableChanges changes) {
        if (changes.available() && mMirror.version() >= 0) {
            if (changes.era() < mMirror.readTo().era()) {
                ignoreEarlierEra(changes);
                return;
            }
            if (mMirror.isOutdatedBy(changes.end())) {
                learnEra(changes);
                return;
            }
        }
        if (mDelayedRead != null) {
            return;
        }
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
        mReadsWithoutChanges = 0;
        List<Row> changed = mMirror.applyChanges(changes.rows(), changes.end());
        scheduleSettlement();
        if (mUnreachable || !changed.isEmpty()) {
            markReachable();
            pass(() -> mListener.changed(changed));
        }
    }

    private void ignoreEarlierEra(TableChanges changes) {
        if (!changes.rows().isEmpty()) {
            mLog.earlierEraIgnored(
                    mTable, changes.era(), mMirror.readTo().era(), changes.rows().size());
        }
    }

    /** Adopts a new era from another instance, or reads the table if it announced no rows. */
    private void learnEra(TableChanges changes) {
        ScheduledFuture<?> delayed = mDelayedRead;
        ScheduledFuture<?> nextPoll = mNextPoll;
        if (changes.isComplete()) {
            mReaderHeardAt = mTicker.nanos();
            applySnapshot(changes.rows(), changes.end());
            announceCarried(changes);
            markReachable();
            pass(() -> mListener.replaced(mMirror.rows()));
            if (delayed != null && delayed.cancel(false)) {
                mDelayedRead = null;
                poll();
            }
        } else if (delayed != null) {
            return;
        } else if (nextPoll != null && nextPoll.cancel(false)) {
            mNextPoll = null;
            readAfterRestore();
        } else {
            // The pending call may have been sent while the store was silent.
            joinPending();
        }
    }

    /** Passes rows on that the instance which announced an era did not know to be newer. */
    private void announceCarried(TableChanges announced) {
        long known = announced.rows().stream().filter(Row::carried).count();
        if (mMirror.carried() > known) {
            StoreVersion start = new StoreVersion(announced.era(), 0);
            List<Row> rows = mMirror.rowsForPeers();
            pass(() -> mFeed.reportRead(mTable, start, announced.end(), rows));
        }
    }

    /** Applies a complete table, and adopts its era if that is new. */
    private List<Row> applySnapshot(List<Row> rows, StoreVersion point) {
        StoreVersion before = mMirror.readTo();
        boolean adopts = mMirror.isOutdatedBy(point);
        List<Row> changed = mMirror.applySnapshot(rows, point);
        if (adopts) {
            mLog.storeRestored(
                    mTable,
                    before.era(),
                    point.era(),
                    before.version(),
                    point.version(),
                    mMirror.carried());
            mSettleAt = null;
            mSettles = false;
            pass(() -> mListener.restored(point.era()));
        }
        if (mMirror.readTo().era() > before.era()) {
            scheduleCarriedEnd();
        }
        scheduleSettlement();
        return changed;
    }

    /** Rows that others carried over are taken from them only until all have settled. */
    private void scheduleCarriedEnd() {
        if (!mListener.refreshesRows()) {
            return;
        }
        long era = mMirror.readTo().era();
        schedule(
                () -> {
                    if (mMirror.readTo().era() == era) {
                        mMirror.endCarrying();
                    }
                },
                SETTLE_DELAY.plus(MAX_READ_DELAY));
    }

    private void scheduleSettlement() {
        if (mSettleAt != null || !mMirror.holdsCarried() || !mListener.refreshesRows()) {
            return;
        }
        Duration delay = SETTLE_DELAY.plus(randomDelay());
        long at = mTicker.nanos() + delay.toNanos();
        mSettleAt = at;
        schedule(
                () -> {
                    Long due = mSettleAt;
                    ScheduledFuture<?> nextPoll = mNextPoll;
                    if (due == null || due != at) {
                        return;
                    }
                    if (nextPoll != null && nextPoll.cancel(false)) {
                        poll();
                    } else {
                        joinPending();
                    }
                },
                delay);
    }

    private boolean isSettlementDue() {
        Long at = mSettleAt;
        return at != null && mTicker.nanos() - at >= 0;
    }

    private static Duration randomDelay() {
        return Duration.ofNanos(ThreadLocalRandom.current().nextLong(MAX_READ_DELAY.toNanos()));
    }

    /**
     * Reads the complete table since the store has no history from the read position on. A reader
     * does so at once and passes it on; others leave it the time to do so.
     */
    private void readAfterRestore() {
        if (mDelayedRead != null) {
            return;
        }
        startRound();
        mRewinds = true;
        Duration delay = mFeed.isReader() ? Duration.ZERO : randomDelay();
        if (mReadsWithoutChanges > 1) {
            // The table has just been read, so reading it again at once would be a loop.
            delay = delay.plus(mReadsWithoutChanges == 2 ? INITIAL_BACKOFF : MAX_BACKOFF);
        }
        if (delay.isZero()) {
            readAll();
            return;
        }
        mDelayedRead =
                mControl.schedule(
                        () -> {
                            mDelayedRead = null;
                            runStep(this::readAll);
                        },
                        delay.toNanos(),
                        TimeUnit.NANOSECONDS);
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
            if (rows.readAt().era() < mMirror.readTo().era()) {
                callFailed("the response is of an earlier era of the store");
                return;
            }
            if (!mRows.isEmpty() && rows.readAt().era() != mReadAt.era()) {
                callFailed("the store was restored between two pages");
                return;
            }
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
            if (rows.more() && rows.rows().isEmpty()) {
                callFailed("a page without rows is not the last one");
                return;
            }
            mRows.addAll(rows.rows());
            if (rows.more()) {
                // The smallest key after the last one, in byte order.
                readFrom(rows.rows().getLast().key() + "\0");
                return;
            }
            if (mMirror.version() >= 0 || mReadAt.era() == 0) {
                apply();
            } else if (!mPullsAtStart) {
                // The copy lacks the latest changes, which other instances may know.
                mPullsAtStart = true;
                Runnable pull = () -> onResult(mFeed.pull(mTable), this::applyAfterPull);
                if (!mGuard.run("rows of table " + mTable, pull)) {
                    applyAfterPull(NOT_PULLED);
                }
            }
        }

        private void applyAfterPull(Result pulled) {
            mPullsAtStart = false;
            if (mStopped || mReadRound != mRound) {
                return;
            }
            if (pulled instanceof Result.Rows rows && rows.readAt().era() <= mReadAt.era()) {
                applySnapshot(rows.rows(), rows.readAt());
            }
            apply();
        }

        private void apply() {
            StoreVersion from = mMirror.readTo();
            boolean first = mReadAt.era() > from.era();
            List<Row> changed = applySnapshot(mRows, mReadAt);
            if (mRewinds && mReadAt.isBefore(from)) {
                mMirror.rewind(mReadAt);
            }
            mRewinds = false;
            ScheduledFuture<?> delayed = mDelayedRead;
            if (delayed != null) {
                delayed.cancel(false);
                mDelayedRead = null;
            }
            if (mSettles || isSettlementDue()) {
                mLog.carriedRowsSettled(mTable, mReadAt.version(), mMirror.carried());
                mMirror.settle(mRows, mReadAt);
                mSettleAt = null;
                mSettles = false;
            }
            mReadsWithoutChanges++;
            endRound();
            pass(() -> mListener.replaced(mMirror.rows()));
            if (first) {
                StoreVersion start = new StoreVersion(mReadAt.era(), 0);
                List<Row> rows = mMirror.rowsForPeers();
                pass(() -> mFeed.reportRead(mTable, start, mReadAt, rows));
            } else {
                pass(() -> mFeed.reportRead(mTable, from, mReadAt, changed));
            }
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
        if (isSettlementDue()) {
            mSettleAt = mTicker.nanos() + SETTLE_RETRY.toNanos();
            mSettles = true;
            readAll();
            return;
        }
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
        if (since.era() < mMirror.readTo().era()) {
            // Another instance has announced the new era meanwhile.
            poll();
            return;
        }
        switch (result) {
            case Result.Rows rows when rows.readAt().era() < since.era() ->
                    callFailed("the response is of an earlier era of the store");
            case Result.Rows rows when rows.readAt().era() > since.era() -> readAfterRestore();
            case Result.Rows rows when rows.version() < since.version() -> readAfterRestore();
            case Result.Rows rows -> {
                mReadsWithoutChanges = 0;
                List<Row> changed = mMirror.applyChanges(rows.rows(), rows.readAt());
                endRound();
                pass(() -> mListener.changed(changed));
                pass(() -> mFeed.reportRead(mTable, since, rows.readAt(), rows.rows()));
                Duration pause = rows.rows().isEmpty() ? Duration.ZERO : mTimes.pause();
                schedule(this::poll, pause);
            }
            case Result.HistoryLost lost -> readAfterRestore();
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
                && mMirror.readTo().isBefore(rows.readAt())) {
            applySnapshot(rows.rows(), rows.readAt());
            pass(() -> mListener.replaced(mMirror.rows()));
            pass(() -> mListener.unavailable("the table was fetched from another instance"));
        }
    }
}
