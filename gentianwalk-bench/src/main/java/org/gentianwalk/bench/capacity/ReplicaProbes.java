package org.gentianwalk.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.HolderStore;
import org.gentianwalk.core.replica.OwnerSession;
import org.gentianwalk.core.replica.ReplicaOptions;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.ReplicaBatch;
import org.gentianwalk.proto.ReplicaBatchAck;

/** Measures the costs of replicating running generations, for owner and holder together. */
final class ReplicaProbes {
    private static final String COPIES = "copies of generations";
    private static final String HOLDER = "holder store";
    private static final String OWNER = "entry-instance-0";

    /** 3.3 million tokens per second over 12,000 requests per second; design page, section 1.2. */
    private static final int MEAN_TOKENS = 275;

    private static final int TYPICAL_REQUEST_BYTES = 4_096;
    private static final int LONG_GENERATION_TOKENS = 1_024;
    private static final long MILLI = 1_000_000L;

    private final Meter mMeter;
    private final boolean mQuick;
    private final MemberView mView = createView();
    private long mNumber;

    ReplicaProbes(boolean quick) {
        mMeter = new Meter(quick);
        mQuick = quick;
    }

    List<CapacityProbe> all() {
        int[] batches = {1, 4, 16, 64};
        int[] requests = {1_024, 4_096, 16_384, 65_536};
        int[] tokens = mQuick ? new int[] {16, 32, 64} : new int[] {64, 256, 1_024, 4_096};
        int[] records = mQuick ? new int[] {50, 100, 200} : new int[] {500, 1_000, 2_000, 4_000};
        return List.of(
                new Probe(
                        COPIES,
                        "bytes of an append and its answer",
                        "tokens in it",
                        batches,
                        1,
                        this::appendBytes),
                new Probe(
                        COPIES,
                        "processor time of an append, owner and holder, ns",
                        "tokens in it",
                        batches,
                        1,
                        size -> {
                            for (int batch : batches) {
                                replicateGeneration(LONG_GENERATION_TOKENS / batch, batch);
                            }
                            int appends = LONG_GENERATION_TOKENS / size;
                            return mMeter.nanosPerCall(() -> replicateGeneration(appends, size))
                                    / appends;
                        }),
                new Probe(
                        COPIES,
                        "bytes of opening a record",
                        "bytes of the request",
                        requests,
                        TYPICAL_REQUEST_BYTES,
                        size ->
                                new ReplicatedSession(new HolderStore(ReplicaOptions.DEFAULT), size)
                                        .replicate()
                                        .bytes()),
                new Probe(
                        COPIES,
                        "memory of an owner's session, bytes",
                        "tokens",
                        tokens,
                        MEAN_TOKENS,
                        size -> Meter.heapBytes(64, () -> createOwner(size))),
                new Probe(
                        HOLDER,
                        "memory of a record, bytes",
                        "tokens",
                        tokens,
                        MEAN_TOKENS,
                        size -> Meter.heapBytes(2, () -> createStore(32, size)) / 32),
                new Probe(
                        HOLDER,
                        "memory of a record as the store counts it, bytes",
                        "tokens",
                        tokens,
                        MEAN_TOKENS,
                        size -> createStore(32, size).bytes() / 32.0),
                new Probe(
                        HOLDER,
                        "processor time of an expiry scan, ns",
                        "records",
                        records,
                        2_400,
                        size -> {
                            HolderStore store = createStore(size, 1);
                            return mMeter.nanosPerCall(() -> store.expire(1));
                        }));
    }

    private double appendBytes(int batch) {
        ReplicatedSession session =
                new ReplicatedSession(
                        new HolderStore(ReplicaOptions.DEFAULT), TYPICAL_REQUEST_BYTES);
        session.replicate();
        session.append(batch);
        return session.replicate().bytes();
    }

    private void replicateGeneration(int appends, int batch) {
        ReplicatedSession session =
                new ReplicatedSession(
                        new HolderStore(ReplicaOptions.DEFAULT), TYPICAL_REQUEST_BYTES);
        session.replicate();
        for (int i = 0; i < appends; i++) {
            session.append(batch);
            session.replicate();
        }
    }

