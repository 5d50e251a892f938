package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.gateway.sockets.FailingScheduler.Part;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that get no answer because another part of the instance failed. */
class IsolatedFailureTest {
    private static final Supplier<Throwable> EXCEPTION =
            () -> new IllegalStateException("by the test");
    private static final Supplier<Throwable> ERROR = () -> new NoClassDefFoundError("by the test");

    static Stream<Arguments> failures() {
        List<Arguments> cases = new ArrayList<>();
        for (Part part : List.of(Part.ADVANCE, Part.UPSTREAMS, Part.EVIDENCE, Part.LOAD)) {
            cases.add(Arguments.of(part, "exception", EXCEPTION));
            cases.add(Arguments.of(part, "error", ERROR));
        }
        return cases.stream();
    }

    /** An Error in any part ended all ticks; an exception ended those behind it in each tick. */
    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("failures")
    void aRequestWithoutADecisionIsEndedAfterItsDeadline(
            Part part, String name, Supplier<Throwable> failure) throws Exception {
        FailingScheduler broken = new FailingScheduler(failure);
        FailingScheduler sound = new FailingScheduler(failure);
        ControlPlaneFixture fixture = new ControlPlaneFixture(broken, sound);
        broken.mFailing.add(part);
        fixture.arrive(1, ControlPlaneFixture.SOUND);
        fixture.listUpstream("another");
        fixture.mControl.advance(Duration.ofSeconds(3));

        assertThat(fixture.mAnswers).containsExactly("1: 502");
    }

    /**
     * The task that ends overdue requests ran first after a pause, and ended as unknown what the
     * scheduler would have refused.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 10, 20, 30, 40, 50, 60, 70, 80, 90})
    void aSchedulerDecidesOnLateRequestsAfterAPause(int offsetMillis) throws Exception {
        FailingScheduler sound = new FailingScheduler(EXCEPTION);
        ControlPlaneFixture fixture =
                new ControlPlaneFixture(new FailingScheduler(EXCEPTION), sound);
        Work work = fixture.arrive(1, ControlPlaneFixture.SOUND);
        fixture.mControl.advance(Duration.ofMillis(1_500 + offsetMillis));
        sound.mDecisions.add(refusal(work));
        fixture.mControl.pause(Duration.ofMillis(1_500));
        fixture.mControl.advance(Duration.ofMillis(200));

        assertThat(fixture.mAnswers).containsExactly("1: 503");
    }

    /** Ready answers would be dropped, and upstreams that have responded would count as silent. */
    @Test
    void nothingIsDecidedBeforeTheTrafficLoopHasReadAfterAPause() throws Exception {
        FailingScheduler sound = new FailingScheduler(EXCEPTION);
        ControlPlaneFixture fixture =
                new ControlPlaneFixture(new FailingScheduler(EXCEPTION), sound);
        Work work = fixture.arrive(1, ControlPlaneFixture.SOUND);
        fixture.mControl.advance(Duration.ofMillis(1_500));
        sound.mDecisions.add(refusal(work));
        fixture.mControl.pause(Duration.ofMillis(1_500));
        fixture.mControl.advance(Duration.ofMillis(10));
        assertThat(fixture.mAnswers).as("answers 10 ms after the pause").isEmpty();
        fixture.mControl.advance(Duration.ofMillis(40));

        assertThat(fixture.mAnswers).as("answers 50 ms after it").containsExactly("1: 503");
    }

    /** Timers of the first pause ran at once after the second one, before anything was read. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5, 10, 15, 19, 30, 50, 70, 90})
    void nothingIsDecidedBeforeTheTrafficLoopHasReadAfterASecondPause(int millisBetween)
            throws Exception {
        FailingScheduler sound = new FailingScheduler(EXCEPTION);
        ControlPlaneFixture fixture =
                new ControlPlaneFixture(new FailingScheduler(EXCEPTION), sound);
        Work work = fixture.arrive(1, ControlPlaneFixture.SOUND);
        fixture.mControl.advance(Duration.ofMillis(300));
        fixture.mControl.pause(Duration.ofMillis(600));
        fixture.mControl.advance(Duration.ofMillis(millisBetween));
        sound.mDecisions.add(refusal(work));
        fixture.mControl.pause(Duration.ofMillis(600));
        fixture.mControl.advance(Duration.ofMillis(10));
        assertThat(fixture.mAnswers).as("answers 10 ms after the second pause").isEmpty();
        fixture.mControl.advance(Duration.ofMillis(40));

        assertThat(fixture.mAnswers).as("answers 50 ms after it").containsExactly("1: 503");
    }

    /** On a machine that stalls all the time, each stall would put off all decisions. */
    @Test
    void decisionsAreMadeAlthoughTheInstanceIsPausedAgainAndAgain() throws Exception {
        FailingScheduler sound = new FailingScheduler(EXCEPTION);
        ControlPlaneFixture fixture =
                new ControlPlaneFixture(new FailingScheduler(EXCEPTION), sound);
        Work work = fixture.arrive(1, ControlPlaneFixture.SOUND);
        sound.mDecisions.add(refusal(work));
        for (int pauses = 0; pauses < 5; pauses++) {
            fixture.mControl.pause(Duration.ofMillis(300));
            fixture.mControl.advance(Duration.ofMillis(10));
        }

        assertThat(fixture.mAnswers).as("answers after five pauses").containsExactly("1: 503");
    }

