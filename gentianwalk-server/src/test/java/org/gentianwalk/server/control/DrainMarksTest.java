package org.gentianwalk.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gentianwalk.proto.UpstreamMark;
import org.junit.jupiter.api.Test;

/** Guards against instances that disagree on which upstreams are drained. */
class DrainMarksTest {
    private static final long NOW = 1_000_000_000_000L;

    /**
     * Guards against an old drain mark that wins over the undrain, in whatever order the two
     * arrive.
     */
    @Test
    void undrainWinsInEitherOrder() {
        DrainMarks operator = new DrainMarks();
        UpstreamMark drain = operator.set("e", true, NOW);
        UpstreamMark undrain = operator.set("e", false, NOW - 5_000);
        for (List<UpstreamMark> order : List.of(List.of(drain, undrain), List.of(undrain, drain))) {
            DrainMarks other = new DrainMarks();
            other.merge(List.of(order.get(0)), NOW);
            assertThat(other.drained().contains("e")).isEqualTo(order.get(0).getDrained());
            other.merge(List.of(order.get(1)), NOW);
            assertThat(other.drained()).isEmpty();
        }
    }

    /** Guards against marks that are never repeated because messages are bounded. */
    @Test
    void repetitionReachesAllMarks() {
        DrainMarks marks = new DrainMarks();
        DrainMarks restarted = new DrainMarks();
        for (int i = 0; i < 5; i++) {
            marks.set("e" + i, true, NOW);
        }
        for (int i = 0; i < 3; i++) {
            restarted.merge(marks.next(2, NOW), NOW);
        }
        assertThat(restarted.drained()).hasSize(5);
    }
}