    private OwnerSession createOwner(int tokens) {
        ReplicatedSession session =
                new ReplicatedSession(
                        new HolderStore(ReplicaOptions.DEFAULT), TYPICAL_REQUEST_BYTES);
        for (int i = 0; i < tokens; i++) {
            session.append(1);
        }
        return session.mSession;
    }

    private HolderStore createStore(int records, int tokens) {
        HolderStore store = new HolderStore(ReplicaOptions.DEFAULT);
        for (int record = 0; record < records; record++) {
            ReplicatedSession session = new ReplicatedSession(store, TYPICAL_REQUEST_BYTES);
            session.replicate();
            for (int i = 0; i < tokens; i++) {
                session.append(1);
                session.replicate();
            }
        }
        if (store.size() != records) {
            throw new IllegalStateException(store.size() + " records instead of " + records);
        }
        return store;
    }

    private static MemberView createView() {
        List<Member> others = new ArrayList<>();
        for (int i = 1; i < 8; i++) {
            others.add(createMember(i));
        }
        return new MemberView(1, createMember(0), others);
    }

    private static Member createMember(int index) {
        return new Member(
                "entry-instance-" + index,
                "10.20.30.40:7000",
                new Location("region-0", "zone-" + index % 2),
                1,
                0,
                Member.Health.ALIVE,
                false,
                1);
    }

    private record Exchange(ReplicaBatch sent, ReplicaBatchAck ack) {
        /** Returns the message sizes; computed separately to keep it out of the CPU time. */
        double bytes() {
            return (double) Frames.bytes(MessageType.REPLICA_BATCH, sent)
                    + Frames.bytes(MessageType.REPLICA_BATCH_ACK, ack);
        }
    }

    /** An owner's session and its holder's store. */
    private final class ReplicatedSession {
        private final HolderStore mStore;
        private final OwnerSession mSession;
        private int mPosition;

        ReplicatedSession(HolderStore store, int requestBytes) {
            mStore = store;
            GenerationState state =
                    new GenerationState(
                            new RequestKey(
                                    "team-1234",
                                    "0b7c2d9e-5a31-4f66-9d10-%012d".formatted(++mNumber)),
                            new byte[32],
                            new byte[requestBytes],
                            "model-12",
                            "summary",
                            Rank.STANDARD,
                            42,
                            0,
                            List.of(new GenerationState.LineageEntry(1, 0, OWNER)),
                            List.of(),
                            null);
            mSession = new OwnerSession(0, state, OWNER, 1, ReplicaOptions.DEFAULT);
        }

        void append(int tokens) {
            List<GenerationState.Token> run = new ArrayList<>(tokens);
            for (int i = 0; i < tokens; i++) {
                int id = 10_000 + (mPosition + i) % 20_000;
                run.add(new GenerationState.Token(id, "t" + id));
            }
            mSession.append(mPosition, run);
            mPosition += tokens;
        }

        /** Sends the missing data to the holder and applies the acknowledgement. */
        Exchange replicate() {
            try {
                long now = mPosition * MILLI;
                OwnerSession.Item item = mSession.nextItem(now, mView);
                if (item == null) {
                    throw new IllegalStateException("nothing to replicate");
                }
                ReplicaBatch.Builder batch = ReplicaBatch.newBuilder();
                if (item.open() != null) {
                    batch.addOpens(item.open());
                }
                if (item.append() != null) {
                    batch.addAppends(item.append());
                }
                ReplicaBatch sent = batch.build();
                ReplicaBatch received = ReplicaBatch.parseFrom(sent.toByteArray());
                ReplicaBatchAck stored = mStore.apply(now, OWNER, 1, received);
                ReplicaBatchAck ack = ReplicaBatchAck.parseFrom(stored.toByteArray());
                mSession.onAck(now, item.id(), ack.getEntriesList());
                if (mSession.releasable() != mPosition) {
                    throw new IllegalStateException("tokens were not stored: " + ack);
                }
                return new Exchange(sent, ack);
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
