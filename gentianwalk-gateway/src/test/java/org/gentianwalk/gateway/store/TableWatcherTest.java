package org.gentianwalk.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.gateway.ManualExecutor;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.server.guard.FailureGuard;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against changes in the store that an instance misses. */
class TableWatcherTest {
    private final ManualExecutor mControl = new ManualExecutor();
    private final ScriptedStore mStore = new ScriptedStore();
    private final RecordedFeed mFeed = new RecordedFeed();
    private final List<String> mEvents = new ArrayList<>();
    private TableWatcher mWatcher;
    private long mVersion;

    @BeforeEach
    void start() {
        TableListener listener =
                new TableListener() {
                    @Override
                    public void replaced(List<Row> rows) {
                        mEvents.add("all " + keys(rows));
                    }

                    @Override
                    public void changed(List<Row> rows) {
                        mEvents.add("changed " + keys(rows));
                        if (keys(rows).contains("odd")) {
                            throw new IllegalArgumentException("an odd row");
                        }
                    }

                    @Override
                    public void unavailable(String reason) {
                        mEvents.add("lost " + reason);
                    }
                };
        mWatcher =
                new TableWatcher(
                        mStore,
                        "table",
                        listener,
                        mFeed,
                        mControl,
                        mControl::nanos,
                        new WatchTimes(
                                Duration.ofSeconds(4),
                                Duration.ofMillis(1_500),
                                Duration.ofMillis(100),
                                Duration.ofMillis(1_500)),
                        FailureGuard.logging());
        mWatcher.start();
    }

    @Test
    void theWholeTableIsReadInPagesAndThenItsChanges() {
        answer(new Result.Rows(List.of(row("a")), true, 5));
        answer(new Result.Rows(List.of(row("b")), false, 6));
        answer(new Result.Rows(List.of(row("c")), false, 9));
        mControl.advance(Duration.ofMillis(100));

        assertThat(mEvents).containsExactly("all [a, b]", "changed [c]");
        assertThat(mStore.mCalls)
                .containsExactly("read ''", "read 'a\0'", "changes 5", "changes 9");
    }

    /** A store that repeats a page without end would fill the memory with its rows. */
    @Test
    void aPageThatIsRepeatedEndsTheRead() {
        answer(new Result.Rows(List.of(row("a"), row("b")), true, 5));
        answer(new Result.Rows(List.of(row("a"), row("b")), true, 5));

        assertThat(mEvents).containsExactly("lost a page does not continue the one before");
        assertThat(mStore.mCalls).containsExactly("read ''", "read 'b\0'");
        mControl.advance(Duration.ofSeconds(1));
        answer(new Result.Rows(List.of(row("a")), false, 6));
        assertThat(mEvents).endsWith("all [a]");
    }

    /** All rows of a page may be unreadable; taken for the last page, it removes those after it. */
    @Test
    void aPageWithoutRowsThatOthersFollowIsNotTheLastOne() {
        answer(new Result.Rows(List.of(row("a")), true, 5));
        answer(new Result.Rows(List.of(), true, 5));

        assertThat(mEvents).containsExactly("lost a page without rows is not the last one");
    }

    /** New pages may follow without end as well. */
    @Test
    void aTableWithoutEndIsReadUpToItsMaximumSize() {
        byte[] value = new byte[1 << 20];
        int pages = 0;
        while (mEvents.isEmpty() && pages < 100) {
            String key = String.format(Locale.ROOT, "%04d", pages++);
            answer(new Result.Rows(List.of(new Row(key, value, false, 3)), true, 5));
        }

        assertThat((long) pages << 20).isLessThanOrEqualTo(TableWatcher.MAX_TABLE_BYTES);
        assertThat(mEvents).first().asString().startsWith("lost the table is larger");
    }

    /** Keys are in the order of their bytes, which differs from the order of their characters. */
    @Test
    void pagesContinueInTheOrderOfBytes() {
        answer(new Result.Rows(List.of(row("\uffee")), true, 5));
        answer(new Result.Rows(List.of(row("\ud83d\ude00")), false, 5));

        assertThat(mEvents).containsExactly("all [\ud83d\ude00, \uffee]");
    }

