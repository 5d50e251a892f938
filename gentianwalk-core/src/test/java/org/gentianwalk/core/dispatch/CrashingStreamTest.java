package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.dispatch.LivenessAware.LivenessCheck;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream that crashes the engines of a zone so fast that the zone seems to fail,
 * and against stopping a sound stream because of a zone that does fail.
 */
class CrashingStreamTest {
    private static final int ENGINES = 8;

    private final StreamScheduler mScheduler = Samples.streamScheduler(Samples.limits());
    private final List<Upstream> mCrashed = new ArrayList<>();
    private long mNow;

    CrashingStreamTest() {
        mScheduler.replaceUpstreams(engines(0), mNow);
    }

    private static List<Upstream> engines(int first) {
        List<Upstream> engines = new ArrayList<>();
        for (int i = first; i < first + ENGINES; i++) {
            engines.add(Samples.upstream("engine-" + i, "a"));
        }
        return engines;
    }

    /** Each attempt ends before the loss before it is confirmed, as on a fast network. */
    @Test
    void aStreamThatCrashesTheEnginesOfOneZoneIsStopped() {
        mScheduler.offer(Samples.stream(1, 0, 800, mNow), mNow);
        Decision.Finish first = play(3 * SECOND);
        int crashes = mCrashed.size();

        assertThat(first.ending()).isEqualTo(Ending.UNKNOWN);

        mScheduler.replaceUpstreams(engines(ENGINES), mNow);
        mScheduler.offer(again(), mNow);
        assertThat(play(SECOND).ending()).as("it comes again").isEqualTo(Ending.REFUSED);
        assertThat(mCrashed).hasSize(crashes);
    }

    /** The stream was at three of the engines that a failing zone takes with it. */
    @Test
    void aStreamInAFailingZoneIsNotConvicted() {
        mScheduler.offer(Samples.stream(1, 0, 800, mNow), mNow);
        mScheduler.offer(Samples.stream(2, 0, 800, mNow), mNow);
        play(3 * SECOND);
        mNow += 20 * SECOND;
        mScheduler.replaceUpstreams(List.of(Samples.upstream("new", "b")), mNow);

        mScheduler.offer(again(), mNow);
        assertThat(Samples.starts(mScheduler.advance(mNow)))
                .extracting(start -> start.work().requestId())
                .contains("request-9");
    }

    private Work again() {
        Work work = Samples.stream(1, 0, 800, mNow);
        return new Work(
                9,
                "request-9",
                work.service(),
                work.team(),
                work.kind(),
                work.priority(),
                work.generation(),
                work.arrivedNanos(),
                work.targetNanos(),
                work.deadlineNanos(),
                work.maxPauseNanos(),
                work.maxAttempts(),
                0,
                null);
    }

    /** Crashes the engine of each attempt at once; checks find that it has ended. */
    private Decision.Finish play(long nanos) {
        Decision.Finish finish = null;
        for (long until = mNow + nanos; mNow < until; mNow += 10 * MS) {
            List<Decision> decisions = new ArrayList<>(mScheduler.advance(mNow));
            while (!decisions.isEmpty()) {
                for (Decision.Finish finished : Samples.finishes(decisions)) {
                    finish = finished;
                }
                for (Decision.Start start : Samples.starts(decisions)) {
                    mCrashed.add(start.upstream());
                    long work = start.work().id();
                    mScheduler.recordAttemptEnd(work, start.attempt(), AttemptEnd.RESET, mNow);
                }
                for (LivenessCheck check : mScheduler.takeLivenessChecks()) {
                    mScheduler.recordProcessEnd(check.engine(), mNow);
                }
                decisions = new ArrayList<>(mScheduler.advance(mNow));
            }
        }
        return finish;
    }
}
