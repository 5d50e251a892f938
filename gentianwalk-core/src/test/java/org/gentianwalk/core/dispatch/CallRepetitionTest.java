package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.dispatch.LivenessAware.LivenessCheck;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against repeatable calls that are given up because of the state of one moment, while most
 * of their time limit is left.
 */
class CallRepetitionTest {
    private static final Fingerprint CONTENT = new Fingerprint(7, 1);
    private static final int MAX_ATTEMPTS = 4;

    private final Upstream mNear = upstream("near", "a");
    private final Upstream mNext = upstream("next", "b");
    private CallScheduler mScheduler = Samples.callScheduler(Samples.limits());
    private long mNow;
    private long mLimitMillis = 1_200;

    /** The upstream has two slots, both in use for a moment, and another one restarts. */
    @Test
    void aCallThatWasRejectedOnceAndLostOnceIsRepeated() {
        offer(mNear, mNext);
        endAndRepeat(1, AttemptEnd.REJECTED);
        end(2, AttemptEnd.RESET);

        assertThat(nextStart().upstream()).isEqualTo(mNear);
    }

    /** The only upstream resets its connections, and responds to others all the while. */
    @ParameterizedTest
    @EnumSource(names = {"RESET", "LOST", "GARBLED"})
    void aCallIsRepeatedAtItsOnlyUpstream(AttemptEnd end) {
        offer(mNear);
        end(1, end);

        assertThat(nextStart().upstream()).isEqualTo(mNear);
        assertThat(mNow).as("after the backoff").isBetween(150 * MS, 250 * MS);
    }

    /** The other upstream is sound again, but avoided for a while after its earlier failures. */
    @Test
    void aCallThatFailsAgainAtAnUpstreamWaitsForAnotherOne() {
        mLimitMillis = 4_000;
        failOften(mNext);
        long avoidedUntil = mNow + 1_200 * MS;
        offer(mNear, mNext);
        end(1, AttemptEnd.GARBLED);
        assertThat(nextStart().upstream()).isEqualTo(mNear);
        end(2, AttemptEnd.GARBLED);

        assertThat(nextStart().upstream()).isEqualTo(mNext);
        assertThat(mNow).isGreaterThanOrEqualTo(avoidedUntil);
    }

    /** Waiting for the other upstream would use up the time of the call. */
    @Test
    void aCallThatFailsAgainAtAnUpstreamDoesNotWaitBeyondItsDeadline() {
        mLimitMillis = 1_000;
        failOften(mNext);
        offer(mNear, mNext);
        end(1, AttemptEnd.GARBLED);
        assertThat(nextStart().upstream()).isEqualTo(mNear);
        end(2, AttemptEnd.GARBLED);

        assertThat(nextStart().upstream()).isEqualTo(mNear);
    }

    /** The list of upstreams is empty, or all of them drain, while the call needs another one. */
    @Test
    void aCallIsRepeatedOnceAnUpstreamIsListedAgain() {
        for (List<Upstream> meanwhile : List.of(List.<Upstream>of(), drained())) {
            mScheduler = Samples.callScheduler(Samples.limits());
            mNow = 0;
            offer(mNear, mNext);
            mScheduler.replaceUpstreams(meanwhile, mNow);
            end(1, AttemptEnd.RESET);
            advance(300 * MS);
            mScheduler.replaceUpstreams(List.of(mNear, mNext), mNow);

            assertThat(nextStart()).isNotNull();
        }
    }

    /** The only other upstream asks for a pause of half a second. */
    @Test
    void aCallIsRepeatedAfterThePauseOfItsLastUpstream() {
        UpstreamLimits limits = Samples.limits();
        mScheduler = Samples.callScheduler(limits);
        offer(mNear, mNext);
        limits.recordPause(mNext, Duration.ofMillis(500), mNow);
        end(1, AttemptEnd.RESET);
        mScheduler.replaceUpstreams(List.of(mNext), mNow);

        assertThat(nextStart().upstream()).isEqualTo(mNext);
        assertThat(mNow).isGreaterThanOrEqualTo(500 * MS);
    }

    /** Each of two upstreams resets a connection once, and goes on with the calls of others. */
    @Test
    void aCallIsRepeatedOnceItsLossesAreRefuted() {
        offer(mNear, mNext);
        endAndRepeat(1, AttemptEnd.RESET);
        end(2, AttemptEnd.RESET);
        advance(300 * MS);
        mScheduler.offer(Samples.call(9, RequestKind.SINGLE_CALL, 1, mNow), mNow);
        mScheduler.advance(mNow);
        mScheduler.recordAttemptEnd(9, 1, AttemptEnd.SUCCEEDED, mNow);

        assertThat(nextStart().work().id()).isEqualTo(1);
    }

