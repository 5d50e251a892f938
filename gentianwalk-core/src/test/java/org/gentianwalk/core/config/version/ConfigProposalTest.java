package org.gentianwalk.core.config.version;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.version.ConfigProposal.Action;
import org.gentianwalk.core.hash.Rendezvous;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.ConfigHead;
import org.junit.jupiter.api.Test;

class ConfigProposalTest {
    private static final ConfigFolder MINE = ConfigFolder.ofTexts(Map.of("a.yaml", "mine"));
    private static final ConfigFolder OTHER = ConfigFolder.ofTexts(Map.of("b.yaml", "other"));
    private static final long NONCE = 77;

    private final ConfigProposal mProposal = new ConfigProposal(MINE, 0, "ana", NONCE, 0);

    private static ConfigState state(long version, ConfigFolder folder) {
        return ((ConfigState.UpdateResult.Updated)
                        ConfigState.NONE.update(ConfigState.fullContent(version, folder)))
                .state();
    }

    private static ReadResult found(ConfigHead head) {
        return new ReadResult.Found(new Row(ConfigProposal.HEAD_KEY, 9, head.toByteArray()));
    }

    /** Performs the first write and loses its response; returns the written head. */
    private ConfigHead loseResponse() throws InvalidProtocolBufferException {
        assertThat(mProposal.start()).isInstanceOf(Action.ReadHead.class);
        assertThat(mProposal.onHead(new ReadResult.Missing(), ConfigState.NONE))
                .isInstanceOf(Action.StoreObject.class);
        Action.WriteHead write = (Action.WriteHead) mProposal.onStored(null);
        assertThat(mProposal.onWrite(new WriteResult.Unknown("lost")))
                .isInstanceOf(Action.ReadHead.class);
        return ConfigHead.parseFrom(write.value());
    }

    private static ConfigHead.Builder withOtherAuthor(ConfigHead.Builder head, long version) {
        return head.setVersion(version)
                .setAuthor("ben")
                .setDigest(ByteString.copyFrom(OTHER.digest()));
    }

    /** Guards against reporting an accepted change as not accepted after a lost response. */
    @Test
    void lostResponseIsResolvedAfterLaterChange() throws InvalidProtocolBufferException {
        ConfigHead later = withOtherAuthor(loseResponse().toBuilder(), 2).build();
        Action action = mProposal.onHead(found(later), state(2, OTHER));
        assertThat(action).isEqualTo(new Action.Finish(new ApplyResult.Accepted(1), null));
    }

    /** Guards against reporting a conflicting change as accepted, and against leaked objects. */
    @Test
    void concurrentChangeIsReportedAsConflict() throws InvalidProtocolBufferException {
        String object = loseResponse().getObject();
        ConfigHead other = withOtherAuthor(ConfigHead.newBuilder(), 1).build();
        Action action = mProposal.onHead(found(other), state(1, OTHER));
        ApplyResult conflict = new ApplyResult.Conflict(1, "ben", List.of("a.yaml", "b.yaml"));
        assertThat(action).isEqualTo(new Action.Finish(conflict, object));
    }

    /** Guards against reporting a change as not accepted while its write may still succeed. */
    @Test
    void permanentlyLostResponseIsReportedAsUnknown() throws InvalidProtocolBufferException {
        loseResponse();
        Action action = new Action.ReadHead(1);
        for (int i = 0; i < 10 && !(action instanceof Action.Finish); i++) {
            action = mProposal.onHead(new ReadResult.Unavailable("down"), ConfigState.NONE);
        }
        assertThat(action).isEqualTo(new Action.Finish(new ApplyResult.Unknown("down"), null));
    }

    /** Guards against slots without pollers and against polling by always the same instances. */
    @Test
    void threeInstancesPollPerSlotInTurns() {
        List<String> ids = IntStream.range(0, 9).mapToObj(i -> "i-" + i).toList();
        Rendezvous<String> members =
                new Rendezvous<>(ids, id -> id, id -> new Location("north", "z"));
        int[] turns = new int[ids.size()];
        for (long ms = 0; ms < 90_000; ms += PollSchedule.SLOT_MS) {
            assertThat(PollSchedule.pollers(members, ms)).hasSize(3).doesNotHaveDuplicates();
            for (int i = 0; i < turns.length; i++) {
                turns[i] += PollSchedule.isPoller(members, id -> id, ids.get(i), ms + 999) ? 1 : 0;
            }
        }
        assertThat(IntStream.of(turns).sum()).isEqualTo(270);
        assertThat(IntStream.of(turns).min().orElseThrow()).isGreaterThan(10);
    }
}
