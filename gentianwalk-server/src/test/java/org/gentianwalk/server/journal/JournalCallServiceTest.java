package org.gentianwalk.server.journal;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.journal.CallRows;
import org.gentianwalk.core.journal.CallService.Answer;
import org.gentianwalk.core.journal.CallService.CallOutcome;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.journal.CallService.Sender;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallState;
import org.gentianwalk.server.platform.HttpObjects;
import org.gentianwalk.server.platform.HttpTable;
import org.gentianwalk.server.platform.PlatformHttp;
import org.gentianwalk.standin.platform.Fault;
import org.gentianwalk.standin.platform.FaultSwitch;
import org.gentianwalk.standin.platform.MemoryObjects;
import org.gentianwalk.standin.platform.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the call service over real sockets, with lost responses and late writes. */
class JournalCallServiceTest {
    private static final byte[] DIGEST = {1, 2, 3};
    private static final Duration TIMEOUT = Duration.ofMillis(1000);
    private static final Instant NOW = Instant.parse("2026-12-04T12:00:00Z");

    private final FaultSwitch mFaults = new FaultSwitch();
    private final ConcurrentHashMap<String, JournalCallService> mPeers = new ConcurrentHashMap<>();
    private PlatformStandin mStandin;
    private PlatformHttp mHttp;
    private JournalCallService mFirst;
    private JournalCallService mSecond;

    /** A service that counts executions and answers with the given body. */
    private record CountingSender(AtomicInteger executions, byte[] body) implements Sender {
        @Override
        public SendResult send() {
            executions.incrementAndGet();
            return new SendResult.Answered(new Answer(200, "text/plain", body));
        }

        @Override
        public SendResult lookup() {
            return new SendResult.Unknown("the service has no lookup");
        }
    }

    @BeforeEach
    void start() throws IOException {
        mStandin = PlatformStandin.start(PlatformStandin.Options.onFreePort(), mFaults);
        mHttp =
                new PlatformHttp(
                        new PlatformHttp.Options(mStandin.uri(), TIMEOUT, TIMEOUT),
                        new MetricRegistry());
        mFirst = service("i1");
        mSecond = service("i2");
    }

    @AfterEach
    void stop() {
        mFirst.close();
        mSecond.close();
        mHttp.close();
        mStandin.close();
    }

    private JournalCallService service(String id) {
        CallPeers peers =
                (owner, incarnation, query) ->
                        mPeers.containsKey(owner)
                                ? mPeers.get(owner).answer(query)
                                : CallAnswer.NOT_KNOWN;
        JournalCallService service =
                new JournalCallService(
                        new JournalCallService.Platform(
                                new HttpTable(mHttp), new HttpObjects(mHttp)),
                        new JournalCallService.Self(id, 1),
                        peers,
                        Ticker.system(),
                        InstantSource.fixed(NOW),
                        new MetricRegistry());
        mPeers.put(id, service);
        return service;
    }

