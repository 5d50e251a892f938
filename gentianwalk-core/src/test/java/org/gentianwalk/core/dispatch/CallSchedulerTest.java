package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against duplicate execution, wrong refusals and calls to upstreams that are failing. */
class CallSchedulerTest {
    private final Upstream mNear = upstream("near", "a");
    private final Upstream mNextZone = upstream("next", "b");
    private final Upstream mFar = upstream("far", "c");
    private final CallScheduler mScheduler = Samples.callScheduler(Samples.limits());

    @BeforeEach
    void listUpstreams() {
        mScheduler.replaceUpstreams(List.of(mNear, mNextZone, mFar), 0);
    }

    @Test
    void anIdleUpstreamOfTheOwnZoneIsPreferred() {
        assertThat(offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0).upstream())
                .isEqualTo(mNear);
    }

    @Test
    void callsSpreadToOtherZonesBeforeLongQueuesForm() {
        Map<String, Integer> calls = new HashMap<>();
        for (int id = 1; id <= 18; id++) {
            Decision.Start start = offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, 0), 0);
            calls.merge(start.upstream().id(), 1, Integer::sum);
        }

        // With calls of 30 ms, the wait for a slot stays below the 25 ms round trip to the far
        // region.
        assertThat(calls).hasSize(3);
        assertThat(calls.values()).allMatch(count -> (count - 6) / 6.0 * 30 < 25);
    }

    @Test
    void aCallThatMayRunOnceIsNotSentAgainAfterItsUpstreamWasLost() {
        offer(Samples.call(1, RequestKind.SINGLE_CALL, 3, 0), 0);

        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.RESET, MS);
        List<Decision> due = mScheduler.advance(MS);

        assertThat(starts(due)).isEmpty();
        assertThat(finishes(due).getFirst().ending()).isEqualTo(Ending.UNKNOWN);
    }

    @Test
    void aCallThatMayRunOnceIsSentElsewhereWhenItHasNotRun() {
        for (AttemptEnd end :
                List.of(AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE, AttemptEnd.MISDIRECTED)) {
            CallScheduler scheduler = Samples.callScheduler(Samples.limits());
            scheduler.replaceUpstreams(List.of(mNear, mNextZone, mFar), 0);
            scheduler.offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);
            scheduler.advance(0);

            scheduler.recordAttemptEnd(1, 1, end, MS);

            assertThat(starts(scheduler.advance(MS)))
                    .as("after %s", end)
                    .singleElement()
                    .satisfies(start -> assertThat(start.upstream()).isNotEqualTo(mNear));
        }
    }

    @Test
    void anIdempotentCallIsRepeatedElsewhereOnceItsUpstreamFailed() {
        offer(Samples.call(1, RequestKind.IDEMPOTENT_CALL, 2, 0), 0);

        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.ANSWERED_ERROR, MS);
        Decision.Start second = starts(mScheduler.advance(MS)).getFirst();
        mScheduler.recordAttemptEnd(1, 2, AttemptEnd.ANSWERED_ERROR, 2 * MS);
        List<Decision> due = mScheduler.advance(2 * MS);

        assertThat(second.upstream()).isNotEqualTo(mNear);
        assertThat(starts(due)).as("two upstreams are allowed").isEmpty();
        assertThat(finishes(due).getFirst().ending()).isEqualTo(Ending.UPSTREAM_ERROR);
    }

    @Test
    void aCallWithoutAnUpstreamIsRefusedImmediately() {
        mScheduler.replaceUpstreams(List.of(), 0);
        mScheduler.offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);

        Decision.Finish finish = finishes(mScheduler.advance(0)).getFirst();

        assertThat(finish.ending()).isEqualTo(Ending.REFUSED);
        assertThat(finish.retryAfter()).isPositive();
    }

    @Test
    void aDrainingUpstreamReceivesNoCalls() {
        mScheduler.replaceUpstreams(List.of(Samples.draining(mNear), mFar), 0);

        assertThat(offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0).upstream())
                .isEqualTo(mFar);
    }

    @Test
    void aFailedUpstreamIsRetriedAfterItsBackoff() {
        offer(Samples.call(1, RequestKind.IDEMPOTENT_CALL, 2, 0), 0);
        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.RESET, 0);
        mScheduler.advance(0);

        assertThat(offer(Samples.call(2, RequestKind.SINGLE_CALL, 1, MS), MS).upstream())
                .isNotEqualTo(mNear);

        mScheduler.replaceUpstreams(List.of(mNear), 2 * MS);
        long later = 400 * MS;
        assertThat(offer(Samples.call(3, RequestKind.SINGLE_CALL, 1, later), later).upstream())
                .isEqualTo(mNear);
    }

    @Test
    void aCallTimesOutAtItsDeadline() {
        offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);

        List<Decision> due = mScheduler.advance(1200 * MS);

        assertThat(finishes(due).getFirst().ending()).isEqualTo(Ending.TIMED_OUT);
    }

    @Test
    void aLateEndOfAnEarlierAttemptIsIgnored() {
        offer(Samples.call(1, RequestKind.IDEMPOTENT_CALL, 3, 0), 0);
        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.RESET, MS);
        mScheduler.advance(MS);

        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.RESET, 2 * MS);

        assertThat(mScheduler.advance(2 * MS)).isEmpty();
    }

    /** A call that is accepted and then cut off may have been executed without an answer. */
    @Test
    void aCallThatCannotFinishBeforeTheInstanceStopsIsRefused() {
        for (int id = 1; id <= 100; id++) {
            long now = id * 10 * MS;
            offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, now), now);
            mScheduler.recordAttemptEnd(id, 1, AttemptEnd.SUCCEEDED, now + 21 * MS);
        }
        mScheduler.stopAt(10 * SECOND);

        long early = 9_700 * MS;
        assertThat(offer(Samples.call(101, RequestKind.SINGLE_CALL, 1, early), early)).isNotNull();
        long late = 9_900 * MS;
        mScheduler.offer(Samples.call(102, RequestKind.SINGLE_CALL, 1, late), late);
        Decision.Finish refusal = finishes(mScheduler.advance(late)).getFirst();

        assertThat(refusal.work().id()).isEqualTo(102);
        assertThat(refusal.ending()).isEqualTo(Ending.REFUSED);
        assertThat(refusal.retryAfter()).isEqualTo(WorkScheduler.STOPPING_RETRY);
    }

    /** Calls of a slow service need more of the time that is left. */
    @Test
    void theTimeThatACallNeedsFollowsFromTheDurationOfOthers() {
        for (int id = 1; id <= 100; id++) {
            offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, 0), 0);
            mScheduler.recordAttemptEnd(id, 1, AttemptEnd.SUCCEEDED, 900 * MS);
        }
        mScheduler.stopAt(10 * SECOND);

        long now = 9_200 * MS;
        mScheduler.offer(Samples.call(101, RequestKind.SINGLE_CALL, 1, now), now);

        assertThat(finishes(mScheduler.advance(now)).getFirst().ending()).isEqualTo(Ending.REFUSED);
    }

    @Test
    void aCallThatWasRejectedIsNotSentAgainWhenItCannotFinish() {
        mScheduler.stopAt(SECOND);
        offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);

        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.REJECTED, 900 * MS);
        List<Decision> due = mScheduler.advance(900 * MS);

        assertThat(starts(due)).isEmpty();
        assertThat(finishes(due).getFirst().ending()).isEqualTo(Ending.REFUSED);
    }

    /** The end of the process would close the connection without an answer. */
    @Test
    void aCallInProgressIsAnsweredWhenTheInstanceStops() {
        mScheduler.stopAt(SECOND);
        offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);

        assertThat(mScheduler.advance(SECOND - MS)).isEmpty();
        Decision.Finish finish = finishes(mScheduler.advance(SECOND)).getFirst();

        assertThat(finish.ending()).as("it may have been executed").isEqualTo(Ending.UNKNOWN);
    }

    /** The upstreams became slow only now, so that no answer has shown it yet. */
    @Test
    void aCallIsRefusedWhenTheCallsInProgressTakeLongerThanTheTimeThatIsLeft() {
        mScheduler.replaceUpstreams(List.of(mNear, mNextZone), 0);
        answerQuickly(100);
        mScheduler.stopAt(10 * SECOND);
        long slow = 8_000 * MS;
        for (int id = 101; id <= 118; id++) {
            offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, slow + SECOND), slow);
        }

        long late = 9_000 * MS;
        mScheduler.offer(Samples.call(119, RequestKind.SINGLE_CALL, 1, late), late);
        List<Decision> due = mScheduler.advance(late);

        assertThat(starts(due)).isEmpty();
        assertThat(finishes(due).getFirst().ending()).isEqualTo(Ending.REFUSED);
        assertThat(finishes(due).getFirst().retryAfter()).isEqualTo(WorkScheduler.STOPPING_RETRY);
    }

    /** One upstream that hangs must not take the others out of use. */
    @Test
    void aCallGoesToAnUpstreamThatCanFinishItBeforeTheInstanceStops() {
        answerQuickly(100);
        mScheduler.stopAt(10 * SECOND);
        long slow = 9_000 * MS;
        assertThat(offer(Samples.call(101, RequestKind.SINGLE_CALL, 1, slow), slow).upstream())
                .isEqualTo(mNear);

        long late = 9_500 * MS;
        Upstream next = offer(Samples.call(102, RequestKind.SINGLE_CALL, 1, late), late).upstream();

        assertThat(next).isEqualTo(mNextZone);
    }

    /** Its caller has given up, and the upstream would execute it all the same. */
    @Test
    void aCallWhoseDeadlineHasPassedIsNotSent() {
        long late = 1_200 * MS;
        mScheduler.offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), late);
        List<Decision> due = mScheduler.advance(late);

        assertThat(starts(due)).isEmpty();
        assertThat(finishes(due).getFirst().ending()).isEqualTo(Ending.REFUSED);
    }

    @Test
    void aCallIsNotSentAgainAfterItsDeadline() {
        offer(Samples.call(1, RequestKind.IDEMPOTENT_CALL, 3, 0), 0);

        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.LOST, 1_201 * MS);
        List<Decision> due = mScheduler.advance(1_201 * MS);

        assertThat(starts(due)).isEmpty();
        assertThat(finishes(due).getFirst().ending())
                .as("it may have been executed")
                .isEqualTo(Ending.TIMED_OUT);
    }

    /** The instance holds the answer of the upstream, which other answers must not replace. */
    @Test
    void anErrorOfAnUpstreamIsTheAnswerWhenThereIsNoTimeForAnotherAttempt() {
        mScheduler.stopAt(SECOND);
        offer(Samples.call(1, RequestKind.IDEMPOTENT_CALL, 3, 0), 0);

        mScheduler.recordAttemptEnd(1, 1, AttemptEnd.ANSWERED_ERROR, 900 * MS);
        List<Decision> due = mScheduler.advance(900 * MS);

        assertThat(starts(due)).isEmpty();
        assertThat(finishes(due).getFirst().ending()).isEqualTo(Ending.UPSTREAM_ERROR);
    }

    private void answerQuickly(int calls) {
        for (int id = 1; id <= calls; id++) {
            long now = id * 10 * MS;
            offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, now), now);
            mScheduler.recordAttemptEnd(id, 1, AttemptEnd.SUCCEEDED, now + 21 * MS);
        }
    }

    private Decision.Start offer(Work work, long now) {
        mScheduler.offer(work, now);
        return starts(mScheduler.advance(now)).getLast();
    }
}
