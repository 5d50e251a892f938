package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that are lost at an upstream which answers its liveness checks and some
 * calls, and never answers others. On a loaded fleet, 87 of 1,309 calls hung until their limit.
 */
class SilentCallTest {
    private static final int ATTEMPTS = 4;
    private static final long LIMIT = 1_200 * MS;

    private final List<Upstream> mUpstreams =
            IntStream.range(0, 6).mapToObj(i -> upstream("u" + i, "a")).toList();
    private final CallScheduler mScheduler = Samples.callScheduler(Samples.limits());
    private long mNow;
    private long mId;

    SilentCallTest() {
        mScheduler.replaceUpstreams(mUpstreams, 0);
        for (int i = 0; i < 32; i++) {
            end(offer(RequestKind.SINGLE_CALL), mNow + 30 * MS, AttemptEnd.SUCCEEDED);
        }
    }

    @Test
    void aRepeatableCallGetsASecondAttemptBesideTheFirst() {
        Decision.Start first = offer(RequestKind.IDEMPOTENT_CALL);
        long offered = mNow;
        Decision.Start second = nextStart();

        assertThat(mNow - offered).isBetween(100 * MS, 150 * MS);
        assertThat(second.beside()).containsExactly(1);
        assertThat(second.upstream()).isNotEqualTo(first.upstream());
        end(second, mNow + 30 * MS, AttemptEnd.SUCCEEDED);
        mNow += LIMIT;
        assertThat(mScheduler.advance(mNow)).as("the first answer ends the call").isEmpty();
    }

    @Test
    void anErrorOfTheSecondAttemptIsPassedOnWithoutWaitingForTheFirst() {
        offer(RequestKind.IDEMPOTENT_CALL);
        mScheduler.recordAttemptEnd(mId, nextStart().attempt(), AttemptEnd.ANSWERED_ERROR, mNow);

        assertThat(finishes(mScheduler.advance(mNow)).getFirst().ending())
                .isEqualTo(Ending.UPSTREAM_ERROR);
    }

    @Test
    void aCallIsNotSentTwiceUnlessItIsRepeatableAndHasTimeAndAttemptsLeft() {
        for (Work work :
                List.of(
                        Samples.call(901, RequestKind.SINGLE_CALL, ATTEMPTS, mNow),
                        Samples.call(902, RequestKind.IDEMPOTENT_CALL, 1, mNow),
                        Samples.call(903, RequestKind.IDEMPOTENT_CALL, 4, null, mNow, 120 * MS))) {
            mScheduler.offer(work, mNow);
            mScheduler.advance(mNow);
        }

        for (long end = mNow + LIMIT; mNow <= end; mNow += 10 * MS) {
            assertThat(starts(mScheduler.advance(mNow))).isEmpty();
        }
    }

    @Test
    void callsThatAreOverdueCountAgainstTheirUpstreamForAllKindsAtOnce() {
        Upstream silent = offer(RequestKind.SINGLE_CALL).upstream();
        mNow += 110 * MS;

        for (int i = 0; i < 24; i++) {
            RequestKind kind = RequestKind.values()[i % 2];
            assertThat(offer(kind).upstream()).as("call %s", i).isNotEqualTo(silent);
        }
        mNow += 25 * Samples.SECOND;
        mScheduler.advance(mNow);
        List<Upstream> later =
                IntStream.range(0, 60)
                        .mapToObj(i -> offer(RequestKind.SINGLE_CALL).upstream())
                        .toList();
        assertThat(later).as("it is not excluded for good").contains(silent);
    }

    @Test
    void atMostAThirdOfTheUpstreamsAreAvoided() {
        for (int i = 0; i < 12; i++) {
            offer(RequestKind.SINGLE_CALL);
        }
        mNow += 110 * MS;

        assertThat(
                        IntStream.range(0, 12)
                                .mapToObj(i -> offer(RequestKind.SINGLE_CALL).upstream())
                                .distinct())
                .hasSizeGreaterThanOrEqualTo(4);
    }

    /** Service times are exponential; a second attempt for ordinary tails would add load. */
    @Test
    void ordinaryTailsHardlyCauseSecondAttempts() {
        Random random = new Random(7);
        int beside = 0;
        for (int i = 0; i < 1_000; i++) {
            Decision.Start first = offer(RequestKind.IDEMPOTENT_CALL);
            long end = mNow + Math.round(-Math.log(1 - random.nextDouble()) * 30 * MS);
            for (; mNow < end; mNow += 5 * MS) {
                beside += starts(mScheduler.advance(mNow)).size();
            }
            end(first, mNow, AttemptEnd.SUCCEEDED);
        }

        assertThat(beside).isLessThan(30);
    }

    private Decision.Start offer(RequestKind kind) {
        mId++;
        mScheduler.offer(Samples.call(mId, kind, ATTEMPTS, mNow), mNow);
        return starts(mScheduler.advance(mNow)).getLast();
    }

    private Decision.Start nextStart() {
        for (long last = mNow + LIMIT; mNow < last; ) {
            mNow += 5 * MS;
            List<Decision.Start> starts = starts(mScheduler.advance(mNow));
            if (!starts.isEmpty()) {
                return starts.getFirst();
            }
        }
        throw new AssertionError("no second attempt within the time limit");
    }

    private void end(Decision.Start start, long at, AttemptEnd end) {
        mNow = at;
        mScheduler.recordAttemptEnd(start.work().id(), start.attempt(), end, mNow);
        mScheduler.advance(mNow);
    }
}
