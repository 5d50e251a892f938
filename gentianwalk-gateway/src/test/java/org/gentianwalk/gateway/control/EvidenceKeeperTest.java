package org.gentianwalk.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.EvidenceAware;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.SettledLoss;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.dispatch.WorkScheduler;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.gateway.ManualExecutor;
import org.gentianwalk.gateway.MemoryStore;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.server.guard.FailureGuard;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against evidence on crashing requests that is lost when all instances restart at once. */
class EvidenceKeeperTest {
    private static final int SECOND_MILLIS = 1_000;

    private final ManualExecutor mControl = new ManualExecutor();
    private final MemoryStore mStore = new MemoryStore();
    private long mUnixMillis = 1_000_000_000_000L;

    @Test
    void evidenceIsRestoredAfterTheRestartOfAllInstances() {
        Life first = new Life("i1");
        Life second = new Life("i2");
        first.mScheduler.mEvidence = List.of(suspect(1, 0, 7, 8));
        second.mScheduler.mEvidence = List.of(suspect(2, 0, 9));
        first.run(SECOND_MILLIS);
        second.run(SECOND_MILLIS);
        mUnixMillis += 5 * SECOND_MILLIS;

        Life restarted = new Life("i1");

        assertThat(restarted.mScheduler.mRestored)
                .containsExactlyInAnyOrder(
                        "own " + suspect(1, 5 * SECOND_MILLIS, 7, 8),
                        "other " + suspect(2, 5 * SECOND_MILLIS, 9));
    }

    @Test
    void aSchedulerThatIsCreatedLaterGetsTheEvidenceOfItsAge() {
        Life first = new Life("i1");
        first.mScheduler.mEvidence = List.of(suspect(1, 0, 7));
        first.run(SECOND_MILLIS);
        Life restarted = new Life("i1");
        mControl.advance(Duration.ofSeconds(2));
        RecordedScheduler created = new RecordedScheduler();

        restarted.mKeeper.restore("service", created);

        assertThat(created.mRestored).containsExactly("own " + suspect(1, 2 * SECOND_MILLIS, 7));
    }

    /** Each write is billed, and ages change all the time. */
    @Test
    void unchangedEvidenceIsWrittenOnce() {
        Life life = new Life("i1");
        for (int age = 0; age < 60; age++) {
            life.mScheduler.mEvidence = List.of(suspect(1, age * SECOND_MILLIS, 7));
            life.run(SECOND_MILLIS);
        }
        assertThat(life.mClient.writes()).isEqualTo(1);

        for (int loss = 0; loss < 40; loss++) {
            life.mScheduler.mEvidence = List.of(suspect(1, 0, 7, 8 + loss));
            life.run(SECOND_MILLIS / 4);
        }
        assertThat(life.mClient.writes()).as("writes in 10 s of changes").isLessThanOrEqualTo(6);
        assertThat(mStore.rows(EvidenceKeeper.TABLE)).hasSize(1);
    }

    @Test
    void aRestartWithoutNewEvidenceWritesNothing() {
        Life first = new Life("i1");
        first.mScheduler.mEvidence = List.of(suspect(1, 0, 7, 8), suspect(2, 0, 9));
        first.run(SECOND_MILLIS);
        Life restarted = new Life("i1");
        restarted.mScheduler.mEvidence = List.of(suspect(2, 100, 9), suspect(1, 100, 8, 7));
        restarted.run(10 * SECOND_MILLIS);

        assertThat(restarted.mClient.writes()).isZero();
    }

    /** A copy of the store may lack the row, and each write is billed. */
    @Test
    void evidenceIsWrittenAgainOnceAfterTheStoreWasRestored() {
        MemoryStore.Copy copy = mStore.copy();
        Life life = new Life("i1");
        Life withoutEvidence = new Life("i2");
        life.mScheduler.mEvidence = List.of(suspect(1, 0, 7));
        life.run(3 * SECOND_MILLIS);
        mStore.restore(copy);
        life.mKeeper.writeAgain();
        withoutEvidence.mKeeper.writeAgain();
        life.run(10 * SECOND_MILLIS);
        withoutEvidence.run(10 * SECOND_MILLIS);

        assertThat(mStore.rows(EvidenceKeeper.TABLE)).hasSize(1);
        assertThat(life.mClient.writes()).isEqualTo(2);
        assertThat(withoutEvidence.mClient.writes()).isZero();
    }

