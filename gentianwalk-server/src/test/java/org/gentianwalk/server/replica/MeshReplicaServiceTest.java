package org.gentianwalk.server.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.proto.MessageType;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests replication and takeover between three instances over loopback sockets. */
class MeshReplicaServiceTest {
    private List<ReplicaNode> mNodes = List.of();

    @AfterEach
    void close() {
        mNodes.forEach(ReplicaNode::close);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + 10_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("time to wait for a condition").isLessThan(end);
            Thread.sleep(1);
        }
    }

    private static List<GenerationState.Token> tokens(int from, int to) {
        List<GenerationState.Token> tokens = new ArrayList<>();
        for (int i = from; i < to; i++) {
            tokens.add(new GenerationState.Token(i * 7, " t" + i));
        }
        return tokens;
    }

    private static GenerationState taken(ReplicaNode node, String key, int attempt, int position) {
        ReplicaService.Takeover result =
                node.mService.takeOver(new RequestKey("team", key), attempt, position);
        assertThat(result).isInstanceOf(ReplicaService.Takeover.Taken.class);
        return ((ReplicaService.Takeover.Taken) result).state();
    }

    /** Guards against tokens that are lost or changed when their owner dies. */
    @Test
    void tokensSurviveTheLossOfTheirOwner() throws Exception {
        mNodes = ReplicaNode.cluster("z1", "z2", "z2");
        ReplicaNode.Log log = new ReplicaNode.Log();
        var session = mNodes.get(0).mService.open(ReplicaNode.initial("k", "node-0"), log);
        for (int i = 0; i < 50; i++) {
            session.append(i, tokens(i, i + 1));
        }
        await(() -> log.mPosition == 50);
        mNodes.get(0).close();
        for (int i = 1; i <= 2; i++) {
            GenerationState state = taken(mNodes.get(i), "k", 1, 50);
            assertThat(state.tokens()).isEqualTo(tokens(0, 50));
            assertThat(state.lineage().getLast())
                    .isEqualTo(new GenerationState.LineageEntry(i + 1, 50, "node-" + i));
        }
        GenerationState state = taken(mNodes.get(1), "k", 1, 50);
        ReplicaNode.Log next = new ReplicaNode.Log();
        var resumed = mNodes.get(1).mService.open(state, next);
        resumed.append(50, tokens(50, 60));
        resumed.finish("stop");
        await(() -> next.mFinished);
        assertThat(next.mPosition).isEqualTo(60);
        GenerationState finished = taken(mNodes.get(2), "k", 4, 60);
        assertThat(finished.tokens()).isEqualTo(tokens(0, 60));
        assertThat(finished.finishReason()).isEqualTo("stop");
        assertThat(mNodes.get(1).mService.takeOver(new RequestKey("team", "unknown")))
                .isInstanceOf(ReplicaService.Takeover.NotFound.class);
    }

    /**
     * Guards against an owner that continues to release tokens after a pause during which it was
     * replaced.
     */
    @Test
    void pausedOwnerReleasesNothing() throws Exception {
        mNodes = ReplicaNode.cluster("z1", "z2", "z2");
        ReplicaNode.Log log = new ReplicaNode.Log();
        var session = mNodes.get(0).mService.open(ReplicaNode.initial("k", "node-0"), log);
        session.append(0, tokens(0, 10));
        await(() -> log.mPosition == 10);
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        mNodes.get(0)
                .mLoop
                .execute(
                        () -> {
                            paused.countDown();
                            try {
                                resume.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        paused.await();
        session.append(10, tokens(10, 20));
        GenerationState state = taken(mNodes.get(1), "k", 1, 10);
        assertThat(state.tokens()).isEqualTo(tokens(0, 10));
        ReplicaNode.Log next = new ReplicaNode.Log();
        var resumed = mNodes.get(1).mService.open(state, next);
        resumed.append(10, tokens(30, 40));
        await(() -> next.mPosition == 20);
        resume.countDown();
        await(() -> log.mFencedBy > 0);
        assertThat(log.mFencedBy).isEqualTo(2);
        assertThat(log.mPosition).isEqualTo(10);
        assertThat(next.mFencedBy).isZero();
    }

    /**
     * Guards against a holder that stays in use after it has stopped, and against an owner without
     * holders that stalls.
     */
    @Test
    void holderIsReplacedAndOwnerWithoutHolderContinues() throws Exception {
        mNodes = ReplicaNode.cluster("z1", "z2", "z2");
        ReplicaNode.Log log = new ReplicaNode.Log();
        var session = mNodes.get(0).mService.open(ReplicaNode.initial("k", "node-0"), log);
        session.append(0, tokens(0, 10));
        await(() -> log.mPosition == 10);
        ReplicaNode holder =
                mNodes.get(1).mService.heldRecords() > 0 ? mNodes.get(1) : mNodes.get(2);
        ReplicaNode other = holder == mNodes.get(1) ? mNodes.get(2) : mNodes.get(1);
        holder.close();
        session.append(10, tokens(10, 11));
        await(() -> log.mPosition == 11);
        assertThat(other.mService.heldRecords()).isEqualTo(1);
        other.close();
        session.append(11, tokens(11, 12));
        Thread.sleep(400);
        assertThat(log.mPosition).as("no release while members count as alive").isEqualTo(11);
        mNodes.get(0).mView = new MemberView(2, mNodes.get(0).mSelf, List.of());
        await(() -> log.mPosition == 12);
    }

    /**
     * Measures the cost of replication, and guards against delays far above a round trip, as
     * without group commit.
     */
    @Test
    void measuresCostOfReplication() throws Exception {
        mNodes = ReplicaNode.cluster("z1", "z2", "z2");
        replicate(100, 300, 10, "warm");
        long frames = mNodes.get(0).mMesh.counters().framesSent(MessageType.REPLICA_BATCH);
        final long bytes = mNodes.get(0).mMesh.counters().bytesSent(MessageType.REPLICA_BATCH);
        final double cpu = nodeCpuMillis();
        long[] delays = replicate(100, 200, 10, "measured");
        double spent = nodeCpuMillis() - cpu;
        Arrays.sort(delays);
        double sent = mNodes.get(0).mMesh.counters().bytesSent(MessageType.REPLICA_BATCH) - bytes;
        frames = mNodes.get(0).mMesh.counters().framesSent(MessageType.REPLICA_BATCH) - frames;
        System.out.printf(
                "replica: 100 streams, %d tokens at 10000/s, %.1f bytes a token, %d frames,"
                        + " delay p50 %.3f ms, p99 %.3f ms, CPU %.1f ms for 1000 tokens"
                        + " (threads of all three nodes)%n",
                delays.length,
                sent / delays.length,
                frames,
                delays[delays.length / 2] / 1e6,
                delays[delays.length * 99 / 100] / 1e6,
                spent * 1_000 / delays.length);
        assertThat(delays).hasSize(20_000);
        assertThat(delays[delays.length / 2]).isLessThan(50_000_000L);
    }

    /**
     * Returns the CPU time of the nodes' threads in milliseconds, without those of the load
     * generator, the compiler and the garbage collector.
     */
    private static double nodeCpuMillis() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (var thread : threads.getThreadInfo(threads.getAllThreadIds())) {
            String name = thread.getThreadName();
            if (name.startsWith("pool-") || name.startsWith("multiThreadIoEventLoopGroup-")) {
                sum += threads.getThreadCpuTime(thread.getThreadId());
            }
        }
        return sum / 1e6;
    }

    private long[] replicate(int streams, int count, int periodMillis, String name)
            throws InterruptedException {
        long[][] sent = new long[streams][count];
        long[][] released = new long[streams][count];
        List<ReplicaService.Session> sessions = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(streams);
        for (int i = 0; i < streams; i++) {
            long[] times = released[i];
            GenerationState initial = ReplicaNode.initial(name + i, "node-0");
            sessions.add(
                    mNodes.get(0)
                            .mService
                            .open(
                                    initial,
                                    new ReplicaService.Listener() {
                                        private int mSeen;

                                        @Override
                                        public void onReleasable(int position, boolean finished) {
                                            for (; mSeen < position; mSeen++) {
                                                times[mSeen] = System.nanoTime();
                                            }
                                            if (finished) {
                                                done.countDown();
                                            }
                                        }

                                        @Override
                                        public void onFenced(int attempt) {}
                                    }));
        }
        long start = System.nanoTime();
        for (int token = 0; token < count; token++) {
            for (int i = 0; i < streams; i++) {
                long due = start + (token * streams + i) * (periodMillis * 1_000_000L / streams);
                LockSupport.parkNanos(due - System.nanoTime());
                sent[i][token] = System.nanoTime();
                sessions.get(i).append(token, tokens(token, token + 1));
            }
        }
        sessions.forEach(session -> session.finish("stop"));
        done.await();
        long[] delays = new long[streams * count];
        for (int i = 0; i < delays.length; i++) {
            delays[i] = released[i / count][i % count] - sent[i / count][i % count];
        }
        return delays;
    }
}