    /** The service is quiet: no call of others shows that its two upstreams live. */
    @Test
    void aCallIsRepeatedOnceAnUpstreamRespondsToACheck() {
        offer(mNear, mNext);
        endAndRepeat(1, AttemptEnd.RESET);
        end(2, AttemptEnd.RESET);
        assertThat(mScheduler.advance(mNow)).isEmpty();
        List<Upstream> checked =
                check(upstream -> mScheduler.recordLivenessCheck(upstream, true, mNow));

        assertThat(checked).containsExactlyInAnyOrder(mNear, mNext);
        assertThat(nextStart().work().id()).isEqualTo(1);
    }

    /** Sound upstreams reset their connections, and then write nothing for a second or so. */
    @Test
    void aCallWaitsForUpstreamsThatAreSilentForASecond() {
        mLimitMillis = 5_000;
        offer(mNear, mNext);
        endAndRepeat(1, AttemptEnd.RESET);
        end(2, AttemptEnd.RESET);
        long silentUntil = mNow + 1_300 * MS;
        List<Decision> decisions = List.of();
        while (decisions.isEmpty() && mNow < 4_000 * MS) {
            decisions = advance(10 * MS);
            check(upstream -> mScheduler.recordLivenessCheck(upstream, mNow >= silentUntil, mNow));
        }

        assertThat(finishes(decisions)).isEmpty();
        assertThat(starts(decisions)).hasSize(1);
    }

    /** Two processes ended under the call; a third one is not put at risk. */
    @Test
    void aCallWithTwoConfirmedLossesEndsAtOnce() {
        offer(mNear, mNext, upstream("third", "b"));
        endAndRepeat(1, AttemptEnd.RESET);
        end(2, AttemptEnd.RESET);
        assertThat(mScheduler.advance(mNow)).isEmpty();
        check(upstream -> mScheduler.recordProcessEnd(upstream, mNow));
        List<Decision> decisions = mScheduler.advance(mNow);

        assertThat(starts(decisions)).isEmpty();
        assertThat(finishes(decisions).getFirst().ending()).isEqualTo(Ending.UNKNOWN);
    }

    /** Neither process responds to checks; a third one is not put at risk. */
    @Test
    void aCallWithTwoUnsettledLossesIsNotRepeated() {
        mLimitMillis = 5_000;
        offer(mNear, mNext, upstream("third", "b"));
        endAndRepeat(1, AttemptEnd.RESET);
        end(2, AttemptEnd.CRASHED);
        List<Decision> decisions = List.of();
        while (decisions.isEmpty() && mNow < 2_100 * MS) {
            decisions = advance(10 * MS);
            check(upstream -> mScheduler.recordLivenessCheck(upstream, false, mNow));
        }

        assertThat(starts(decisions)).isEmpty();
        assertThat(finishes(decisions).getFirst().ending()).isEqualTo(Ending.UNKNOWN);
    }

    /** Each check delays an upstream's work, and each call that waits has its upstreams checked. */
    @Test
    void theChecksOfAnUpstreamAreBounded() {
        offer(mNear, mNext);
        endAndRepeat(1, AttemptEnd.RESET);
        end(2, AttemptEnd.RESET);
        int checks = 0;
        for (int i = 0; i < 50; i++) {
            mScheduler.advance(mNow += 20 * MS);
            checks +=
                    check(upstream -> mScheduler.recordLivenessCheck(upstream, false, mNow)).size();
        }

        assertThat(checks).as("checks of two upstreams within a second").isLessThanOrEqualTo(8);
    }

    /** A refusal states that the call has not run. */
    @Test
    void aCallThatMayHaveRunIsNotRefusedAtItsDeadline() {
        offer(mNear);
        mScheduler.replaceUpstreams(List.of(), mNow);
        end(1, AttemptEnd.LOST);

        assertThat(finishes(advance(1_190 * MS))).isEmpty();
        assertThat(finishes(advance(20 * MS)).getFirst().ending()).isEqualTo(Ending.TIMED_OUT);
    }

