package org.gentianwalk.server.journal;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.InstantSource;
import org.gentianwalk.core.journal.CallRows;
import org.gentianwalk.core.journal.CallService.Answer;
import org.gentianwalk.core.journal.CallService.CallOutcome;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.journal.CallService.Sender;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.standin.platform.Fault;
import org.gentianwalk.standin.platform.FaultyTable;
import org.gentianwalk.standin.platform.MemoryObjects;
import org.gentianwalk.standin.platform.MemoryTable;
import org.junit.jupiter.api.Test;

/** Checks the number of store operations of a call, and reports its bytes and CPU time. */
class CallCostTest {
    private static final int CALLS = 50_000;
    private static final int BODY = 200;

    /** A service that answers immediately. */
    private static final class Instant implements Sender {
        @Override
        public SendResult send() {
            return new SendResult.Answered(new Answer(200, "application/json", new byte[BODY]));
        }

        @Override
        public SendResult lookup() {
            return new SendResult.Unknown("");
        }
    }

    @Test
    void aCallCostsTwoWritesAndARepeatOne() {
        FaultyTable table =
                new FaultyTable(
                        new MemoryTable(),
                        (operation, key) -> Fault.NONE,
                        Ticker.system(),
                        Duration.ofSeconds(1));
        try (JournalCallService service =
                new JournalCallService(
                        new JournalCallService.Platform(table, new MemoryObjects()),
                        new JournalCallService.Self("tbilisi-a-1", 1_800_000_000_000L),
                        (owner, incarnation, query) -> CallAnswer.NOT_KNOWN,
                        Ticker.system(),
                        InstantSource.system(),
                        new MetricRegistry())) {
            run(service, "warm-up");
            long before = table.writes();
            long nanos = run(service, "order");
            assertThat(table.writes() - before).isEqualTo(2L * CALLS);
            service.execute(key("order", 0), new byte[32], new Instant());
            assertThat(table.writes() - before).as("a repeat").isEqualTo(2L * CALLS + 1);
            assertThat(table.reads()).isZero();
            String row = CallRows.rowKey(key("order", 0));
            int bytes = ((ReadResult.Found) table.read(row)).row().value().length;
            assertThat(bytes - BODY).isBetween(90, 130);
            System.out.printf(
                    "a call: 2 writes, 0 reads; row %d bytes without its body of %d; %.1f us of"
                            + " processor time with the table in memory%n",
                    bytes - BODY, BODY, nanos / 1e3 / CALLS);
        }
    }

    private static long run(JournalCallService service, String name) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long start = threads.getCurrentThreadCpuTime();
        for (int index = 0; index < CALLS; index++) {
            CallOutcome outcome = service.execute(key(name, index), new byte[32], new Instant());
            assertThat(outcome instanceof CallOutcome.Answered).isTrue();
        }
        return threads.getCurrentThreadCpuTime() - start;
    }

    private static RequestKey key(String name, int index) {
        return new RequestKey("workshop", name + "-2026-12-04-" + index);
    }
}