    private static CountingSender sender(String body) {
        return new CountingSender(new AtomicInteger(), body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void callsAtTwoInstancesRunOnceWhileAnswersAreLost() throws Exception {
        Random random = new Random(7);
        List<CountingSender> senders =
                IntStream.range(0, 40).mapToObj(i -> sender("b" + i)).toList();
        try (var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<CallOutcome>> outcomes = new ArrayList<>();
            for (int index = 0; index < senders.size(); index++) {
                RequestKey key = new RequestKey("t", "k" + index);
                Sender sender = senders.get(index);
                mFaults.nextWrite(
                        random.nextBoolean()
                                ? new Fault.ResponseLost()
                                : new Fault.Late(Duration.ofMillis(random.nextInt(300))));
                outcomes.add(executor.submit(() -> mFirst.execute(key, DIGEST, sender)));
                outcomes.add(executor.submit(() -> mSecond.execute(key, DIGEST, sender)));
            }
            int answered = 0;
            for (int index = 0; index < outcomes.size(); index++) {
                CountingSender sender = senders.get(index / 2);
                if (outcomes.get(index).get() instanceof CallOutcome.Answered ok) {
                    assertThat(ok.answer().body()).isEqualTo(sender.body());
                    answered++;
                }
            }
            assertThat(senders).allMatch(sender -> sender.executions().get() <= 1);
            assertThat(answered).isGreaterThan(senders.size());
        }
    }

    @Test
    void repeatsGetTheStoredAnswerAndAnotherBodyIsRefused() {
        RequestKey key = new RequestKey("t", "large");
        CountingSender sender = sender("x".repeat(RowBodies.MAX_ROW_BODY_BYTES + 1));
        assertThat(mFirst.execute(key, DIGEST, sender)).isInstanceOf(CallOutcome.Answered.class);
        CallOutcome.Answered repeated = (CallOutcome.Answered) mSecond.execute(key, DIGEST, sender);
        assertThat(repeated.repeated()).isTrue();
        assertThat(repeated.answer().body()).isEqualTo(sender.body());
        assertThat(sender.executions()).hasValue(1);
        assertThat(mStandin.writes()).as("intent, object, outcome, repeat's intent").isEqualTo(4);
        CallOutcome.Failed other =
                (CallOutcome.Failed) mSecond.execute(key, new byte[] {9}, sender);
        assertThat(other.error().kind()).isEqualTo(ErrorKind.KEY_REUSED);
        assertThat(sender.executions()).hasValue(1);
    }

    @Test
    void aStoreThatIsDownRefusesCallsAsNotRunAndItsLateIntentIsResolved() throws Exception {
        RequestKey key = new RequestKey("t", "late");
        CountingSender sender = sender("late");
        mFaults.nextWrite(new Fault.Late(Duration.ofMillis(1200)));
        mFaults.nextWrite(new Fault.Down());
        mFaults.nextWrite(new Fault.Down());
        CallOutcome.Failed failed = (CallOutcome.Failed) mFirst.execute(key, DIGEST, sender);
        assertThat(failed.error().outcome()).isEqualTo(Outcome.NOT_RUN);
        awaitState(key, CallState.NOT_RUN);
        assertThat(sender.executions()).hasValue(0);
        assertThat(mSecond.execute(key, DIGEST, sender)).isInstanceOf(CallOutcome.Answered.class);
        assertThat(sender.executions()).hasValue(1);
    }

    @Test
    void expiredRowsAndDatedKeysAreNotUsed() throws PlatformException {
        RequestKey key = new RequestKey("t", "2026-12-04-order");
        CountingSender sender = sender("old");
        mFirst.execute(key, DIGEST, sender);
        CallSweeper sweeper = new CallSweeper(new HttpTable(mHttp), new MemoryObjects(), 10);
        Duration week = Duration.ofDays(7);
        assertThat(sweeper.sweep(() -> true, NOW.plus(week).toEpochMilli())).isZero();
        assertThat(sweeper.sweep(() -> true, NOW.toEpochMilli())).as("end of the scan").isZero();
        long later = NOW.plus(week).toEpochMilli() + 1;
        assertThat(sweeper.sweep(() -> false, later)).as("without the lease").isZero();
        assertThat(sweeper.sweep(() -> true, later)).isEqualTo(1);
        CallOutcome.Failed dated =
                (CallOutcome.Failed)
                        mFirst.execute(new RequestKey("t", "2026-11-26-order"), DIGEST, sender);
        assertThat(dated.error().kind()).isEqualTo(ErrorKind.INVALID_REQUEST);
        assertThat(sender.executions()).hasValue(1);
    }

    private void awaitState(RequestKey key, CallState state) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!(mStandin.table().read(CallRows.rowKey(key)) instanceof ReadResult.Found found)
                || CallRows.parse(found.row()).orElseThrow().getState() != state) {
            assertThat(System.nanoTime()).as("row becomes " + state).isLessThan(end);
            Thread.sleep(5);
        }
    }
}
