package org.gentianwalk.server.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.TransactionalTable.Change;
import org.gentianwalk.core.platform.TransactionalTable.Condition;
import org.gentianwalk.core.platform.WeightStore;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.standin.platform.Fault;
import org.gentianwalk.standin.platform.FaultSwitch;
import org.gentianwalk.standin.platform.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the mapping of HTTP responses and failures to result types, over real sockets. */
class PlatformClientsTest {
    private static final String KEY = "call/team%2Fa/key 1+2?ü";
    private static final long POLL_NANOS = 2_000_000;
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final FaultSwitch mFaults = new FaultSwitch();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private PlatformStandin mStandin;
    private PlatformHttp mHttp;
    private HttpTable mTable;

    @BeforeEach
    void start() throws IOException {
        mStandin = PlatformStandin.start(PlatformStandin.Options.onFreePort(), mFaults);
        mHttp =
                new PlatformHttp(
                        new PlatformHttp.Options(mStandin.uri(), TIMEOUT, TIMEOUT), mRegistry);
        mTable = new HttpTable(mHttp);
    }

    @AfterEach
    void stop() {
        mHttp.close();
        mStandin.close();
    }

    @Test
    void conditionalWritesReportVersionsAndTheConflictingRow() {
        assertThat(mTable.read(KEY)).isInstanceOf(ReadResult.Missing.class);
        assertThat(mTable.write(KEY, Row.ABSENT, bytes("one")))
                .isEqualTo(new WriteResult.Written(1));
        WriteResult.Conflict conflict =
                (WriteResult.Conflict) mTable.write(KEY, Row.ABSENT, bytes("two"));
        assertThat(conflict.current().key()).isEqualTo(KEY);
        assertThat(conflict.current().version()).isEqualTo(1);
        assertThat(conflict.current().value()).isEqualTo(bytes("one"));
        assertThat(mTable.write(KEY, 1, bytes(""))).isEqualTo(new WriteResult.Written(2));
        ReadResult.Found found = (ReadResult.Found) mTable.read(KEY);
        assertThat(found.row().value()).isEmpty();
        assertThat(mTable.delete(KEY, 1)).isInstanceOf(WriteResult.Conflict.class);
        assertThat(mTable.delete(KEY, 2)).isInstanceOf(WriteResult.Written.class);
        assertThat(mTable.write(KEY, 2, bytes("late"))).isEqualTo(new WriteResult.Conflict(null));
        assertThat(mTable.write(KEY, Row.ABSENT, bytes("new")))
                .as("versions of a deleted row must not recur")
                .isEqualTo(new WriteResult.Written(3));
        assertThat(mRegistry.counter("platform.reads").getCount()).isEqualTo(2);
        assertThat(mRegistry.counter("platform.writes").getCount()).isEqualTo(7);
    }

    @Test
    void listsInPagesAndChangesSeveralRowsAtOnce() throws PlatformException {
        List<Change> changes =
                List.of(
                        new Change.Put("call/b", bytes("b")),
                        new Change.Put("call/a", bytes("a")),
                        new Change.Put("lease/x", bytes("x")));
        assertThat(mTable.transact(List.of(new Condition("call/b", Row.ABSENT)), changes))
                .isEqualTo(new WriteResult.Written(1));
        WriteResult refused = mTable.transact(List.of(new Condition("call/a", 9)), changes);
        assertThat(((WriteResult.Conflict) refused).current().key()).isEqualTo("call/a");
        assertThat(mTable.list("call/", "", 1)).extracting(Row::key).containsExactly("call/a");
        assertThat(mTable.list("call/", "call/a", 5))
                .extracting(Row::key)
                .containsExactly("call/b");
        assertThat(mTable.list("call/", "call/b", 5)).isEmpty();
        assertThat(mTable.list("call/", "", 5)).extracting(Row::version).containsOnly(1L);
    }