    /** A scheduler that failed once was never asked again when the failure was an Error. */
    @Test
    void schedulersAreAdvancedAfterTheFailureOfAnother() throws Exception {
        FailingScheduler broken = new FailingScheduler(ERROR);
        FailingScheduler sound = new FailingScheduler(ERROR);
        ControlPlaneFixture fixture = new ControlPlaneFixture(broken, sound);
        broken.mFailing.add(Part.ADVANCE);
        Work work = fixture.arrive(1, ControlPlaneFixture.SOUND);
        fixture.mControl.advance(Duration.ofMillis(200));
        sound.mDecisions.add(refusal(work));
        fixture.mControl.advance(Duration.ofMillis(200));

        assertThat(fixture.mAnswers).containsExactly("1: 503");
    }

    /** The decisions behind a failing one were lost; the scheduler does not repeat them. */
    @Test
    void decisionsBehindAFailedOneAreCarriedOut() throws Exception {
        FailingScheduler sound = new FailingScheduler(EXCEPTION);
        ControlPlaneFixture fixture =
                new ControlPlaneFixture(new FailingScheduler(EXCEPTION), sound);
        Work first = fixture.arrive(1, ControlPlaneFixture.SOUND);
        Work second = fixture.arrive(2, ControlPlaneFixture.SOUND);
        sound.mDecisions.addAll(List.of(refusal(first), refusal(second)));
        sound.mBeforeDecisions = () -> fixture.mClockFailures = 1;
        fixture.mControl.advance(Duration.ofMillis(200));

        assertThat(fixture.mAnswers).containsExactlyInAnyOrder("1: 503", "2: 503");
    }

    /** Buffered output is recorded before each event, and failed that event's request. */
    @Test
    void aRequestIsPlacedAlthoughTheOutputOfAnotherCannotBeRecorded() throws Exception {
        FailingScheduler broken = new FailingScheduler(EXCEPTION);
        FailingScheduler sound = new FailingScheduler(EXCEPTION);
        ControlPlaneFixture fixture = new ControlPlaneFixture(broken, sound);
        fixture.arrive(1, ControlPlaneFixture.BROKEN);
        broken.mFailing.add(Part.PROGRESS);
        fixture.mPlane.progress(1, 1, new Progress(1, fixture.mControl.nanos(), 0), false);
        Work work = fixture.arrive(2, ControlPlaneFixture.SOUND);
        sound.mDecisions.add(refusal(work));
        fixture.mControl.advance(Duration.ofMillis(200));

        assertThat(fixture.mAnswers).containsExactlyInAnyOrder("1: 502", "2: 503");
    }

    /** The Error was lost in the executor, and the request waited for its deadline. */
    @Test
    void aRequestIsAnsweredWhenADecisionOnItEndsWithAnError() throws Exception {
        FailingScheduler broken = new FailingScheduler(ERROR);
        ControlPlaneFixture fixture = new ControlPlaneFixture(broken, new FailingScheduler(ERROR));
        fixture.arrive(1, ControlPlaneFixture.BROKEN);
        broken.mFailing.add(Part.ADVANCE);
        fixture.mPlane.attemptEnded(1, 1, AttemptEnd.LOST, "closed", null);
        fixture.mControl.runAll();

        assertThat(fixture.mAnswers).containsExactly("1: 502");
    }

    /** The scheduler waited for ever, since a confirmation seemed to be on its way. */
    @Test
    void aConfirmationOfInputIsTriedAgainAfterAFailure() throws Exception {
        FailingScheduler sound = new FailingScheduler(EXCEPTION);
        ControlPlaneFixture fixture =
                new ControlPlaneFixture(new FailingScheduler(EXCEPTION), sound);
        sound.mBeforeInput =
                () -> {
                    fixture.mClockFailures = 1;
                    sound.mBeforeInput = () -> {};
                };
        sound.mAwaitsInput = true;
        fixture.mControl.advance(Duration.ofSeconds(1));

        assertThat(sound.mProcessed).hasSize(1);
    }

    /** A stop that is not announced to a scheduler would place calls that are cut at its end. */
    @Test
    void allSchedulersLearnOfAStopAlthoughOneFails() throws Exception {
        FailingScheduler broken = new FailingScheduler(ERROR, Part.STOP);
        FailingScheduler sound = new FailingScheduler(ERROR);
        // Either order of the two in a map.
        for (ControlPlaneFixture fixture :
                List.of(
                        new ControlPlaneFixture(broken, sound),
                        new ControlPlaneFixture(sound, broken))) {
            fixture.mPlane.announceStop(5);
            fixture.mControl.runAll();
        }

        assertThat(sound.mStops).containsExactly(5L, 5L);
    }

    private static Decision refusal(Work work) {
        return new Decision.Finish(
                work, Decision.Ending.REFUSED, Duration.ofSeconds(1), "by the test");
    }
}
