package org.gentianwalk.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.proto.GenerationHeader;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.LineageEntry;
import org.gentianwalk.proto.ReplicaAckEntry;
import org.gentianwalk.proto.ReplicaAppend;
import org.gentianwalk.proto.ReplicaBatch;
import org.gentianwalk.proto.ReplicaClaim;
import org.gentianwalk.proto.ReplicaOpen;
import org.gentianwalk.proto.ReplicaStatus;
import org.junit.jupiter.api.Test;

/** Tests the memory bound and the fencing of a holder, and late acknowledgements at an owner. */
class HolderStoreTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ReplicaOptions SMALL =
            new ReplicaOptions(
                    10_000,
                    Duration.ofSeconds(60),
                    Duration.ofMinutes(10),
                    Duration.ofMillis(300),
                    Duration.ofMillis(800),
                    false,
                    true);

    private final HolderStore mStore = new HolderStore(SMALL);

    private static GenerationKey key(String name) {
        return GenerationKey.newBuilder().setTeam("t").setKey(name).build();
    }

    private ReplicaStatus open(long now, String name, int attempt, String owner, int bytes) {
        GenerationHeader header =
                GenerationHeader.newBuilder()
                        .setKey(key(name))
                        .setRequest(ByteString.copyFrom(new byte[bytes]))
                        .build();
        LineageEntry entry = LineageEntry.newBuilder().setAttempt(attempt).setOwner(owner).build();
        ReplicaOpen open = ReplicaOpen.newBuilder().setHeader(header).addLineage(entry).build();
        return status(now, owner, ReplicaBatch.newBuilder().addOpens(open).build());
    }

    private ReplicaStatus finish(long now, String name, int attempt, String owner) {
        ReplicaAppend append =
                ReplicaAppend.newBuilder()
                        .setKey(key(name))
                        .setAttempt(attempt)
                        .setFinishReason("stop")
                        .build();
        return status(now, owner, ReplicaBatch.newBuilder().addAppends(append).build());
    }

    private ReplicaStatus status(long now, String owner, ReplicaBatch batch) {
        return mStore.apply(now, owner, 1, batch).getEntries(0).getStatus();
    }

    private boolean claim(String name, int attempt, String owner) {
        ReplicaClaim claim =
                ReplicaClaim.newBuilder()
                        .setKey(key(name))
                        .setAttempt(attempt)
                        .setOwner(owner)
                        .setOwnerIncarnation(1)
                        .build();
        return mStore.claim(0, claim).getGranted();
    }

    /** Guards against memory without a bound, and against the loss of running generations. */
    @Test
    void memoryIsBoundedAndTheOldestFinishedRecordIsEvictedFirst() {
        for (String name : List.of("a", "b", "c", "d")) {
            assertThat(open(0, name, 1, "o", 1_500)).isEqualTo(ReplicaStatus.STORED);
        }
        assertThat(open(0, "e", 1, "o", 1_500)).isEqualTo(ReplicaStatus.FULL);
        assertThat(finish(1, "c", 1, "o")).isEqualTo(ReplicaStatus.STORED);
        assertThat(finish(2, "a", 1, "o")).isEqualTo(ReplicaStatus.STORED);
        assertThat(open(3, "e", 1, "o", 1_500)).isEqualTo(ReplicaStatus.STORED);
        assertThat(mStore.fetch(key("c")).getFound()).isFalse();
        assertThat(mStore.fetch(key("a")).getFound()).isTrue();
        assertThat(mStore.bytes()).isBetween(8_000L, 10_000L);
        mStore.expire(61 * SECOND);
        assertThat(mStore.fetch(key("a")).getFound()).as("finished, after 60 s").isFalse();
        assertThat(mStore.fetch(key("b")).getFound()).as("running").isTrue();
        mStore.expire(601 * SECOND);
        assertThat(mStore.size()).isZero();
        assertThat(mStore.bytes()).as("bytes of an empty store").isZero();
    }

    /** Guards against an attempt with two owners, and against missing or wrong fencing. */
    @Test
    void attemptHasOneOwner() {
        assertThat(open(0, "a", 1, "o", 10)).isEqualTo(ReplicaStatus.STORED);
        assertThat(claim("a", 1, "x")).isFalse();
        assertThat(claim("a", 2, "x")).isTrue();
        assertThat(claim("a", 2, "x")).as("repeated").isTrue();
        assertThat(claim("a", 2, "y")).isFalse();
        assertThat(finish(0, "a", 1, "o")).isEqualTo(ReplicaStatus.FENCED);
        assertThat(open(0, "a", 1, "o", 10)).isEqualTo(ReplicaStatus.FENCED);
        assertThat(open(0, "a", 3, "o", 10))
                .as("attempt raised without a claim")
                .isEqualTo(ReplicaStatus.FENCED);
        assertThat(open(0, "a", 1, "x", 10))
                .as("late message of the owner")
                .isEqualTo(ReplicaStatus.MISSING);
        assertThat(open(0, "a", 2, "x", 10)).isEqualTo(ReplicaStatus.STORED);
        assertThat(finish(0, "b", 1, "o")).isEqualTo(ReplicaStatus.MISSING);
    }

    /** Guards against a release by an owner that was paused after its holder had replied. */
    @Test
    void lateAcknowledgementIsIgnored() {
        Member self = member("o", "z1");
        MemberView view = new MemberView(1, self, List.of(member("h", "z2")));
        OwnerSession session =
                new OwnerSession(
                        0,
                        new GenerationState(
                                new RequestKey("t", "k"),
                                new byte[1],
                                new byte[1],
                                "m",
                                "k",
                                Rank.URGENT,
                                1,
                                0,
                                List.of(new GenerationState.LineageEntry(1, 0, "o")),
                                List.of(new GenerationState.Token(1, "x")),
                                null),
                        "o",
                        1,
                        SMALL);
        ReplicaAckEntry stored =
                ReplicaAckEntry.newBuilder()
                        .setAttempt(1)
                        .setStatus(ReplicaStatus.STORED)
                        .setStored(1)
                        .build();
        OwnerSession.Item item = session.nextItem(0, view);
        session.onAck(7 * SECOND, item.id(), List.of(stored));
        assertThat(session.releasable()).isZero();
        item = session.nextItem(7 * SECOND, view);
        session.onAck(7 * SECOND + 1, item.id(), List.of(stored));
        assertThat(session.releasable()).isEqualTo(1);
        session.onFailure(session.nextItem(11 * SECOND, view).id());
        assertThat(session.nextItem(30 * SECOND, view)).as("a new holder after 22 s").isNull();
        session.nextItem(31 * SECOND, view);
        assertThat(session.fencingAttempt()).isEqualTo(2);
    }

    private static Member member(String id, String zone) {
        return new Member(
                id, id + ":1", new Location("r", zone), 1, 0, Member.Health.ALIVE, false, 0);
    }
}
