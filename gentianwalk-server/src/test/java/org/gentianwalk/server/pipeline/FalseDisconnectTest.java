package org.gentianwalk.server.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.config.ServingRules.Limits;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.LocalReplicaService;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.server.http.ConnectionTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class FalseDisconnectTest {
    /**
     * Guards against callers that are disconnected because one snapshot of the kernel's connection
     * table lacks them.
     */
    @Test
    void connectionMissingFromSingleSnapshotsIsKept() throws Exception {
        AtomicInteger snapshots = new AtomicInteger();
        ConnectionTable unreliable =
                () -> {
                    boolean missing = snapshots.incrementAndGet() % 2 == 0;
                    return (local, remote) ->
                            missing ? ConnectionTable.State.ABSENT : ConnectionTable.State.OPEN;
                };
        try (TestFleet fleet =
                new TestFleet(
                        List.of(TestFleet.slow("e1", 20)),
                        Limits.DEFAULT,
                        Map.of(),
                        parts -> parts.withConnections(unreliable))) {
            TestCaller.Stream stream = fleet.caller().stream(TestFleet.body("p", 1, 100, true));
            assertThat(snapshots.get()).isGreaterThan(3);
            assertThat(stream.mTokens).isEqualTo(TestFleet.expected("p", 1, 100));
        }
    }

    /**
     * Guards against a request that waits forever for a generation whose first caller disconnected
     * during the takeover.
     */
    @Test
    void requestRunsAfterAnEarlierOneWasInterruptedDuringTheTakeover() throws Exception {
        FirstTakeoverBlocks replicas = new FirstTakeoverBlocks();
        AtomicInteger disconnected = new AtomicInteger();
        ConnectionTable peers =
                () ->
                        (local, remote) ->
                                disconnected.get() > 0
                                        ? ConnectionTable.State.CLOSED
                                        : ConnectionTable.State.OPEN;
        try (TestFleet fleet =
                new TestFleet(
                        List.of(TestFleet.slow("e1", 1)),
                        Limits.DEFAULT,
                        Map.of(),
                        parts -> parts.withReplicas(replicas).withConnections(peers))) {
            String body = TestFleet.body("p", 1, 20, true);
            CompletableFuture<Void> first =
                    CompletableFuture.runAsync(
                            () -> fleet.caller().stream(body, "Idempotency-Key", "k1"));
            replicas.mEntered.await();
            disconnected.set(1);
            TestFleet.await(
                    "the first request is interrupted",
                    Duration.ofSeconds(5),
                    () -> replicas.mInterrupted.getCount() == 0);
            disconnected.set(0);
            TestFleet.await("the first request ended", Duration.ofSeconds(5), first::isDone);
            TestCaller.Stream second = fleet.caller().stream(body, "Idempotency-Key", "k1");
            assertThat(second.mTokens).isEqualTo(TestFleet.expected("p", 1, 20));
        }
    }

    /** A service whose first takeover blocks until its thread is interrupted. */
    private static final class FirstTakeoverBlocks implements ReplicaService {
        private final LocalReplicaService mLocal = new LocalReplicaService();
        private final CountDownLatch mEntered = new CountDownLatch(1);
        private final CountDownLatch mInterrupted = new CountDownLatch(1);

        @Override
        public Session open(GenerationState initial, Listener listener) {
            return mLocal.open(initial, listener);
        }

        @Override
        public Takeover takeOver(RequestKey key) {
            if (mEntered.getCount() == 0) {
                return new Takeover.NotFound();
            }
            mEntered.countDown();
            try {
                new CountDownLatch(1).await();
            } catch (InterruptedException e) {
                mInterrupted.countDown();
                Thread.currentThread().interrupt();
            }
            return new Takeover.Contended("interrupted");
        }
    }
}