    /** A copy may hold a row that has been removed, which would stop sound requests. */
    @Test
    void evidenceThatWasDroppedIsRemovedAgainAfterTheStoreWasRestored() {
        Life life = new Life("i1");
        life.mScheduler.mEvidence = List.of(suspect(1, 0, 7));
        life.run(3 * SECOND_MILLIS);
        MemoryStore.Copy copy = mStore.copy();
        life.mScheduler.mEvidence = List.of();
        life.run(3 * SECOND_MILLIS);
        mStore.restore(copy);
        life.mClient.rejecting(true);
        life.mKeeper.writeAgain();
        life.run(3 * SECOND_MILLIS);
        life.mClient.rejecting(false);
        life.run(10 * SECOND_MILLIS);

        assertThat(mStore.rows(EvidenceKeeper.TABLE)).isEmpty();
    }

    /** All instances learn of the return at the same moment. */
    @Test
    void instancesDoNotWriteTheirEvidenceTogether() {
        MemoryStore.Copy copy = mStore.copy();
        List<Life> lives = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Life life = new Life("i" + i);
            life.mScheduler.mEvidence = List.of(suspect(i, 0, 7));
            lives.add(life);
        }
        for (int at = 0; at < 60; at++) {
            mControl.advance(Duration.ofMillis(50));
            lives.forEach(life -> life.mKeeper.advance());
            mControl.runAll();
        }
        mStore.restore(copy);
        lives.forEach(life -> life.mKeeper.writeAgain());
        int most = 0;
        int before = 0;
        for (int at = 0; at < 60; at++) {
            mControl.advance(Duration.ofMillis(50));
            lives.forEach(life -> life.mKeeper.advance());
            mControl.runAll();
            int written = mStore.rows(EvidenceKeeper.TABLE).size();
            most = Math.max(most, written - before);
            before = written;
        }

