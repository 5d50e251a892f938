package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.stream;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.LivenessAware.LivenessCheck;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against engines that stay unused after a refused connection, which shows only that nothing
 * listened at that moment.
 */
class RefusedConnectionTest {
    private static final long TICK = 50 * MS;

    private final Upstream mOnly = upstream("a1", "a");
    private final StreamScheduler mScheduler = Samples.streamScheduler(Samples.limits());

    /** Times at which checks ended. */
    private final List<Long> mCheckedAt = new ArrayList<>();

    private long mNow;

    /** Has the only engine refuse the first attempt of a generation. */
    private void refuse(AttemptEnd end) {
        mScheduler.replaceUpstreams(List.of(mOnly), mNow);
        mScheduler.offer(stream(1, 2, 8_000, mNow), mNow);
        assertThat(starts(mScheduler.advance(mNow))).hasSize(1);
        mNow += 5 * MS;
        mScheduler.recordAttemptEnd(1, 1, end, mNow);
    }

    /** Lets time pass, in which checks find the process, or nothing that listens. */
    private List<Decision> advance(boolean listens, long untilNanos) {
        List<Decision> decisions = new ArrayList<>(mScheduler.advance(mNow));
        while (starts(decisions).isEmpty() && mNow < untilNanos) {
            mNow += TICK;
            for (LivenessCheck check : mScheduler.takeLivenessChecks()) {
                mCheckedAt.add(mNow);
                if (listens) {
                    mScheduler.recordLivenessCheck(check.engine(), true, mNow);
                } else {
                    mScheduler.recordProcessEnd(check.engine(), mNow);
                }
            }
            decisions.addAll(mScheduler.advance(mNow));
        }
        return decisions;
    }

    /** The only engine refuses a connection once, for instance since it is listed too early. */
    @ParameterizedTest
    @EnumSource(names = {"NOT_LISTENING", "CRASHED"})
    void anEngineThatRefusedAConnectionIsUsedAgainOnceItRespondsToACheck(AttemptEnd end) {
        refuse(end);

        List<Decision> decisions = advance(true, SECOND);

        assertThat(finishes(decisions)).isEmpty();
        assertThat(starts(decisions)).hasSize(1);
    }

    /** Each attempt would find nothing, and uses a retry after a loss. */
    @Test
    void anEngineIsNotUsedWhileNothingListens() {
        refuse(AttemptEnd.NOT_LISTENING);

        assertThat(advance(false, 6 * SECOND)).isEmpty();
        assertThat(mCheckedAt).as("checks, at intervals up to 1.2 s").hasSizeBetween(4, 12);
        assertThat(starts(advance(true, 8 * SECOND))).as("once it listens").hasSize(1);
    }

    /** Its response was sent before the process ended. */
    @Test
    void aCheckFromBeforeTheRefusalDoesNotTakeTheEngineBack() {
        mScheduler.replaceUpstreams(List.of(mOnly), mNow);
        mScheduler.offer(stream(1, 2, 8_000, mNow), mNow);
        mScheduler.offer(stream(2, 2, 8_000, mNow), mNow);
        mScheduler.advance(mNow);
        mNow += 3 * SECOND;
        mScheduler.recordProcessedInput(mNow);
        mScheduler.advance(mNow);
        List<LivenessCheck> early = mScheduler.takeLivenessChecks();
        assertThat(early).hasSize(1);
        mNow += 5 * MS;
        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.NOT_LISTENING, mNow);
        mScheduler.recordLivenessCheck(mOnly, true, mNow);
        mNow += SECOND;

        assertThat(starts(mScheduler.advance(mNow))).isEmpty();
    }

    /** Other engines suffice for the time being, so that no request waits for this one. */
    @Test
    void anEngineIsTakenBackWhileOthersServeAllRequests() {
        refuse(AttemptEnd.NOT_LISTENING);
        Upstream other = upstream("b1", "b");
        mScheduler.replaceUpstreams(List.of(mOnly, other), mNow);
        assertThat(starts(mScheduler.advance(mNow)))
                .extracting(Decision.Start::upstream)
                .containsExactly(other);
        mScheduler.recordProgress(1, 2, new Progress(1, mNow, 0));
        for (long end = mNow + SECOND; mNow < end; mNow += TICK) {
            mScheduler.recordProgress(1, 2, new Progress(1, mNow, TICK));
            mScheduler.advance(mNow);
            mScheduler
                    .takeLivenessChecks()
                    .forEach(c -> mScheduler.recordLivenessCheck(c.engine(), true, mNow));
        }

        mScheduler.offer(stream(2, 2, 8_000, mNow), mNow);

        assertThat(starts(mScheduler.advance(mNow)))
                .extracting(Decision.Start::upstream)
                .containsExactly(mOnly);
    }

    /** Checks that find nothing are no further losses, which would show a failure of the zone. */
    @Test
    void checksOfEndedEnginesDoNotKeepTheOthersOfTheirZoneFromUse() {
        List<Upstream> ended =
                List.of(upstream("b1", "b"), upstream("b2", "b"), upstream("b3", "b"));
        mScheduler.replaceUpstreams(ended, mNow);
        for (int id = 1; id <= ended.size(); id++) {
            mScheduler.offer(stream(id, 2, 8_000, mNow), mNow);
        }
        assertThat(starts(mScheduler.advance(mNow))).hasSize(3);
        Upstream sound = upstream("b4", "b");
        mScheduler.replaceUpstreams(with(ended, Samples.draining(sound)), mNow);
        mNow += MS;
        for (int id = 1; id <= ended.size(); id++) {
            mScheduler.recordAttemptEnd(id, 1, AttemptEnd.NOT_LISTENING, mNow);
        }
        mScheduler.replaceUpstreams(with(ended, sound), mNow);

        List<Decision> decisions = advance(false, 6 * SECOND);

        assertThat(starts(decisions)).extracting(Decision.Start::upstream).containsOnly(sound);
        assertThat(mNow).as("end of the avoidance").isBetween(4 * SECOND, 4_200 * MS);
    }

    private static List<Upstream> with(List<Upstream> upstreams, Upstream further) {
        List<Upstream> all = new ArrayList<>(upstreams);
        all.add(further);
        return all;
    }
}
