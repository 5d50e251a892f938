package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against wasted retries of calls whose request causes a 500 (14% of them, of which two
 * thirds of the retries got a 500 again), and against calls that fail at an upstream with errors of
 * its own. An instance gets two calls a second, for six upstreams.
 */
class CallErrorTest {
    private static final int CALLS = 1_000;
    private static final double REQUEST_ERRORS = 0.14;

    private final List<Upstream> mUpstreams =
            IntStream.range(0, 6).mapToObj(i -> upstream("u" + i, "a")).toList();
    private final Random mRandom = new Random(11);
    private final int[] mFirstAttempts = new int[6];
    private int mRetries;
    private int mErrors;

    @Test
    void aCallWhoseRequestCausesTheErrorIsRarelyRetried() {
        run((upstream, requestFails) -> requestFails);

        assertThat(mErrors).isGreaterThan(100);
        assertThat(mRetries).as("retries of %s errors", mErrors).isLessThan(mErrors / 4);
    }

    @Test
    void aCallIsRetriedWhenItsUpstreamFailsManyOfItsCalls() {
        run((upstream, requestFails) -> requestFails || upstream == 2 && mRandom.nextInt(3) > 0);

        int caused = (int) (CALLS * REQUEST_ERRORS);
        assertThat(mErrors - caused).as("errors of the upstream that callers got").isLessThan(30);
        int[] others =
                IntStream.range(0, 6).filter(i -> i != 2).map(i -> mFirstAttempts[i]).toArray();
        assertThat((double) mFirstAttempts[2])
                .as("first attempts, others %s", others)
                .isBetween(20.0, 0.75 * IntStream.of(others).average().orElseThrow());
    }

    /** Without other errors, nothing shows that requests cause errors. */
    @Test
    void rareErrorsAreRetried() {
        run((upstream, requestFails) -> upstream == 2 && mRandom.nextInt(10) == 0);

        assertThat(mRetries).isGreaterThan(5);
        assertThat(mErrors).as("errors that callers got").isZero();
    }

    private void run(BiPredicate<Integer, Boolean> fails) {
        CallScheduler scheduler = Samples.callScheduler(Samples.limits());
        scheduler.replaceUpstreams(mUpstreams, 0);
        for (int id = 0; id < CALLS; id++) {
            long now = id * 500 * MS;
            boolean requestFails = mRandom.nextDouble() < REQUEST_ERRORS;
            scheduler.offer(Samples.call(id, RequestKind.IDEMPOTENT_CALL, 3, now), now);
            List<Decision.Start> starts = starts(scheduler.advance(now));
            mFirstAttempts[mUpstreams.indexOf(starts.getFirst().upstream())]++;
            boolean failed = false;
            while (!starts.isEmpty()) {
                now += 30 * MS;
                Decision.Start start = starts.getFirst();
                failed = fails.test(mUpstreams.indexOf(start.upstream()), requestFails);
                scheduler.recordAttemptEnd(
                        id,
                        start.attempt(),
                        failed ? AttemptEnd.ANSWERED_ERROR : AttemptEnd.SUCCEEDED,
                        now);
                starts = starts(scheduler.advance(now));
                mRetries += starts.size();
            }
            mErrors += failed ? 1 : 0;
        }
    }
}
