package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that go to an upstream whose machine is slow at the moment, since it shares
 * it with others. Such a machine is 2.5 times slower for about 600 ms.
 */
class SharedMachineTest {
    private final CallScheduler mScheduler = Samples.callScheduler(Samples.limits());
    private final Upstream mSlow = upstream("u0", "a");

    SharedMachineTest() {
        List<Upstream> others =
                IntStream.range(1, 6).mapToObj(i -> upstream("u" + i, "a")).toList();
        mScheduler.replaceUpstreams(List.of(mSlow), 0);
        offer(1, 0);
        mScheduler.recordLoad(1, 1, new UpstreamLoad(1, 0, 2.5), 30 * MS);
        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.SUCCEEDED, 30 * MS);
        mScheduler.replaceUpstreams(
                Stream.concat(others.stream(), Stream.of(mSlow)).toList(), 30 * MS);
    }

    @Test
    void anUpstreamThatIsSlowAtTheMomentIsAvoided() {
        for (int i = 2; i < 22; i++) {
            assertThat(offer(i, 40 * MS)).as("call %s", i).isNotEqualTo(mSlow);
        }
    }

    @Test
    void aReportedSlowdownIsForgottenSoon() {
        List<Upstream> chosen = IntStream.range(2, 32).mapToObj(i -> offer(i, 700 * MS)).toList();

        assertThat(chosen).contains(mSlow);
    }

    private Upstream offer(long id, long nowNanos) {
        mScheduler.offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, nowNanos), nowNanos);
        return starts(mScheduler.advance(nowNanos)).getFirst().upstream();
    }
}