    /** Each page is read at a version of its own, so the first one may lack later changes. */
    @Test
    void aChangeBetweenTheReadsOfTwoPagesIsNotMissed() {
        Row old = row("a");
        answer(new Result.Rows(List.of(old), true, 5));
        answer(new Result.Rows(List.of(row("b")), false, 7));
        assertThat(mStore.mCalls).endsWith("changes 5");

        answer(new Result.Rows(List.of(removed("a", 6)), false, 7));

        assertThat(keys(mWatcher.snapshot().rows())).containsExactly("b");
    }

    @Test
    void theWholeTableIsReadAgainAfterLostHistory() {
        answer(new Result.Rows(List.of(row("a")), false, 5));
        answer(new Result.HistoryLost());
        answer(new Result.Rows(List.of(row("b")), false, 50));

        assertThat(mEvents).containsExactly("all [a]", "all [b]");
        assertThat(mStore.mCalls).endsWith("changes 50");
    }

    @Test
    void anOutageIsReportedOnceAndTheTableReadAgainAfterIt() {
        answer(new Result.Rows(List.of(row("a")), false, 5));
        answer(new Result.Failed("away", false));
        for (int i = 0; i < 3; i++) {
            mControl.advance(Duration.ofSeconds(1));
            answer(new Result.Failed("away", false));
        }
        mControl.advance(Duration.ofSeconds(1));
        answer(new Result.Rows(List.of(row("b")), false, 8));

        assertThat(mEvents).containsExactly("all [a]", "lost away", "all [b]");
    }

    @Test
    void theBackoffDuringAnOutageIsBounded() {
        answer(new Result.Failed("away", false));
        for (int i = 0; i < 10; i++) {
            mControl.advance(Duration.ofMillis(600));
            assertThat(mStore.mOpen).as("the store is called again within 0.6 s").isNotEmpty();
            answer(new Result.Failed("away", false));
        }
    }

    @Test
    void anEmptyResponseShowsThatTheStoreIsReachable() {
        answer(new Result.Rows(List.of(), false, 5));
        answer(new Result.Rows(List.of(), false, 5));

        assertThat(mEvents).containsExactly("all []", "changed []");
    }

    /** Each call to the store is billed, and the whole fleet shares its rate limit. */
    @Test
    void aFollowerThatReceivesChangesDoesNotPollTheStore() {
        mFeed.mReader = false;
        answer(new Result.Rows(List.of(row("a")), false, 5));
        mWatcher.applyPeerChanges(changes(4, 6, row("b")));
        answer(new Result.Rows(List.of(), false, 6));
        int calls = mStore.mCalls.size();
        for (int i = 0; i < 20; i++) {
            mWatcher.applyPeerChanges(changes(6, 6));
            mControl.advance(Duration.ofMillis(500));
        }

        assertThat(mStore.mCalls).hasSize(calls);
        assertThat(mEvents).contains("changed [b]");
    }

    @Test
    void aFollowerPollsTheStoreWhenReadersFallSilent() {
        mFeed.mReader = false;
        answer(new Result.Rows(List.of(row("a")), false, 5));
        mWatcher.applyPeerChanges(changes(4, 6));
        answer(new Result.Rows(List.of(), false, 6));

        mControl.advance(Duration.ofMillis(1_600));

        assertThat(mStore.mOpen).as("a change has to be in force within 2.5 s").hasSize(1);
    }

    /**
     * A reader that the store rejects without a response notices it only at the end of its call. A
     * follower that relies on it for longer sends requests to upstreams that have left.
     */
    @ParameterizedTest
    @ValueSource(ints = {500, 2_500, 5_000})
    void aFollowerPollsTheStoreWithinTheTimeForChanges(int boundMillis) {
        Duration bound = Duration.ofMillis(boundMillis);
        WatchTimes times =
                WatchTimes.within(bound, Duration.ofMillis(1_500), Duration.ofMillis(100));
        ManualExecutor control = new ManualExecutor();
        ScriptedStore store = new ScriptedStore();
        mFeed.mReader = false;
        TableWatcher follower =
                new TableWatcher(
                        store,
                        "table",
                        new IgnoringListener(),
                        mFeed,
                        control,
                        control::nanos,
                        times,
                        FailureGuard.logging());
        follower.start();
        store.mOpen.remove().complete(new Result.Rows(List.of(), false, 5));
        control.runAll();
        follower.applyPeerChanges(changes(5, 5));
        store.mOpen.remove().complete(new Result.Rows(List.of(), false, 5));
        control.runAll();
        control.advance(Duration.ZERO);

        control.advance(times.longPoll().plusMillis(50));
        assertThat(store.mOpen)
                .as("a reader that gets responses sends a message by then")
                .isEmpty();
        control.advance(bound.multipliedBy(9).dividedBy(10).minusNanos(control.nanos()));
        assertThat(store.mOpen).as("calls to the store in time").hasSize(1);
    }

