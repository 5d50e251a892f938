package org.gentianwalk.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.gentianwalk.core.model.Location;
import org.gentianwalk.proto.MemberState;
import org.gentianwalk.proto.MemberUpdate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

/** Guards against a member that is dead or leaving in a state of a later release, and gets work. */
class MemberStateTest {
    private static final Member MEMBER =
            new Member(
                    "i1",
                    "127.0.0.1:1",
                    new Location("r1", "r1-a"),
                    1,
                    0,
                    Member.Health.ALIVE,
                    false,
                    0);

    /** A number that no state has. */
    private static final int UNKNOWN_STATE = 99;

    @ParameterizedTest
    @EnumSource(
            mode = Mode.EXCLUDE,
            names = {"UNRECOGNIZED", "MEMBER_STATE_UNSPECIFIED"})
    void anUpdateWithAKnownStateIsComplete(MemberState state) {
        assertThat(Member.isComplete(update().setState(state).build())).isTrue();
    }

    @Test
    void anUpdateWithoutAKnownStateIsNotComplete() {
        assertThat(Member.isComplete(update().clearState().build())).isFalse();
        assertThat(Member.isComplete(update().setStateValue(UNKNOWN_STATE).build())).isFalse();
    }

    private static MemberUpdate.Builder update() {
        return MEMBER.toUpdate().toBuilder();
    }
}
