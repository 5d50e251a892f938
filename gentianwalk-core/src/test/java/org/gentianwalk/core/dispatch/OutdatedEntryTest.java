package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against resets that count as the end of a process since the entry of the upstream is out
 * of date: the attempt ran at the process that was started in its place, and that one goes on. An
 * end that the request may have caused must count all the same.
 */
class OutdatedEntryTest {
    private static final Fingerprint CONTENT = new Fingerprint(7, 1);
    private static final long LIMIT = 10 * SECOND;

    /** Times by the clock of the upstreams, milliseconds; the listed processes started at 1. */
    private static final long RESTARTED = 2_001;

    private final List<Upstream> mListed = List.of(upstream("near", "a"), upstream("next", "b"));
    private final CallScheduler mCalls = Samples.callScheduler(Samples.limits());
    private final StreamScheduler mStreams = Samples.streamScheduler(Samples.limits());
    private long mNow;

    private void offerCall() {
        mCalls.offer(Samples.call(1, RequestKind.IDEMPOTENT_CALL, 4, CONTENT, mNow, LIMIT), mNow);
        assertThat(starts(mCalls.advance(mNow))).hasSize(1);
    }

    /** Resets an attempt, and lets time pass until the next decision. */
    private List<Decision> reset(int attempt, long answering) {
        mNow += 5 * MS;
        mCalls.recordAttemptEnd(1, attempt, AttemptEnd.RESET, mNow);
        List<Decision> decisions = new ArrayList<>(mCalls.advance(mNow));
        for (long end = mNow + SECOND; decisions.isEmpty() && mNow < end; mNow += 10 * MS) {
            answerChecks(mCalls, answering);
            decisions.addAll(mCalls.advance(mNow));
        }
        return decisions;
    }

    private void answerChecks(LivenessAware scheduler, long answering) {
        scheduler
                .takeLivenessChecks()
                .forEach(check -> scheduler.recordLaterStart(check.engine(), answering, mNow));
    }

    /** Both upstreams were started again 2 s ago, and their entries have not been renewed. */
    @Test
    void resetsByProcessesThatStartedBeforeTheCallDoNotEndIt() {
        mCalls.replaceUpstreams(mListed, 0);
        mNow = 4 * SECOND;
        offerCall();

        assertThat(starts(reset(1, RESTARTED))).hasSize(1);
        List<Decision> decisions = reset(2, RESTARTED);

        assertThat(finishes(decisions)).isEmpty();
        assertThat(starts(decisions)).as("a third attempt").hasSize(1);
    }

    /**
     * The processes that answer were started after the attempts, which may have ended the others.
     */
    @Test
    void endsThatTheCallMayHaveCausedEndIt() {
        mCalls.replaceUpstreams(mListed, 0);
        mNow = 4 * SECOND;
        offerCall();

        assertThat(starts(reset(1, 4_050))).hasSize(1);

        assertThat(finishes(reset(2, 4_050)))
                .extracting(Decision.Finish::ending)
                .containsExactly(Decision.Ending.UNKNOWN);
    }

    /** The process that a check has found before has been replaced as well. */
    @Test
    void theEndOfALaterProcessCounts() {
        mStreams.replaceUpstreams(mListed.subList(0, 1), 0);
        assertThat(settle(4 * SECOND, RESTARTED)).isEqualTo(SettledLoss.Sign.ALIVE);
        assertThat(settle(6 * SECOND, 6_050)).isEqualTo(SettledLoss.Sign.ENDED);
    }

    /**
     * This instance learned of the entry when the next process ran already, so that it can't know
     * how long before the first loss that one was started.
     */
    @ParameterizedTest
    @ValueSource(longs = {2, 30})
    void aProcessThatACheckHasFoundBeforeTheAttemptIsKnown(long seconds) {
        mNow = seconds * SECOND;
        mStreams.replaceUpstreams(mListed.subList(0, 1), mNow);
        long incarnation = 1 + mNow / MS;

        assertThat(settle(mNow + 100 * MS, incarnation)).isEqualTo(SettledLoss.Sign.ENDED);
        assertThat(settle(mNow + SECOND, incarnation)).isEqualTo(SettledLoss.Sign.ALIVE);
    }

    /** Resets a stream before its first output, and returns what settles the loss. */
    private SettledLoss.Sign settle(long at, long answering) {
        mNow = at;
        long id = at;
        mStreams.offer(Samples.stream(id, 2, 2_000, mNow), mNow);
        assertThat(starts(mStreams.advance(mNow))).hasSize(1);
        mNow += 5 * MS;
        mStreams.recordAttemptEnd(id, 1, AttemptEnd.RESET, mNow);
        mStreams.remove(id, mNow);
        List<SettledLoss> settled = new ArrayList<>();
        for (long end = mNow + SECOND; settled.isEmpty() && mNow < end; mNow += 10 * MS) {
            mStreams.advance(mNow);
            answerChecks(mStreams, answering);
            settled.addAll(mStreams.takeSettledLosses());
        }
        assertThat(settled).hasSize(1);
        return settled.getFirst().sign();
    }
}
