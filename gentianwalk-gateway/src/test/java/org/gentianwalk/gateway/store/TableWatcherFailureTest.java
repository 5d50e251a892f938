package org.gentianwalk.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.gentianwalk.gateway.ManualExecutor;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.server.guard.FailureGuard;
import org.junit.jupiter.api.Test;

/** Guards against a watch that ends for ever because a part of it fails once. */
class TableWatcherFailureTest {
    private final ManualExecutor mControl = new ManualExecutor();
    private final List<String> mCalls = new ArrayList<>();
    private final List<String> mEvents = new ArrayList<>();

    /** Set to the call or callback that fails. */
    private String mFailing = "";

    @Test
    void theWatchGoesOnAfterAFailureOfTheListener() {
        mFailing = "replaced";
        start();

        assertThat(mCalls).contains("changes");
    }

    @Test
    void theWatchGoesOnAfterAFailureOfTheExchangeWithPeers() {
        mFailing = "reportRead";
        start();

        assertThat(mCalls).contains("changes");
    }

    @Test
    void theWatchGoesOnAfterAnOutageThatCannotBeReported() {
        mFailing = "unavailable";
        mOutage = true;
        start();
        mOutage = false;
        mControl.advance(Duration.ofSeconds(2));

        assertThat(mCalls).contains("changes");
        assertThat(mEvents).contains("replaced");
    }

    @Test
    void theWatchGoesOnAfterACallThatThrows() {
        mFailing = "read";
        start();
        mFailing = "";
        mControl.advance(Duration.ofSeconds(2));

        assertThat(mCalls).contains("changes");
        assertThat(mEvents).contains("replaced");
    }

    @Test
    void theWatchGoesOnAfterACallThatEndsWithAnException() {
        mFailing = "result";
        start();
        mFailing = "";
        mControl.advance(Duration.ofSeconds(2));

        assertThat(mCalls).contains("changes");
        assertThat(mEvents).contains("replaced");
    }

    /** Also when the store was restored, since other instances are asked only then. */
    @Test
    void theWatchStartsAlthoughOtherInstancesCannotBeAsked() {
        mFailing = "pull";
        mEra = 1;
        start();
        mControl.advance(Duration.ofSeconds(5));

        assertThat(mEvents).contains("replaced");
    }

    /** Once they can be asked again, the table is read. */
    @Test
    void theWatchStartsAfterOtherInstancesCouldNotBeAsked() {
        mFailing = "pull";
        mEra = 1;
        start();
        mFailing = "";
        mControl.advance(Duration.ofSeconds(5));

        assertThat(mCalls).contains("changes");
    }

    private boolean mOutage;
    private long mEra;

    private void start() {
        new TableWatcher(
                        new Store(),
                        "table",
                        new Listener(),
                        new Feed(),
                        mControl,
                        mControl::nanos,
                        WatchTimes.within(
                                Duration.ofMillis(2_500),
                                Duration.ofMillis(1_500),
                                Duration.ofMillis(100)),
                        FailureGuard.logging())
                .start();
        mControl.runAll();
        mControl.advance(Duration.ofMillis(400));
    }

    private void call(String name) {
        if (mFailing.equals(name)) {
            throw new NoClassDefFoundError("by the test");
        }
    }

    private CompletionStage<Result> result() {
        if (mFailing.equals("result")) {
            return CompletableFuture.failedFuture(new IllegalStateException("by the test"));
        }
        return CompletableFuture.completedFuture(
                mOutage
                        ? new Result.Failed("by the test", false)
                        : new Result.Rows(
                                List.of(
                                        new Row(
                                                "a",
                                                new byte[0],
                                                false,
                                                new StoreVersion(mEra, 1),
                                                false)),
                                false,
                                new StoreVersion(mEra, 1)));
    }

    /** A store with one row that answers at once; changes get no answer. */
    private final class Store implements RowStore {
        @Override
        public CompletionStage<Result> read(String table, String fromKey, Duration timeout) {
            mCalls.add("read");
            call("read");
            return result();
        }

        @Override
        public CompletionStage<Result> changes(
                String table, long since, Duration wait, Duration timeout) {
            mCalls.add("changes");
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<Result> write(
                String table, String key, byte[] value, Duration timeout) {
            throw new UnsupportedOperationException();
        }
    }

    /** Records the calls that it gets. */
    private final class Listener implements TableListener {
        @Override
        public void replaced(List<Row> rows) {
            call("replaced");
            mEvents.add("replaced");
        }

        @Override
        public void changed(List<Row> rows) {}

        @Override
        public void unavailable(String reason) {
            call("unavailable");
        }
    }

    /** An exchange without peers. */
    private final class Feed implements TableFeed {
        @Override
        public void reportRead(String table, StoreVersion from, StoreVersion to, List<Row> rows) {
            call("reportRead");
        }

        @Override
        public void reportUnreachable(String table) {}

        @Override
        public boolean isReader() {
            return false;
        }

        @Override
        public CompletionStage<Result> pull(String table) {
            call("pull");
            return CompletableFuture.completedFuture(new Result.Failed("no peer", false));
        }
    }
}