        assertThat(before).isEqualTo(40);
        assertThat(most).as("writes in 50 ms").isLessThan(40);
    }

    /** A record that stays would stop sound requests for ever. */
    @Test
    void theRowIsRemovedOnceTheEvidenceIsDropped() {
        Life life = new Life("i1");
        life.mScheduler.mEvidence = List.of(suspect(1, 0, 7));
        life.run(SECOND_MILLIS);
        assertThat(mStore.rows(EvidenceKeeper.TABLE)).hasSize(1);

        life.mScheduler.mEvidence = List.of();
        life.run(5 * SECOND_MILLIS);

        assertThat(mStore.rows(EvidenceKeeper.TABLE)).isEmpty();
        assertThat(new Life("i1").mScheduler.mRestored).isEmpty();
    }

    @Test
    void aFailedWriteIsRepeated() {
        Life life = new Life("i1");
        life.mClient.rejecting(true);
        life.mScheduler.mEvidence = List.of(suspect(1, 0, 7));
        life.run(6 * SECOND_MILLIS);
        assertThat(life.mClient.writes()).isBetween(2, 4);

        life.mClient.rejecting(false);
        life.run(3 * SECOND_MILLIS);

        assertThat(mStore.rows(EvidenceKeeper.TABLE)).hasSize(1);
    }

    /** The instance has to serve while the store is away, and must not overwrite its own row. */
    @Test
    void evidenceIsRestoredLaterWhenTheStoreIsAwayAtTheStart() {
        Life first = new Life("i1");
        first.mScheduler.mEvidence = List.of(suspect(1, 0, 7));
        first.run(SECOND_MILLIS);

        Life restarted = new Life("i1", true);
        assertThat(restarted.mKeeper.hasAsked()).isTrue();
        restarted.run(3 * SECOND_MILLIS);
        assertThat(restarted.mScheduler.mRestored).isEmpty();
        assertThat(restarted.mClient.writes()).isZero();
        restarted.mClient.rejecting(false);
        restarted.run(2 * SECOND_MILLIS);

        assertThat(restarted.mScheduler.mRestored).hasSize(1);
    }

    @Test
    void anUnreadableRowDoesNotKeepTheOthersOut() {
        Life first = new Life("i1");
        first.mScheduler.mEvidence = List.of(suspect(1, 0, 7));
        first.run(SECOND_MILLIS);
        mStore.put(EvidenceKeeper.TABLE, "i0", new byte[] {1, 2, 3});
        mStore.put(EvidenceKeeper.TABLE, "i9", new byte[0]);

        assertThat(new Life("i2").mScheduler.mRestored).hasSize(1);
    }

    /** The time of day may have been set back since the row was written, or be far ahead. */
    @Test
    void agesAreBoundedWhateverTheTimeOfDay() {
        Life first = new Life("i1");
        first.mScheduler.mEvidence = List.of(suspect(1, 0, 7));
        first.run(SECOND_MILLIS);

        mUnixMillis -= 60L * SECOND_MILLIS;
        assertThat(new Life("i1").mScheduler.mRestored).containsExactly("own " + suspect(1, 0, 7));
        mUnixMillis += 365L * 24 * 3600 * SECOND_MILLIS;
        assertThat(new Life("i1").mScheduler.mRestored)
                .containsExactly("own " + suspect(1, 7_200 * SECOND_MILLIS, 7));
    }

    @Test
    void theSizeOfTheRowIsBounded() {
        long[] losses = new long[32];
        for (int i = 0; i < losses.length; i++) {
            losses[i] = i;
        }
        List<SuspectEntry> many = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            many.add(suspect(i, 0, losses));
        }
        Life life = new Life("i1");
        life.mScheduler.mEvidence = many;
        life.run(SECOND_MILLIS);

        assertThat(mStore.rows(EvidenceKeeper.TABLE).getFirst().value()).hasSizeLessThan(64 << 10);
    }

    /** The configuration is held back until the read ends, so that the instance did not serve. */
    @ParameterizedTest
    @EnumSource
    void aReadEndsAlthoughThePagesOfTheStoreDoNot(Pages pages) {
        EndlessStore store = new EndlessStore(pages);
        EvidenceKeeper keeper = keeper("i1", store, new RecordedScheduler());
        int[] attempted = {0};
        keeper.read(() -> attempted[0]++);
        mControl.runAll();

        assertThat(attempted).containsExactly(1);
        assertThat(keeper.hasAsked()).isTrue();
        assertThat(store.mReads).as("reads until the end").isLessThanOrEqualTo(pages.mMaxReads);
    }

    /** Pages that take as long as they may, one after the other, held it back for hours. */
    @Test
    void theInstanceServesWhileSlowPagesAreRead() {
        RowStore slow =
                new EndlessStore(Pages.SHORT) {
                    @Override
                    public CompletionStage<Result> read(String table, String key, Duration limit) {
                        CompletableFuture<Result> result = new CompletableFuture<>();
                        Result page = page();
                        Runnable respond = () -> result.complete(page);
                        mControl.schedule(respond, 1_400, TimeUnit.MILLISECONDS);
                        return result;
                    }
                };
        EvidenceKeeper keeper = keeper("i1", slow, new RecordedScheduler());
        int[] attempted = {0};
        keeper.read(() -> attempted[0]++);
        mControl.advance(Duration.ofSeconds(5));
        assertThat(attempted).as("calls after 5 s").containsExactly(1);
        mControl.advance(Duration.ofHours(2));

        assertThat(attempted).as("calls in all").containsExactly(1);
    }

    /** What an endless store returns. */
    private enum Pages {
        /** The same page each time. */
        REPEATED(2),
        /** Pages of one short row, in order. */
        SHORT(EvidenceKeeper.MAX_ROWS + 1),
        /** Pages of one row of 1 MiB, in order. */
        LONG((EvidenceKeeper.MAX_BYTES >> 20) + 1);

        private final int mMaxReads;

        Pages(int maxReads) {
            mMaxReads = maxReads;
        }
    }

    /** A store that states that further rows follow, up to a number of reads. */
    private static class EndlessStore implements RowStore {
        private static final int END = 20_000;

        private final Pages mPages;
        private int mReads;

        EndlessStore(Pages pages) {
            mPages = pages;
        }

        Result page() {
            mReads++;
            String key = mPages == Pages.REPEATED ? "i5" : "i%06d".formatted(mReads);
            int size = mPages == Pages.LONG && mReads <= 60 ? 1 << 20 : 0;
            return new Result.Rows(
                    List.of(new Row(key, new byte[size], false, 1)), mReads < END, 1);
        }

        @Override
        public CompletionStage<Result> read(String table, String fromKey, Duration timeout) {
            return CompletableFuture.completedFuture(page());
        }

        @Override
        public CompletionStage<Result> changes(
                String table, long since, Duration wait, Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Result> write(
                String table, String key, byte[] value, Duration timeout) {
            throw new UnsupportedOperationException();
        }
    }

    private EvidenceKeeper keeper(String instance, RowStore store, WorkScheduler scheduler) {
        Map<String, WorkScheduler> schedulers = new HashMap<>();
        schedulers.put("service", scheduler);
        return new EvidenceKeeper(
                instance,
                store,
                mControl,
                mControl::nanos,
                () -> mUnixMillis,
                schedulers,
                new GatewayLog(),
                FailureGuard.logging());
    }

    private static SuspectEntry suspect(long id, int ageMillis, long... losses) {
        List<SuspectEntry.LossEntry> entries = new ArrayList<>();
        for (long loss : losses) {
            entries.add(new SuspectEntry.LossEntry(loss, 1, ageMillis));
        }
        return new SuspectEntry(new Fingerprint(3, id), true, entries, SuspectEntry.NEVER);
    }

    /** One life of an instance. */
    private final class Life {
        private final MemoryStore.Client mClient = mStore.client();
        private final RecordedScheduler mScheduler = new RecordedScheduler();
        private final EvidenceKeeper mKeeper;

        Life(String instance) {
            this(instance, false);
        }

        Life(String instance, boolean storeAway) {
            Map<String, WorkScheduler> schedulers = new HashMap<>();
            schedulers.put("service", mScheduler);
            RowStore store = mClient;
            mClient.rejecting(storeAway);
            mKeeper =
                    new EvidenceKeeper(
                            instance,
                            store,
                            mControl,
                            mControl::nanos,
                            () -> mUnixMillis,
                            schedulers,
                            new GatewayLog(),
                            FailureGuard.logging());
            mKeeper.read(() -> {});
            mControl.runAll();
        }

        void run(int millis) {
            for (int i = 0; i < millis; i += 50) {
                mControl.advance(Duration.ofMillis(50));
                mKeeper.advance();
                mControl.runAll();
            }
        }
    }

    /** Supplies evidence and records what is restored. */
    private static final class RecordedScheduler implements WorkScheduler, EvidenceAware {
        private final List<String> mRestored = new ArrayList<>();
        private List<SuspectEntry> mEvidence = List.of();

        @Override
        public List<SettledLoss> takeSettledLosses() {
            return List.of();
        }

        @Override
        public List<SuspectEntry> evidenceToKeep(long nowNanos) {
            return mEvidence;
        }

        @Override
        public void restoreEvidence(List<SuspectEntry> entries, boolean own, long nowNanos) {
            entries.forEach(entry -> mRestored.add((own ? "own " : "other ") + entry));
        }

        @Override
        public void replaceUpstreams(Collection<Upstream> upstreams, long nowNanos) {}

        @Override
        public void offer(Work work, long nowNanos) {}

        @Override
        public void recordProgress(long work, int attempt, Progress progress) {}

        @Override
        public void recordLoad(long work, UpstreamLoad load, long nowNanos) {}

        @Override
        public void recordAttemptEnd(long work, int attempt, AttemptEnd end, long nowNanos) {}

        @Override
        public void remove(long work, long nowNanos) {}

        @Override
        public void stopAt(long nanos) {}

        @Override
        public List<Decision> advance(long nowNanos) {
            return List.of();
        }
    }
}
