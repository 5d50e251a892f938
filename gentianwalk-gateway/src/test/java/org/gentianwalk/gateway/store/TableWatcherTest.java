package org.gentianwalk.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.gentianwalk.gateway.ManualExecutor;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against changes of the store that an instance never learns of. */
class TableWatcherTest {
    private final ManualExecutor mControl = new ManualExecutor();
    private final ScriptedStore mStore = new ScriptedStore();
    private final List<String> mHeard = new ArrayList<>();

    @BeforeEach
    void start() {
        TableListener listener =
                new TableListener() {
                    @Override
                    public void replaced(List<Row> rows) {
                        mHeard.add("all " + keys(rows));
                    }

                    @Override
                    public void changed(List<Row> rows) {
                        mHeard.add("changed " + keys(rows));
                    }

                    @Override
                    public void lost(String reason) {
                        mHeard.add("lost " + reason);
                    }
                };
        new TableWatcher(
                        mStore,
                        "table",
                        listener,
                        mControl,
                        new TableWatcher.WatchTimes(
                                Duration.ofSeconds(4),
                                Duration.ofMillis(1_500),
                                Duration.ofMillis(100)))
                .start();
    }

    @Test
    void theWholeTableIsReadInPagesAndThenItsChanges() {
        answer(new Result.Rows(List.of(row("a")), true, 5));
        answer(new Result.Rows(List.of(row("b")), false, 6));
        answer(new Result.Rows(List.of(row("c")), false, 9));
        mControl.advance(Duration.ofMillis(100));

        assertThat(mHeard).containsExactly("all [a, b]", "changed [c]");
        assertThat(mStore.mCalls)
                .containsExactly("read ''", "read 'a\0'", "changes 6", "changes 9");
    }

    @Test
    void aLostHistoryIsMadeUpForByReadingTheWholeTable() {
        answer(new Result.Rows(List.of(row("a")), false, 5));
        answer(new Result.HistoryLost());
        answer(new Result.Rows(List.of(row("b")), false, 50));

        assertThat(mHeard).containsExactly("all [a]", "all [b]");
        assertThat(mStore.mCalls).endsWith("changes 50");
    }

    @Test
    void anOutageIsToldOnceAndTheTableReadAgainAfterIt() {
        answer(new Result.Rows(List.of(row("a")), false, 5));
        answer(new Result.Failed("away", false));
        for (int i = 0; i < 3; i++) {
            mControl.advance(Duration.ofSeconds(1));
            answer(new Result.Failed("away", false));
        }
        mControl.advance(Duration.ofSeconds(1));
        answer(new Result.Rows(List.of(row("b")), false, 8));

        assertThat(mHeard).containsExactly("all [a]", "lost away", "all [b]");
    }

    @Test
    void theStoreIsAskedAgainSoonAfterAnOutage() {
        answer(new Result.Failed("away", false));
        for (int i = 0; i < 10; i++) {
            mControl.advance(Duration.ofMillis(600));
            assertThat(mStore.mOpen).as("asked again within 0.6 s").isNotEmpty();
            answer(new Result.Failed("away", false));
        }
    }

    @Test
    void anEmptyAnswerShowsThatTheStoreIsThere() {
        answer(new Result.Rows(List.of(), false, 5));
        answer(new Result.Rows(List.of(), false, 5));

        assertThat(mHeard).containsExactly("all []", "changed []");
    }

    private void answer(Result result) {
        mStore.mOpen.remove().complete(result);
        mControl.runAll();
        mControl.advance(Duration.ZERO);
    }

    private static Row row(String key) {
        return new Row(key, key.getBytes(StandardCharsets.UTF_8), false);
    }

    private static List<String> keys(List<Row> rows) {
        return rows.stream().map(Row::key).toList();
    }

    /** A store whose answers the test gives. */
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
}