    @Test
    void unansweredWritesAreUnknownWhetherOrNotTheyTookEffect() {
        mFaults.nextWrite(new Fault.ResponseLost());
        assertThat(mTable.write("lost", 0, bytes("v"))).isInstanceOf(WriteResult.Unknown.class);
        assertThat(mTable.read("lost")).isInstanceOf(ReadResult.Found.class);
        mFaults.nextWrite(new Fault.Slow(TIMEOUT.multipliedBy(2)));
        assertThat(mTable.write("slow", 0, bytes("v"))).isInstanceOf(WriteResult.Unknown.class);
        mFaults.nextWrite(new Fault.Late(TIMEOUT));
        assertThat(mTable.write("late", 0, bytes("v"))).isInstanceOf(WriteResult.Unknown.class);
        assertThat(mTable.read("late")).isInstanceOf(ReadResult.Missing.class);
        awaitRow("late");
        mFaults.down(true);
        assertThat(mTable.write("down", 0, bytes("v"))).isInstanceOf(WriteResult.Unknown.class);
        assertThat(mTable.read("down")).isInstanceOf(ReadResult.Unavailable.class);
        assertThat(mStandin.writes()).as("the HTTP client repeats no write").isEqualTo(4);
        mFaults.down(false);
        assertThat(mTable.read("down")).isInstanceOf(ReadResult.Missing.class);
    }

    @Test
    void onlyARefusedConnectionIsReportedAsNotSent() {
        mStandin.close();
        assertThat(mTable.write("k", 0, bytes("v"))).isInstanceOf(WriteResult.NotSent.class);
        assertThat(mTable.read("k")).isInstanceOf(ReadResult.Unavailable.class);
    }

    @Test
    void writesBeyondTheRateAreRefusedWithoutEffect() throws IOException {
        PlatformStandin.Options limited =
                new PlatformStandin.Options(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        1,
                        1000,
                        0.001,
                        Duration.ZERO,
                        List.of());
        try (PlatformStandin standin = PlatformStandin.start(limited, mFaults);
                PlatformHttp http =
                        new PlatformHttp(
                                new PlatformHttp.Options(standin.uri(), TIMEOUT, TIMEOUT),
                                new MetricRegistry())) {
            HttpTable table = new HttpTable(http);
            int refused = 0;
            for (int index = 0; index < 20; index++) {
                WriteResult result = table.write("k" + index, 0, bytes("v"));
                refused += result instanceof WriteResult.Unknown ? 1 : 0;
                assertThat(table.read("k" + index) instanceof ReadResult.Found)
                        .isEqualTo(result instanceof WriteResult.Written);
            }
            assertThat(refused).isPositive();
        }
    }

    @Test
    void objectsWeightsAndInstancesAnswerOverHttp() throws PlatformException {
        HttpObjects objects = new HttpObjects(mHttp);
        objects.put("config/1 +", bytes("content"));
        assertThat(objects.read("config/1 +")).contains(bytes("content"));
        objects.delete("config/1 +");
        assertThat(objects.read("config/1 +")).isEmpty();
        InstanceList.Entry entry =
                new InstanceList.Entry(
                        "i1",
                        InstanceList.Kind.INSTANCE,
                        "127.0.0.1:1",
                        new Location("east", "gent"),
                        InstanceList.State.LEAVING);
        mStandin.instances().put(entry);
        HttpInstances instances = new HttpInstances(mHttp);
        assertThat(instances.entries()).as("the list lags").isEmpty();
        awaitEntries(instances, List.of(entry));
        HttpWeights weights = new HttpWeights(mHttp);
        assertThat(weights.request("m")).isInstanceOf(WeightStore.Grant.Granted.class);
        assertThat(weights.request("m")).isInstanceOf(WeightStore.Grant.Throttled.class);
        mFaults.down(true);
        assertThatThrownBy(instances::entries).isInstanceOf(PlatformException.class);
        assertThatThrownBy(() -> objects.put("k", bytes("v")))
                .isInstanceOf(PlatformException.class);
    }

    private void awaitRow(String key) {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!(mTable.read(key) instanceof ReadResult.Found)) {
            assertThat(System.nanoTime()).as("row appears").isLessThan(end);
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static void awaitEntries(InstanceList list, List<InstanceList.Entry> expected)
            throws PlatformException {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!list.entries().equals(expected)) {
            assertThat(System.nanoTime()).as("entry appears").isLessThan(end);
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