    /** A stopping instance answers before it ends. */
    @Test
    void aCallThatWaitsIsAnsweredWhenTheInstanceStops() {
        offer(mNear);
        mScheduler.replaceUpstreams(List.of(), mNow);
        end(1, AttemptEnd.LOST);
        mScheduler.stopAt(mNow + 400 * MS);

        assertThat(finishes(advance(400 * MS)).getFirst().ending()).isEqualTo(Ending.UNKNOWN);
    }

    /** Upstreams that reject or lose all calls are not overrun by the repetitions. */
    @Test
    void repetitionsAreBounded() {
        offer(mNear, mNext);
        int attempts = 1;
        for (boolean open = true; open; ) {
            mScheduler.recordAttemptEnd(
                    1, attempts, attempts == 1 ? AttemptEnd.LOST : AttemptEnd.REJECTED, mNow);
            List<Decision> decisions = mScheduler.advance(mNow);
            while (decisions.isEmpty()) {
                decisions = advance(10 * MS);
            }
            open = finishes(decisions).isEmpty();
            attempts += open ? 1 : 0;
        }

        assertThat(attempts).isEqualTo(5);
    }

    /** The repetitions of all calls together keep to the budget of the service. */
    @Test
    void aCallEndsWhenTheRetryBudgetIsExhausted() {
        FleetRetryBudget none =
                new FleetRetryBudget(new RetryBounds(0.1, 0, Duration.ofSeconds(10)));
        mScheduler =
                new CallScheduler(
                        "service", Samples.LOCATIONS, none, Samples.limits(), Samples.random());
        offer(mNear, mNext);
        end(1, AttemptEnd.RESET);
        Decision.Finish finish = finishes(mScheduler.advance(mNow)).getFirst();

        assertThat(finish.ending()).isEqualTo(Ending.UNKNOWN);
        assertThat(finish.reason()).isEqualTo("upstream lost, the retry budget is exhausted");
    }

    private List<Upstream> drained() {
        return List.of(Samples.draining(mNear), Samples.draining(mNext));
    }

    /** Lets calls fail at an upstream until it is avoided for the longest time. */
    private void failOften(Upstream upstream) {
        mScheduler.replaceUpstreams(List.of(upstream), mNow);
        for (int failures = 0; failures < 4; failures++) {
            advance(failures == 0 ? 0 : 1_200 * MS);
            mScheduler.offer(Samples.call(9, RequestKind.SINGLE_CALL, 1, mNow), mNow);
            mScheduler.advance(mNow);
            mScheduler.recordAttemptEnd(9, 1, AttemptEnd.LOST, mNow);
            mScheduler.advance(mNow);
        }
    }

    private void offer(Upstream... upstreams) {
        mScheduler.replaceUpstreams(List.of(upstreams), mNow);
        Work work =
                Samples.call(
                        1,
                        RequestKind.IDEMPOTENT_CALL,
                        MAX_ATTEMPTS,
                        CONTENT,
                        mNow,
                        mLimitMillis * MS);
        mScheduler.offer(work, mNow);
        assertThat(starts(mScheduler.advance(mNow))).hasSize(1);
    }

    private void end(int attempt, AttemptEnd end) {
        mNow += 5 * MS;
        mScheduler.recordAttemptEnd(1, attempt, end, mNow);
    }

    /** Passes the upstreams to be checked to an action, and returns them. */
    private List<Upstream> check(Consumer<Upstream> action) {
        List<Upstream> checked =
                mScheduler.takeLivenessChecks().stream().map(LivenessCheck::engine).toList();
        checked.forEach(action);
        return checked;
    }

    private void endAndRepeat(int attempt, AttemptEnd end) {
        end(attempt, end);
        assertThat(starts(mScheduler.advance(mNow))).hasSize(1);
    }

    /** Lets time pass; returns the decisions until the first one, or none. */
    private List<Decision> advance(long nanos) {
        long until = mNow + nanos;
        while (mNow < until) {
            mNow += 10 * MS;
            List<Decision> decisions = mScheduler.advance(mNow);
            if (!decisions.isEmpty()) {
                return decisions;
            }
        }
        return List.of();
    }

    /** Returns the next start, which must come before the limit of the call. */
    private Decision.Start nextStart() {
        List<Decision> decisions = mScheduler.advance(mNow);
        List<Decision> later = decisions.isEmpty() ? advance(1_100 * MS) : decisions;
        assertThat(finishes(later)).isEmpty();
        return starts(later).getFirst();
    }
}
