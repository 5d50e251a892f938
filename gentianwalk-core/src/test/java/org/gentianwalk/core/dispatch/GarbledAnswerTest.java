package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.stream;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against taking an engine that sends invalid answers for one that has ended, which stops
 * sound requests and takes sound engines away.
 */
class GarbledAnswerTest {
    private static final long TICK = 40 * MS;

    /** Time within which the output of a stream has to go on after a loss (design.md, 1.2). */
    private static final long RESUME = 5 * SECOND;

    private final StreamScheduler mScheduler = Samples.streamScheduler(Samples.limits());
    private long mNow;

    private Decision.Start next() {
        for (long end = mNow + RESUME; mNow <= end; mNow += TICK) {
            mScheduler.recordProcessedInput(mNow);
            List<Decision> decisions = mScheduler.advance(mNow);
            assertThat(finishes(decisions)).isEmpty();
            if (!starts(decisions).isEmpty()) {
                return starts(decisions).getFirst();
            }
        }
        throw new AssertionError("no attempt within " + RESUME + " ns");
    }

    private void garble(Decision.Start start) {
        mScheduler.recordAttemptEnd(1, start.attempt(), AttemptEnd.GARBLED, mNow);
    }

    @Test
    void aRequestGoesOnAfterTwoEnginesThatGarbledIt() {
        mScheduler.replaceUpstreams(
                List.of(upstream("a1", "a"), upstream("a2", "a"), upstream("b1", "b")), 0);
        mScheduler.offer(stream(1, 2, 2_000, 0), 0);
        garble(next());
        garble(next());

        Decision.Start third = next();

        assertThat(third.attempt()).isEqualTo(3);
        assertThat(mScheduler.load(mNow).suspects()).as("requests that end engines").isEmpty();
        assertThat(mScheduler.load(mNow).failures()).as("engines that failed").isEmpty();
    }

    @Test
    void theOnlyEngineIsUsedAgainAfterAnInvalidAnswer() {
        mScheduler.replaceUpstreams(List.of(upstream("a1", "a")), 0);
        mScheduler.offer(stream(1, 2, 2_000, 0), 0);
        Decision.Start first = next();
        mScheduler.recordProgress(1, 1, new Progress(1, mNow, 0));
        garble(first);

        assertThat(next().upstream().id()).isEqualTo("a1");
    }

    /** Requests that come meanwhile must not wait for an engine that garbled one event. */
    @Test
    void otherRequestsReachAnEngineThatGarbledOneAnswer() {
        mScheduler.replaceUpstreams(List.of(upstream("a1", "a")), 0);
        mScheduler.offer(stream(1, 2, 2_000, 0), 0);
        garble(next());
        mScheduler.remove(1, mNow);
        mScheduler.offer(stream(2, 2, 2_000, mNow), mNow);

        assertThat(next().work().id()).isEqualTo(2);
    }
}