    /** Receives rows that a test does not look at. */
    private static final class IgnoringListener implements TableListener {
        @Override
        public void replaced(List<Row> rows) {
            // The calls to the store are observed instead.
        }

        @Override
        public void changed(List<Row> rows) {
            // The calls to the store are observed instead.
        }

        @Override
        public void unavailable(String reason) {
            // The calls to the store are observed instead.
        }
    }

    @Test
    void aGapInReceivedChangesCausesAnImmediatePoll() {
        mFeed.mReader = false;
        answer(new Result.Rows(List.of(row("a")), false, 5));
        mWatcher.applyPeerChanges(changes(4, 6));
        answer(new Result.Rows(List.of(), false, 6));
        assertThat(mStore.mOpen).isEmpty();

        mWatcher.applyPeerChanges(changes(9, 9));

        assertThat(mStore.mCalls).endsWith("changes 6");
        assertThat(mStore.mOpen).hasSize(1);
    }

    @Test
    void aReaderPollsTheStoreDespiteReceivedChanges() {
        mFeed.mReader = true;
        answer(new Result.Rows(List.of(row("a")), false, 5));
        mWatcher.applyPeerChanges(changes(4, 6));
        answer(new Result.Rows(List.of(), false, 6));

        assertThat(mStore.mOpen).hasSize(1);
    }

    /** A delayed copy of an entry must not restore an upstream that was removed. */
    @Test
    void anOlderCopyOfARowIsIgnored() {
        Row old = row("a");
        answer(new Result.Rows(List.of(old), false, 5));
        mWatcher.applyPeerChanges(changes(5, 8, removed("a", 7)));
        mWatcher.applyPeerChanges(changes(5, 6, old));

        assertThat(mEvents).containsExactly("all [a]", "changed [a]");
        assertThat(mWatcher.snapshot().rows()).isEmpty();
    }

    /** An instance that the store refuses must still receive new upstreams. */
    @Test
    void theTableIsFetchedFromAnotherInstanceDuringAnOutage() {
        answer(new Result.Rows(List.of(row("a")), false, 5));
        mFeed.mPulled = new Result.Rows(List.of(row("b"), row("c")), false, 9);
        answer(new Result.Failed("away", false));

        assertThat(mEvents).contains("lost away", "all [b, c]");
        assertThat(mFeed.mLog).contains("lost");
    }

    @Test
    void removedRowsAreReportedToOthersAfterLostHistory() {
        answer(new Result.Rows(List.of(row("a"), row("b")), false, 5));
        answer(new Result.HistoryLost());
        answer(new Result.Rows(List.of(row("c")), false, 50));

        assertThat(mFeed.mLog).containsExactly("-1 to 5 [a, b]", "5 to 50 [c, a, b]");
    }

    /**
     * A reader that was cut off from the store knows changes that it has not announced. Heartbeats
     * must not state that nothing has changed since its last announcement.
     */
    @Test
    void aHeartbeatDoesNotCoverChangesThatTheReaderReceivedFromAnotherInstance() {
        Row old = row("a");
        answer(new Result.Rows(List.of(old), false, 5));
        mFeed.mAnnouncer.announce(List.of(old));
        Row current = new Row("a", new byte[0], false, 6);
        mFeed.mPulled = new Result.Rows(List.of(current), false, 6);
        answer(new Result.Failed("away", false));
        mControl.advance(Duration.ofMillis(600));
        answer(new Result.Rows(List.of(current), false, 7));

        TableChanges heartbeat = mFeed.mAnnouncer.announce(List.of());

        assertThat(heartbeat.from()).as("a follower at version 5 must poll").isEqualTo(6);
        assertThat(heartbeat.to()).isEqualTo(7);
    }

