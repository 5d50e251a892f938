package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that end as unknown since the engines that they may still use are missing
 * from the list for a moment, and against streams that wait for ever for engines that have left it.
 */
class MissingEntryTest {
    private static final long TICK = 40 * MS;
    private static final long LOST_AT = 6 * SECOND;

    private final List<Upstream> mEngines =
            List.of(upstream("a1", "a"), upstream("b1", "b"), upstream("b2", "b"));
    private final List<Upstream> mOthers = new ArrayList<>(mEngines);
    private final StreamScheduler mScheduler = Samples.streamScheduler(Samples.limits());
    private Upstream mReached;

    /** The stream may use two engines, and its second attempt has been superseded by the first. */
    @BeforeEach
    void reachTwoEngines() {
        mScheduler.replaceUpstreams(mEngines, 0);
        mScheduler.offer(work(), 0);
        Upstream first = starts(mScheduler.advance(0)).getFirst().upstream();
        mScheduler.recordProgress(1, 1, new Progress(1, SECOND, 0));
        mReached = starts(advance(SECOND, LOST_AT)).getFirst().upstream();
        mScheduler.recordProgress(1, 1, new Progress(1, LOST_AT, 0));
        mScheduler.recordAttemptEnd(1, 2, AttemptEnd.SUPERSEDED, LOST_AT);
        mScheduler.recordLivenessCheck(mReached, true, LOST_AT);
        mOthers.remove(first);
        mOthers.remove(mReached);
        assertThat(mOthers).hasSize(1);
    }

    private static Work work() {
        return new Work(
                1,
                "request-1",
                "service",
                "team",
                RequestKind.RESUMABLE_STREAM,
                2,
                Samples.stream(1, 2, 2_000, 0).generation(),
                0,
                4 * SECOND,
                60 * SECOND,
                700 * MS,
                2,
                0,
                null);
    }

    /** Lets time pass, in which the engine of the first attempt does not respond to checks. */
    private List<Decision> advance(long from, long until) {
        List<Decision> decisions = new ArrayList<>();
        for (long now = from; now <= until; now += TICK) {
            mScheduler.recordProcessedInput(now);
            decisions.addAll(mScheduler.advance(now));
            for (LivenessAware.LivenessCheck check : mScheduler.takeLivenessChecks()) {
                boolean responds = check.engine().equals(mReached);
                mScheduler.recordLivenessCheck(check.engine(), responds, now + MS);
            }
        }
        return decisions;
    }

    /** The entries of both engines leave the list just before the first one ends. */
    private List<Decision> lose(List<Upstream> listed) {
        mScheduler.replaceUpstreams(listed, LOST_AT);
        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.CRASHED, LOST_AT + MS);
        return advance(LOST_AT + MS, LOST_AT + 300 * MS);
    }

    @Test
    void aStreamWaitsForAnEngineThatIsMissingFromTheListForAMoment() {
        assertThat(lose(mOthers)).isEmpty();

        mScheduler.replaceUpstreams(mEngines, LOST_AT + 400 * MS);
        List<Decision> decisions = advance(LOST_AT + 400 * MS, LOST_AT + 2 * SECOND);

        assertThat(finishes(decisions)).isEmpty();
        assertThat(starts(decisions)).extracting(Decision.Start::upstream).containsOnly(mReached);
    }

    /** Its caller should learn it before the time limit of the stream. */
    @Test
    void aStreamEndsWhenTheEngineDoesNotComeBack() {
        List<Decision> early = new ArrayList<>(lose(mOthers));
        early.addAll(advance(LOST_AT + 300 * MS, LOST_AT + 9 * SECOND));
        List<Decision> late = advance(LOST_AT + 9 * SECOND, LOST_AT + 11 * SECOND);

        assertThat(early).isEmpty();
        assertThat(finishes(late))
                .extracting(Decision.Finish::ending)
                .containsExactly(Decision.Ending.UNKNOWN);
    }

    /** Another process at the address, or a leaving one, shows that it does not come back. */
    @Test
    void aStreamDoesNotWaitForAnEngineThatHasEnded() {
        List<Upstream> listed = new ArrayList<>(mOthers);
        listed.add(
                new Upstream("next", 2, "service", mReached.address(), mReached.zone(), 6, false));

        assertThat(finishes(lose(listed)))
                .extracting(Decision.Finish::ending)
                .containsExactly(Decision.Ending.UNKNOWN);
    }

    @Test
    void aStreamDoesNotWaitForAnEngineThatLeftTheListAfterItsNotice() {
        List<Upstream> listed = new ArrayList<>(mOthers);
        listed.add(Samples.draining(mReached));
        mScheduler.replaceUpstreams(listed, LOST_AT);

        assertThat(finishes(lose(mOthers)))
                .extracting(Decision.Finish::ending)
                .containsExactly(Decision.Ending.UNKNOWN);
    }
}
