package org.gentianwalk.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.gateway.ManualExecutor;
import org.gentianwalk.gateway.MemoryStore;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.server.guard.FailureGuard;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a store that comes back from a copy: versions are given out again, rows of the
 * copy replace newer ones, and changes written after the return are taken for old ones.
 */
class RestoredStoreTest {
    private static final String TABLE = "table";

    /** Bound of a change in these tests, as the configuration has it. */
    private static final Duration BOUND = Duration.ofMillis(2_500);

    /** Time within which a known row that the store has lost gives way to what it lists. */
    private static final Duration SETTLED = Duration.ofMillis(9_000);

    /** Reads after which a loop of reads ends. */
    private static final int MAX_READS = 1_000;

    private final ManualExecutor mControl = new ManualExecutor();
    private final MemoryStore mStore = new MemoryStore();
    private final List<Instance> mInstances = new ArrayList<>();

    /** Whether rows are numbered in their value and the highest number wins. */
    private boolean mNumbered;

    /** Restored-store case 1: the row has a version that was given out before. */
    @Test
    void aRowIsInForceAlthoughItsVersionWasGivenOutBefore() {
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        put("a", "2");
        put("b", "1");
        run(BOUND);

        mStore.restore(copy);
        put("a", "3");

        run(BOUND);
        assertThat(reader.table()).containsEntry("a", "3");
    }

    /** Case 2: the read position is above the versions of the store. */
    @Test
    void aRowIsInForceAlthoughTheReadPositionIsAboveItsVersion() {
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        for (int i = 0; i < 20; i++) {
            put("other" + i, "1");
        }
        run(BOUND);

        mStore.restore(copy);
        run(Duration.ofSeconds(1));
        put("b", "new");

        run(BOUND);
        assertThat(reader.table()).containsEntry("b", "new");
    }

    /** A store that has reached the read position again gives no 410; only its era tells. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 4, 9})
    void allRowsWrittenAfterTheReturnAreInForce(int lost) {
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance follower = start(false);
        for (int i = 0; i < lost; i++) {
            put("lost" + i, "1");
        }
        run(BOUND);

        mStore.restore(copy);
        for (int i = 0; i < 4; i++) {
            put("new" + i, "1");
        }

        run(BOUND);
        for (Instance instance : List.of(reader, follower)) {
            assertThat(instance.table()).containsKeys("a", "new0", "new1", "new2", "new3");
        }
    }

    /** Case 3: its versions of the earlier era are higher than those of the others. */
    @Test
    void anInstanceThatWasCutOffDoesNotBringTheEarlierEraBack() {
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance cut = start(true);
        for (int i = 0; i < 20; i++) {
            put("other" + i, "1");
        }
        put("a", "2");
        run(BOUND);
        cut.mClient.rejecting(true);
        run(Duration.ofSeconds(1));

        mStore.restore(copy);
        run(Duration.ofMillis(200));
        put("a", "3");
        run(BOUND);
        assertThat(reader.table()).containsEntry("a", "3");
        reader.mWatcher.applyPeerChanges(
                new TableChanges(TABLE, 0, 90, List.of(row("a", "old", 80)), true));
        reader.mWatcher.applyPeerChanges(
                new TableChanges(TABLE, 90, 95, List.of(row("a", "old", 94)), true));
        assertThat(reader.table()).containsEntry("a", "3");
        assertThat(cut.table()).as("fetched from the other instance").containsEntry("a", "3");
    }