    /** A message of the other reader may be lost on the way to a follower. */
    @Test
    void anAnnouncementDoesNotCoverChangesThatAnotherReaderAnnounced() {
        answer(new Result.Rows(List.of(row("a")), false, 5));
        mFeed.mAnnouncer.announce(List.of());
        Row second = row("b");
        answer(new Result.Rows(List.of(second), false, 6));
        mFeed.mAnnouncer.announce(List.of(second));
        mWatcher.applyPeerChanges(changes(6, 8, new Row("c", new byte[0], false, 8)));
        mControl.advance(Duration.ofMillis(100));
        Row last = new Row("d", new byte[0], false, 9);
        answer(new Result.Rows(List.of(last), false, 9));

        assertThat(mFeed.mAnnouncer.announce(List.of(last)).from()).isEqualTo(8);
    }

    /** Followers that are up to date need no call to the store while nothing changes. */
    @Test
    void heartbeatsOfConsecutiveReadsLeaveNoGap() {
        answer(new Result.Rows(List.of(row("a")), false, 5));
        mFeed.mAnnouncer.announce(List.of());
        answer(new Result.Rows(List.of(), false, 7));
        answer(new Result.Rows(List.of(), false, 9));

        TableChanges heartbeat = mFeed.mAnnouncer.announce(List.of());

        assertThat(heartbeat.from()).isEqualTo(5);
        assertThat(heartbeat.to()).isEqualTo(9);
    }

    /** An instance that stops following the table keeps old upstreams and keys for ever. */
    @Test
    void aRowThatTheListenerFailsOnDoesNotEndTheWatch() {
        answer(new Result.Rows(List.of(row("a")), false, 5));
        answer(new Result.Rows(List.of(row("odd")), false, 6));
        mControl.advance(Duration.ofMillis(100));
        answer(new Result.Rows(List.of(row("b")), false, 7));

        assertThat(mEvents).containsExactly("all [a]", "changed [odd]", "changed [b]");
    }

    /**
     * Calls that were sent while the store was silent get no response after its return either. A
     * reader that waits for their timeout leaves its region with an old list.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 300, 700, 1_100, 1_500, 1_900, 2_300, 2_700, 3_100})
    void aReaderReadsTheTableSoonAfterASilentStoreReturns(int silentMillis) {
        ManualExecutor control = new ManualExecutor();
        SilentStore store = new SilentStore(control);
        TableWatcher reader = watcher(store, control);
        reader.start();
        control.advance(Duration.ofSeconds(4));
        store.mSilentSince = control.nanos();
        control.advance(Duration.ofMillis(5_000 + silentMillis));
        store.mSilentSince = Long.MAX_VALUE;
        int calls = store.mCalls;
        int answers = store.mAnswers;

        control.advance(Duration.ofMillis(600));

        assertThat(store.mAnswers).as("responses within 0.6 s").isGreaterThan(answers);
        assertThat(store.mCalls - calls).as("calls").isLessThanOrEqualTo(4);
        control.advance(Duration.ofSeconds(6));
        assertThat(store.mOpen).as("polls at the same time").isEqualTo(1);
    }

    /** Every call is billed, and a wide fleet would reach the limit of the store. */
    @Test
    void followersDoNotReadMoreOftenWhileTheStoreIsSilent() {
        ManualExecutor control = new ManualExecutor();
        SilentStore store = new SilentStore(control);
        store.mSilentSince = 0;
        mFeed.mReader = false;
        watcher(store, control).start();
        control.advance(Duration.ofSeconds(21));

        assertThat(store.mCalls).isLessThanOrEqualTo(12);
    }

    /** Its entries would be kept for longer than the upstreams exist. */
    @Test
    void aCallFromTheTimeOfSilenceIsNoOutageOnceReadersHaveAResponse() {
        mFeed.mReader = false;
        answer(new Result.Rows(List.of(row("a")), false, 5));
        answer(new Result.Failed("no response in time", false));
        mControl.advance(Duration.ofMillis(150));
        mWatcher.applyPeerChanges(changes(5, 7, row("b")));
        answer(new Result.Failed("no response in time", false));

        assertThat(mEvents).containsExactly("all [a]", "lost no response in time", "changed [b]");
        mControl.advance(Duration.ofMillis(1_600));
        assertThat(mStore.mOpen).as("the watch goes on").hasSize(1);
    }

