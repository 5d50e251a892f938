package org.gentianwalk.core.policy.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ZoneLossesTest {
    private static final long MS = 1_000_000L;

    /**
     * Guards against work that grows with the number of instances: each of them repeats its report
     * of a loss with every message.
     */
    @Test
    void repeatedReportsOfALossAreKeptOnce() {
        ZoneLosses losses = new ZoneLosses();
        for (int report = 0; report < 100; report++) {
            losses.recordLoss("a", 1, 10 * MS + report % 7 * MS);
        }

        assertThat(losses.size()).isEqualTo(1);
        assertThat(losses.lastFailure("a")).isEmpty();
    }

    @Test
    void threeEnginesLostWithinASecondAreAFailureOfTheirZone() {
        ZoneLosses losses = new ZoneLosses();
        losses.recordLoss("a", 1, 0);
        losses.recordLoss("a", 2, 400 * MS);
        losses.recordLoss("b", 3, 500 * MS);
        assertThat(losses.lastFailure("a")).isEmpty();
        losses.recordLoss("a", 4, 900 * MS);

        assertThat(losses.lastFailure("a")).hasValue(900 * MS);
    }
}
