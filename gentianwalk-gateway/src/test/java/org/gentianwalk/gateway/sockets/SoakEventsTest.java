package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a soak that overlooks a wrong event in the stream of a caller. */
class SoakEventsTest {
    private static final String TARGET = "/stream/a";
    private static final SoakHistory.Request REQUEST =
            new SoakHistory.Request("id", TARGET, "k0", 2, 1_000, null, 0, -1);

    private final SoakAttempts mAttempts = new SoakAttempts();

    private String events(int from, int to, String run) {
        StringBuilder events = new StringBuilder();
        for (int number = from; number <= to; number++) {
            mAttempts.eventSent("id", run, number);
            events.append(SoakEvents.event(number, TARGET, run));
        }
        return events.toString();
    }

    private SoakEvents.Judgement judge(String body, boolean complete) {
        return SoakEvents.judge(REQUEST, body, complete, mAttempts);
    }

    @Test
    void aStreamOfTwoRunsOneAfterTheOtherIsSound() {
        SoakEvents.Judgement judgement = judge(events(3, 6, "a") + events(7, 12, "b"), true);

        assertThat(judgement.violation()).isNull();
        assertThat(judgement.last()).isEqualTo(12);
    }

    @Test
    void aStreamMayBeCutWithinAnEvent() {
        String event = events(5, 5, "a");
        for (int cut = 0; cut < event.length(); cut++) {
            SoakEvents.Judgement judgement =
                    judge(events(3, 4, "a") + event.substring(0, cut), false);

            assertThat(judgement.violation()).as("cut at %d", cut).isNull();
            assertThat(judgement.last()).isEqualTo(4);
        }
    }

    @ParameterizedTest
    @EnumSource(WrongEvent.class)
    void eachFormOfAWrongEventIsFound(WrongEvent wrong) {
        String sound = events(3, 12, "a");

        assertThat(judge(wrong.bytes(3) + sound, true).violation()).isNotNull();
        assertThat(judge(sound + wrong.bytes(13), true).violation()).isNotNull();
        assertThat(judge(sound + wrong.bytes(13), false).violation()).isNotNull();
        assertThat(judge(events(3, 6, "a") + wrong.bytes(7) + events(7, 12, "a"), true).violation())
                .isNotNull();
    }

    @Test
    void aMissingRepeatedOrEarlyLastEventIsFound() {
        assertThat(judge(events(4, 12, "a"), true).violation()).isNotNull();
        assertThat(judge(events(2, 12, "a"), true).violation()).isNotNull();
        assertThat(judge(events(3, 4, "a") + events(4, 12, "a"), true).violation()).isNotNull();
        assertThat(judge(events(3, 11, "a"), true).violation()).isNotNull();
        assertThat(judge("", true).violation()).isNotNull();
    }

    @Test
    void anEventThatNoRunOfTheRequestSentIsFound() {
        String unsent = SoakEvents.event(4, TARGET, "a");
        String others = SoakEvents.event(4, "/stream/b", "a");

        assertThat(judge(events(3, 3, "a") + unsent, false).violation()).isNotNull();
        assertThat(judge(events(3, 3, "a") + others, false).violation()).isNotNull();
    }

    @Test
    void eventsOfTwoRunsThatAreMixedAreFound() {
        String mixed = events(3, 6, "a") + events(7, 7, "b") + events(8, 12, "a");

        assertThat(judge(mixed, true).violation()).isNotNull();
    }
}