    private TableWatcher watcher(RowStore store, ManualExecutor control) {
        return new TableWatcher(
                store,
                "table",
                new IgnoringListener(),
                mFeed,
                control,
                control::nanos,
                WatchTimes.within(
                        Duration.ofMillis(2_500), Duration.ofMillis(1_500), Duration.ofMillis(100)),
                FailureGuard.logging());
    }

    /** A store that leaves calls without a response while it is silent. */
    private static final class SilentStore implements RowStore {
        private final ManualExecutor mControl;
        private long mSilentSince = Long.MAX_VALUE;
        private int mCalls;
        private int mAnswers;
        private int mOpen;

        SilentStore(ManualExecutor control) {
            mControl = control;
        }

        @Override
        public CompletionStage<Result> read(String table, String fromKey, Duration timeout) {
            return call(Duration.ofMillis(5), timeout);
        }

        @Override
        public CompletionStage<Result> changes(
                String table, long since, Duration wait, Duration timeout) {
            return call(wait, wait.plus(timeout));
        }

        @Override
        public CompletionStage<Result> write(
                String table, String key, byte[] value, Duration timeout) {
            return call(Duration.ofMillis(5), timeout);
        }

        private CompletionStage<Result> call(Duration wait, Duration timeout) {
            mCalls++;
            mOpen++;
            boolean lost = mSilentSince != Long.MAX_VALUE;
            CompletableFuture<Result> result = new CompletableFuture<>();
            mControl.schedule(
                    () -> {
                        if (!lost && mSilentSince == Long.MAX_VALUE && !result.isDone()) {
                            mAnswers++;
                            mOpen--;
                            result.complete(new Result.Rows(List.of(), false, 5));
                        }
                    },
                    wait.toMillis(),
                    TimeUnit.MILLISECONDS);
            mControl.schedule(
                    () -> {
                        if (!result.isDone()) {
                            mOpen--;
                            result.complete(new Result.Failed("no response in time", false));
                        }
                    },
                    timeout.toMillis(),
                    TimeUnit.MILLISECONDS);
            return result;
        }
    }

    private void answer(Result result) {
        mStore.mOpen.remove().complete(result);
        mControl.runAll();
        mControl.advance(Duration.ZERO);
    }

    private Row row(String key) {
        return new Row(key, key.getBytes(StandardCharsets.UTF_8), false, ++mVersion);
    }

    private static Row removed(String key, long version) {
        return new Row(key, new byte[0], true, version);
    }

    private TableChanges changes(long from, long to, Row... rows) {
        return new TableChanges("table", from, to, List.of(rows), true);
    }

    private static List<String> keys(List<Row> rows) {
        return rows.stream().map(Row::key).toList();
    }

    /** A store whose responses the test supplies. */
    private static final class ScriptedStore implements RowStore {
        private final Queue<CompletableFuture<Result>> mOpen = new ArrayDeque<>();
        private final List<String> mCalls = new ArrayList<>();

        @Override
        public CompletionStage<Result> read(String table, String fromKey, Duration timeout) {
            return call("read '" + fromKey + "'");
        }

        @Override
        public CompletionStage<Result> changes(
                String table, long since, Duration wait, Duration timeout) {
            return call("changes " + since);
        }

        @Override
        public CompletionStage<Result> write(
                String table, String key, byte[] value, Duration timeout) {
            return call("write " + key);
        }

        private CompletionStage<Result> call(String name) {
            mCalls.add(name);
            CompletableFuture<Result> open = new CompletableFuture<>();
            mOpen.add(open);
            return open;
        }
    }

    /** Records reports of the watcher; its role and the table of another instance can be set. */
    private static final class RecordedFeed implements TableFeed {
        private final List<String> mLog = new ArrayList<>();
        private final TableAnnouncer mAnnouncer = new TableAnnouncer("table");
        private boolean mReader = true;
        private Result mPulled = new Result.Failed("nobody", false);

        @Override
        public void reportRead(String table, StoreVersion from, StoreVersion to, List<Row> rows) {
            mLog.add(from.version() + " to " + to.version() + " " + keys(rows));
            mAnnouncer.recordRead(from, to);
        }

        @Override
        public void reportUnreachable(String table) {
            mLog.add("lost");
        }

        @Override
        public boolean isReader() {
            return mReader;
        }

        @Override
        public CompletionStage<Result> pull(String table) {
            return CompletableFuture.completedFuture(mPulled);
        }
    }
}