    /** A deletion that the isolated instance has missed is lost with the rest of the era. */
    @Test
    void anIsolatedInstanceDoesNotBringADeletedRowBack() {
        put("b", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance isolated = start(true);
        put("a", "1");
        run(BOUND);
        isolated.isolated(true);
        run(BOUND);
        mStore.remove(TABLE, "a");
        run(BOUND);

        mStore.restore(copy);
        run(Duration.ofSeconds(1));
        put("b", "2");
        isolated.isolated(false);
        run(BOUND);

        assertThat(isolated.table()).containsEntry("b", "2");
        assertThat(reader.table()).doesNotContainKey("a");
    }

    /** A row of the new era is deleted before the isolated instance returns. */
    @Test
    void anIsolatedInstanceDoesNotBringARowBackThatWasDeletedInTheNewEra() {
        put("b", "1");
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance isolated = start(true);
        run(BOUND);
        isolated.isolated(true);
        run(BOUND);

        mStore.restore(copy);
        run(Duration.ofSeconds(1));
        mStore.remove(TABLE, "a");
        run(Duration.ofSeconds(1));
        put("b", "2");
        isolated.isolated(false);
        run(BOUND);

        assertThat(isolated.table()).containsEntry("b", "2");
        assertThat(reader.table()).doesNotContainKey("a");
    }

    /** The same with a deletion that the isolated instance still knows. */
    @Test
    void anIsolatedInstanceDoesNotBringADeletionBack() {
        put("b", "1");
        put("a", "0");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance isolated = start(true);
        mStore.remove(TABLE, "a");
        run(BOUND);
        isolated.isolated(true);
        run(BOUND);
        put("a", "1");
        run(BOUND);
        assertThat(reader.table()).containsEntry("a", "1");

        mStore.restore(copy);
        run(Duration.ofSeconds(1));
        put("b", "2");
        isolated.isolated(false);
        run(BOUND);

        assertThat(isolated.table()).containsEntry("b", "2");
        assertThat(reader.table()).containsEntry("a", "1");
    }

    /** The isolated instance reads first, so that the others adopt the era from it. */
    @Test
    void anIsolatedInstanceThatReadsFirstDoesNotReplaceNewerRows() {
        put("b", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance follower = start(false);
        Instance isolated = start(true);
        put("a", "ready");
        run(BOUND);
        isolated.isolated(true);
        run(BOUND);
        put("a", "leaving");
        run(BOUND);
        assertThat(follower.table()).containsEntry("a", "leaving");

        follower.mClient.rejecting(true);
        mStore.restore(copy);
        isolated.isolated(false);
        run(BOUND);

        assertThat(follower.mWatcher.snapshot().era()).isEqualTo(1);
        assertThat(follower.table()).containsEntry("a", "leaving");
    }

    /** Long after the return, rows that an isolated instance still holds are outdated. */
    @Test
    void anInstanceThatWasIsolatedForLongDoesNotBringRowsBack() {
        put("b", "1");
        put("a", "1");
        Instance reader = start(true);
        Instance isolated = start(true);
        run(BOUND);
        isolated.isolated(true);
        run(BOUND);
        mStore.remove(TABLE, "a");
        run(Duration.ofSeconds(70));

        mStore.restore(mStore.copy());
        run(Duration.ofSeconds(20));
        Instance later = start(false);
        run(Duration.ofSeconds(20));
        put("b", "2");
        isolated.isolated(false);
        run(BOUND);

        assertThat(isolated.table()).containsEntry("b", "2");
        assertThat(reader.table()).doesNotContainKey("a");
        assertThat(later.table()).as("it has no record of the deletion").doesNotContainKey("a");
    }

    /** The copy lists the upstream as it was before; its owner has not written it again yet. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRowThatWasReplacedBeforeAnotherInstanceStartedHoldsThere(boolean readsItself) {
        put("a", "ready");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        put("a", "leaving");
        run(BOUND);
        Instance later = start(readsItself);
        run(BOUND);

        mStore.restore(copy);
        run(BOUND);

        assertThat(reader.table()).containsEntry("a", "leaving");
        assertThat(later.table()).containsEntry("a", "leaving");
    }

    /** Case 4: a configuration must not go back. */
    @Test
    void anOlderRowOfTheCopyDoesNotReplaceANewerOne() {
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance follower = start(false);
        put("a", "2");
        run(BOUND);

        mStore.restore(copy);
        run(BOUND);

        assertThat(reader.table()).containsEntry("a", "2");
        assertThat(follower.table()).containsEntry("a", "2");
        assertThat(reader.mHistory).as("values of a").doesNotContainSubsequence("a=2", "a=1");
        assertThat(follower.mHistory).as("values of a").doesNotContainSubsequence("a=2", "a=1");
    }

    /** The history of an instance that started in the lost seconds does not tell which is older. */
    @Test
    void aRowWithAnOrderOfItsOwnDoesNotGoBackWhateverItsVersion() {
        mNumbered = true;
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        put("a", "5");
        Instance reader = start(true);
        mStore.restore(copy);
        run(BOUND);
        assertThat(reader.table()).containsEntry("a", "5");

        put("a", "4");
        run(SETTLED);
        assertThat(reader.table()).containsEntry("a", "5");
        assertThat(reader.mWatcher.snapshot().rows())
                .as("rows for other instances")
                .allMatch(row -> value(row).equals("5"));
        put("a", "6");
        run(BOUND);
        assertThat(reader.table()).containsEntry("a", "6");
    }

    /** A withdrawn upstream or key must not come back. */
    @Test
    void aDeletionThatTheCopyDoesNotKnowHoldsUntilTheRowIsWrittenAgain() {
        put("a", "1");
        put("b", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance follower = start(false);
        mStore.remove(TABLE, "a");
        run(BOUND);

        mStore.restore(copy);
        run(BOUND);
        assertThat(reader.table()).containsOnlyKeys("b");
        assertThat(follower.table()).containsOnlyKeys("b");

        put("a", "1");
        run(BOUND);
        assertThat(reader.table()).containsOnlyKeys("a", "b");
        assertThat(follower.table()).containsOnlyKeys("a", "b");
    }

    /**
     * Upstreams that ended during the outage are never written again; they must leave the table.
     */
    @Test
    void rowsThatAreNotWrittenAgainGiveWayToTheStoreAfterABound() {
        put("a", "1");
        put("b", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance follower = start(false);
        put("lost", "1");
        put("a", "2");
        mStore.remove(TABLE, "b");
        run(BOUND);

        mStore.restore(copy);
        run(BOUND);
        assertThat(reader.table()).containsOnlyKeys("a", "lost").containsEntry("a", "2");

        run(SETTLED);
        Map<String, String> listed = Map.of("a", "1", "b", "1");
        assertThat(reader.table()).isEqualTo(listed);
        assertThat(follower.table()).isEqualTo(listed);
    }

    /** The table is read again after each outage, and the copy still holds the older rows. */
    @Test
    void anotherCompleteReadBringsNoOlderRowBack() {
        put("a", "1");
        put("b", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        put("a", "2");
        put("lost", "1");
        mStore.remove(TABLE, "b");
        run(BOUND);
        mStore.restore(copy);
        run(Duration.ofSeconds(1));
        int reads = reader.mReads;
        reader.mClient.rejecting(true);
        put("c", "1");
        run(Duration.ofSeconds(2));
        reader.mClient.rejecting(false);
        run(Duration.ofSeconds(1));

        assertThat(reader.mReads).as("complete reads").isGreaterThan(reads);
        assertThat(reader.table()).isEqualTo(Map.of("a", "2", "lost", "1", "c", "1"));
    }

    /** Rows whose writer writes once only, such as the configuration, stay until then. */
    @Test
    void rowsThatAreNotRefreshedStayInForce() {
        mNumbered = true;
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        put("a", "2");
        run(BOUND);
        mStore.restore(copy);
        run(Duration.ofMinutes(5));

        assertThat(reader.table()).containsEntry("a", "2");
    }

    /** Case 5: its first read holds the older rows of the copy only. */
    @Test
    void aStartingInstanceAsksOthersBeforeItServes() {
        put("a", "1");
        put("b", "1");
        MemoryStore.Copy copy = mStore.copy();
        start(true);
        put("a", "2");
        mStore.remove(TABLE, "b");
        run(BOUND);
        mStore.restore(copy);
        run(BOUND);

        Instance started = start(false);

        assertThat(started.table()).isEqualTo(Map.of("a", "2"));
        assertThat(started.mHistory).as("all that it had in force").doesNotContain("a=1", "b=1");
        run(SETTLED);
        assertThat(started.table()).as("settled").isEqualTo(Map.of("a", "1", "b", "1"));
    }

    @Test
    void aStartingInstanceServesAlthoughNoOtherOneResponds() {
        put("a", "1");
        mStore.restore(mStore.copy());

        Instance alone = start(true);

        assertThat(alone.table()).containsEntry("a", "1");
    }

    /** Case 6: the second copy may be as old as the first one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingGoesBackInTwoRestoresInSeries(boolean sameCopy) {
        put("a", "1");
        put("b", "1");
        MemoryStore.Copy first = mStore.copy();
        Instance reader = start(true);
        Instance follower = start(false);
        put("a", "2");
        mStore.remove(TABLE, "b");
        run(BOUND);
        mStore.restore(first);
        run(BOUND);
        MemoryStore.Copy second = mStore.copy();
        put("a", "3");
        put("c", "1");
        run(Duration.ofMillis(1_000));
        mStore.restore(sameCopy ? first : second);
        put("d", "1");
        run(BOUND);

        for (Instance instance : List.of(reader, follower)) {
            assertThat(instance.table()).isEqualTo(Map.of("a", "3", "c", "1", "d", "1"));
        }
    }

    /** Case 7: all instances that read at the same moment exceed the rate limit of the store. */
    @Test
    void eachInstanceReadsTheTableAtMostOnceForANewEra() {
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        List<Instance> readers = List.of(start(true), start(true));
        List<Instance> followers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            followers.add(start(false));
        }
        put("a", "2");
        put("b", "2");
        run(BOUND);
        mInstances.forEach(instance -> instance.mReads = 0);
        mStore.restore(copy);
        run(Duration.ofSeconds(5));

        for (Instance reader : readers) {
            assertThat(reader.mReads).as("complete reads of a reader").isBetween(1, 3);
        }
        for (Instance follower : followers) {
            assertThat(follower.mReads).as("complete reads of a follower").isLessThanOrEqualTo(1);
            assertThat(follower.table()).containsEntry("a", "2");
        }
    }

    /** Their reads would follow each other without a pause. */
    @Test
    void followersWithoutReadersDoNotReadTogetherOrInALoop() {
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        List<Instance> followers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            followers.add(start(false));
        }
        for (int i = 0; i < 50; i++) {
            put("b" + i, "1");
        }
        run(Duration.ofSeconds(4));
        mInstances.forEach(instance -> instance.mReads = 0);
        mStore.restore(copy);
        put("c", "1");
        run(BOUND);

        assertThat(followers).allMatch(instance -> instance.mReads <= 3);
        assertThat(followers).allMatch(instance -> instance.table().containsKey("c"));
    }

    /** A store that keeps answering 410 must not be read as fast as it responds. */
    @Test
    void lostHistoryWithoutEndIsNoLoop() {
        put("a", "1");
        Instance reader = start(true);
        reader.mHistoryLost = true;
        put("a", "2");
        run(Duration.ofSeconds(10));

        assertThat(reader.mReads).isLessThanOrEqualTo(40);
        assertThat(reader.table()).containsEntry("a", "2");
    }

    /** A configuration with many routes is not announced, so that each instance reads it. */
    @Test
    void aTableThatIsTooLargeToAnnounceIsReadByEachInstance() {
        String large = "x".repeat(5_000);
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        Instance reader = start(true);
        Instance follower = start(false);
        put("a", large);
        for (int i = 0; i < 9; i++) {
            put("b" + i, "1");
        }
        run(BOUND);
        follower.mReads = 0;
        mStore.restore(copy);
        put("c", large + "c");
        run(BOUND);

        for (Instance instance : List.of(reader, follower)) {
            assertThat(instance.table()).containsEntry("a", large).containsEntry("c", large + "c");
        }
        assertThat(follower.mReads).as("complete reads").isEqualTo(1);
    }

    /** A table of many small rows would occupy the links of a reader to all others. */
    @Test
    void anAnnouncementHasABoundedSize() {
        List<Row> rows = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            rows.add(row("key" + i, "x".repeat(2_000), i));
        }
        TableAnnouncer announcer = new TableAnnouncer(TABLE);
        announcer.recordRead(new StoreVersion(1, 0), new StoreVersion(1, 200));
        TableChanges announced = announcer.announce(rows);

        assertThat(announced.rows()).isEmpty();
        assertThat(announced.isComplete()).as("a follower must read the table").isFalse();
        assertThat(announced.end()).isEqualTo(new StoreVersion(1, 200));
    }

    /** A follower takes the announcement instead of reading the store. */
    @Test
    void aFollowerThatTheStoreRejectsAdoptsTheNewEraFromAReader() {
        put("a", "1");
        MemoryStore.Copy copy = mStore.copy();
        start(true);
        Instance follower = start(false);
        put("a", "2");
        put("b", "1");
        run(BOUND);
        follower.mClient.rejecting(true);
        mStore.restore(copy);
        run(Duration.ofSeconds(1));
        put("a", "3");
        run(BOUND);

        assertThat(follower.table()).isEqualTo(Map.of("a", "3", "b", "1"));
    }

    private void put(String key, String value) {
        mStore.put(TABLE, key, value.getBytes(StandardCharsets.UTF_8));
    }

    private static Row row(String key, String value, long version) {
        return new Row(key, value.getBytes(StandardCharsets.UTF_8), false, version);
    }

    private static String value(Row row) {
        return new String(row.value(), StandardCharsets.UTF_8);
    }

    private Instance start(boolean reader) {
        Instance instance = new Instance(reader);
        mInstances.add(instance);
        instance.mWatcher.start();
        run(Duration.ofMillis(20));
        return instance;
    }

    private void run(Duration time) {
        for (long at = 0; at < time.toMillis(); at += 10) {
            mControl.runAll();
            mControl.advance(Duration.ofMillis(10));
            mControl.runAll();
        }
    }

    /** An instance with its view of the table, its connection to the store and to the others. */
    private final class Instance implements RowStore, TableFeed, TableListener {
        private final MemoryStore.Client mClient = mStore.client();
        private final TableAnnouncer mAnnouncer = new TableAnnouncer(TABLE);
        private final Map<String, String> mTable = new TreeMap<>();
        private final List<String> mHistory = new ArrayList<>();
        private final boolean mReader;
        private final TableWatcher mWatcher;
        private boolean mHistoryLost;
        private boolean mIsolated;
        private int mReads;

        Instance(boolean reader) {
            mReader = reader;
            mWatcher =
                    new TableWatcher(
                            this,
                            TABLE,
                            this,
                            this,
                            mControl,
                            mControl::nanos,
                            WatchTimes.within(
                                    BOUND, Duration.ofMillis(1_500), Duration.ofMillis(100)),
                            FailureGuard.logging());
        }

        Map<String, String> table() {
            return mTable;
        }

        /** Sets whether neither the store nor other instances can be reached. */
        void isolated(boolean isolated) {
            mIsolated = isolated;
            mClient.rejecting(isolated);
        }

        @Override
        public CompletionStage<Result> read(String table, String fromKey, Duration timeout) {
            mReads++;
            if (mReads > MAX_READS) {
                return new CompletableFuture<>();
            }
            return mClient.read(table, fromKey, timeout);
        }

        /** Ends the long poll by the clock of the test. */
        @Override
        public CompletionStage<Result> changes(
                String table, long since, Duration wait, Duration timeout) {
            if (mHistoryLost) {
                return CompletableFuture.completedFuture(new Result.HistoryLost());
            }
            CompletableFuture<Result> result = new CompletableFuture<>();
            mClient.changes(table, since, Duration.ofDays(1), timeout).thenAccept(result::complete);
            mControl.schedule(
                    () -> {
                        result.complete(new Result.Rows(List.of(), false, mStore.version()));
                    },
                    wait.toMillis(),
                    TimeUnit.MILLISECONDS);
            return result;
        }

        @Override
        public CompletionStage<Result> write(
                String table, String key, byte[] value, Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void replaced(List<Row> rows) {
            mTable.clear();
            rows.forEach(this::put);
        }

        @Override
        public void changed(List<Row> rows) {
            for (Row row : rows) {
                if (row.removed()) {
                    mTable.remove(row.key());
                } else {
                    put(row);
                }
            }
        }

        private void put(Row row) {
            mTable.put(row.key(), value(row));
            mHistory.add(row.key() + "=" + value(row));
        }

        @Override
        public void unavailable(String reason) {
            // The calls to the store go on.
        }

        @Override
        public boolean supersedes(Row known, Row other) {
            return mNumbered && Integer.parseInt(value(known)) > Integer.parseInt(value(other));
        }

        @Override
        public boolean refreshesRows() {
            return !mNumbered;
        }

        @Override
        public void reportRead(String table, StoreVersion from, StoreVersion to, List<Row> rows) {
            mAnnouncer.recordRead(from, to);
            if (!mReader) {
                mAnnouncer.skip();
                return;
            }
            announce(mAnnouncer.announce(rows));
        }

        @Override
        public void reportUnreachable(String table) {
            if (mReader) {
                announce(new TableChanges(table, 0, 0, List.of(), false));
            }
        }

        private void announce(TableChanges changes) {
            for (Instance other : mInstances) {
                if (other != this && !other.mIsolated && !mIsolated) {
                    mControl.execute(() -> other.mWatcher.applyPeerChanges(changes));
                }
            }
        }

        @Override
        public boolean isReader() {
            return mReader;
        }

        @Override
        public CompletionStage<Result> pull(String table) {
            for (Instance other : mInstances) {
                boolean reached = other != this && !other.mIsolated && !mIsolated;
                TableChanges snapshot = reached ? other.mWatcher.snapshot() : null;
                if (snapshot != null) {
                    return CompletableFuture.completedFuture(
                            new Result.Rows(snapshot.rows(), false, snapshot.end()));
                }
            }
            return CompletableFuture.completedFuture(new Result.Failed("nobody", false));
        }
    }
}
