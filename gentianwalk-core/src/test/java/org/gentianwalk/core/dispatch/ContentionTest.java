package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against missed targets while callers compete for too little capacity. */
class ContentionTest {
    private static final Set<Duration> TARGETS = Set.of(StreamFleet.TIGHT, StreamFleet.LOOSE);
    private static final Duration LIMIT = Duration.ofSeconds(25);
    private static final int PROMPT = 8_200;

    /** Streams that can wait for 10 s must not delay those that are due after 4 s. */
    @Test
    void aBurstOfLooseStreamsBy2Point2DoesNotDelayTightOnes() {
        StreamFleet byArrival = burst(Set.of(StreamFleet.LOOSE));
        StreamFleet byTarget = burst(TARGETS);

        assertThat(byArrival.missed("", StreamFleet.TIGHT)).as("the burst matters").isPositive();
        assertThat(byTarget.missed("", StreamFleet.TIGHT)).isZero();
    }

    /** Callers of requests that can't be served would otherwise learn it at their deadline. */
    @Test
    void aRequestThatCantStartBeforeItsDeadlineIsRejectedAtOnce() {
        StreamFleet byArrival = overload(Set.of(StreamFleet.LOOSE));
        StreamFleet byTarget = overload(TARGETS);

        assertThat(expired(byArrival)).as("the overload matters").isPositive();
        assertThat(expired(byTarget)).as("requests that waited until their deadline").isZero();
        assertThat(byTarget.mFirstOutput)
                .hasSizeGreaterThanOrEqualTo(byArrival.mFirstOutput.size());
        assertThat(byTarget.mFinished.values())
                .filteredOn(finish -> finish.ending() == Decision.Ending.REFUSED)
                .isNotEmpty()
                .allMatch(finish -> finish.retryAfter().toMillis() >= 500);
    }

    /** The requests of one team must not occupy the queue for all others. */
    @Test
    void oneLargeTeamBeside23SmallOnesDoesNotDelayThem() {
        StreamFleet byArrival = largeTeam(Set.of(StreamFleet.LOOSE));
        StreamFleet byTarget = largeTeam(TARGETS);

        assertThat(small(byArrival)).as("the large team matters").isPositive();
        assertThat(small(byTarget)).isZero();
    }

    /** Engines that fall silent for 1.2 s go on with their prompts afterwards. */
    @Test
    void oneZonesEnginesLostEvery6SecondsDoNotCauseNeedlessPrefills() {
        StreamFleet byArrival = zoneSilences(Set.of(StreamFleet.LOOSE));
        StreamFleet byTarget = zoneSilences(TARGETS);

        long needed = (long) PROMPT * byTarget.mOffered.size();
        assertThat(byArrival.mPrefilledTokens).as("the losses matter").isGreaterThan(needed);
        assertThat(byTarget.mPrefilledTokens).isEqualTo(needed);
        assertThat(sum(byTarget.mLongPauses)).isLessThanOrEqualTo(sum(byArrival.mLongPauses));
        assertThat(byTarget.missed("", StreamFleet.TIGHT)).isZero();
        assertThat(byTarget.missed("", StreamFleet.LOOSE)).isZero();
    }

    private static long sum(List<Long> nanos) {
        return nanos.stream().mapToLong(Long::longValue).sum();
    }

    private static StreamFleet zoneSilences(Set<Duration> targets) {
        StreamFleet fleet = new StreamFleet(targets, "a", "a", "a", "b", "b", "b", "c", "c", "c");
        String[] zones = {"a", "b", "c"};
        for (int step = 1; step < 3_000; step++) {
            fleet.step();
            if (step % 300 == 0) {
                fleet.silence(zones[step / 300 % 3], 1_200 * MS);
            }
            if (step % 10 == 0) {
                fleet.offer("team", StreamFleet.LOOSE, PROMPT, LIMIT);
            }
            if (step % 100 == 0) {
                fleet.offer("team", StreamFleet.TIGHT, PROMPT, LIMIT);
            }
        }
        run(fleet, 12 * SECOND);
        return fleet;
    }

    private static long small(StreamFleet fleet) {
        return fleet.missed("", StreamFleet.LOOSE) - fleet.missed("large", StreamFleet.LOOSE);
    }

    /** Returns the number of requests that ended at their deadline without any output. */
    private static long expired(StreamFleet fleet) {
        return fleet.mFinished.entrySet().stream()
                .filter(entry -> entry.getValue().retryAfter().isZero())
                .filter(entry -> !fleet.mFirstOutput.containsKey(entry.getKey()))
                .count();
    }

    /** Offers 2.5 times as many prompts as the engines can prefill, with a limit of 12 s. */
    private static StreamFleet overload(Set<Duration> targets) {
        StreamFleet fleet = new StreamFleet(targets, "a", "b");
        for (int step = 0; step < 1_500; step++) {
            fleet.step();
            if (step % 10 == 0) {
                fleet.offer("team", StreamFleet.LOOSE, PROMPT, Duration.ofSeconds(12));
            }
        }
        return fleet;
    }

    /** A large team sends 40 prompts within 8 s; the others together one each second. */
    private static StreamFleet largeTeam(Set<Duration> targets) {
        StreamFleet fleet = new StreamFleet(targets, "a", "b");
        for (int step = 0; step < 1_000; step++) {
            fleet.step();
            if (step % 10 == 0 && step < 400) {
                fleet.offer("large", StreamFleet.LOOSE, PROMPT, LIMIT);
            }
            if (step % 50 == 0) {
                fleet.offer("small-" + step / 50 % 23, StreamFleet.LOOSE, PROMPT, LIMIT);
            }
        }
        run(fleet, 15 * SECOND);
        return fleet;
    }

    /** A prompt is not overtaken for its length, except by its own prefill time. */
    @Test
    void longPromptsBesideShortOnesStartEarlierByTheirPrefillTime() {
        StreamFleet fleet = fullFleet(TARGETS);
        long shortPrompt = fleet.offer("team", StreamFleet.LOOSE, 1_000, LIMIT);
        long longPrompt = fleet.offer("team", StreamFleet.LOOSE, 14_400, LIMIT);
        run(fleet, 5 * SECOND);

        assertThat(fleet.mFirstOutput.get(longPrompt)).isNotNull();
        assertThat(fleet.mFirstOutput.get(longPrompt) - 14_400 * MS / 8)
                .as("start of the long prompt")
                .isLessThan(fleet.mFirstOutput.get(shortPrompt));
    }

    /** A configuration may change while requests wait. */
    @Test
    void targetsCountOnlyWhileTheRoutesStateDifferentOnes() {
        StreamFleet fleet = fullFleet(Set.of(StreamFleet.LOOSE));
        long first = fleet.offer("team", StreamFleet.LOOSE, PROMPT, LIMIT);
        long tight = fleet.offer("team", StreamFleet.TIGHT, PROMPT, LIMIT);
        fleet.mScheduler.updateTargets(TARGETS);
        run(fleet, 5 * SECOND);
        assertThat(fleet.mFirstOutput.get(tight)).isLessThan(fleet.mFirstOutput.get(first));

        StreamFleet unchanged = fullFleet(TARGETS);
        unchanged.mScheduler.updateTargets(Set.of(StreamFleet.LOOSE));
        first = unchanged.offer("team", StreamFleet.LOOSE, PROMPT, LIMIT);
        tight = unchanged.offer("team", StreamFleet.TIGHT, PROMPT, LIMIT);
        run(unchanged, 5 * SECOND);
        assertThat(unchanged.mFirstOutput.get(first)).isLessThan(unchanged.mFirstOutput.get(tight));
    }

    /** Otherwise an engine would serve loose streams first whose prompts arrived earlier. */
    @Test
    void urgencyDistinguishesTargetsOfOneRankButKeepsRanksApart() {
        TargetOrder order = new TargetOrder(new EngineSpeed(), Samples.random());
        order.targets(TARGETS);

        List<Integer> urgencies =
                List.of(
                        order.urgency(run(1, 0, StreamFleet.TIGHT)),
                        order.urgency(run(2, 0, StreamFleet.LOOSE)),
                        order.urgency(run(3, 1, StreamFleet.TIGHT)),
                        order.urgency(run(4, 1, StreamFleet.LOOSE)));
        assertThat(urgencies).isSorted().doesNotHaveDuplicates().allMatch(value -> value > 0);
        assertThat(order.urgency(run(5, 9, StreamFleet.TIGHT))).isEqualTo(9);
    }

    /** Late requests would otherwise delay those that can still be served in time. */
    @Test
    void lateRequestsFollowUntilTheyHaveWaitedForHalfOfTheirLimit() {
        TargetOrder order = new TargetOrder(new EngineSpeed(), Samples.random());
        order.targets(TARGETS);
        StreamRun late = run(1, 2, StreamFleet.TIGHT, 0);
        StreamRun loose = run(2, 2, StreamFleet.LOOSE, 4 * SECOND);
        StreamRun tight = run(3, 2, StreamFleet.TIGHT, 4 * SECOND);
        StreamRun higherRank = run(4, 1, StreamFleet.LOOSE, 5 * SECOND);
        List<StreamRun> waiting = new ArrayList<>(List.of(late, loose, tight, higherRank));

        order.sort(waiting, 5 * SECOND);
        assertThat(waiting).containsExactly(higherRank, tight, loose, late);

        order.sort(waiting, 12_500 * MS);
        assertThat(waiting).startsWith(higherRank, late);
    }

    private static StreamRun run(long id, int rank, Duration target) {
        return run(id, rank, target, 0);
    }

    private static StreamRun run(long id, int rank, Duration target, long arrived) {
        Work work = Samples.stream(id, rank, PROMPT, arrived);
        return new StreamRun(
                new Work(
                        id,
                        work.requestId(),
                        work.service(),
                        work.team(),
                        work.kind(),
                        rank,
                        work.generation(),
                        arrived,
                        arrived + target.toNanos(),
                        work.deadlineNanos(),
                        work.maxPauseNanos(),
                        work.maxAttempts(),
                        0,
                        null));
    }

    /** Runs 2.2 times the usual loose streams for 10 s, with two tight ones every 3 s. */
    private static StreamFleet burst(Set<Duration> targets) {
        StreamFleet fleet = new StreamFleet(targets, "a", "a", "b", "b");
        for (int step = 0; step < 1_000; step++) {
            fleet.step();
            boolean burst = fleet.mNow > 4 * SECOND && fleet.mNow <= 14 * SECOND;
            if (step % (burst ? 10 : 22) == 0) {
                fleet.offer("team", StreamFleet.LOOSE, PROMPT, LIMIT);
            }
            if (step % 75 == 0) {
                fleet.offer("team", StreamFleet.TIGHT, PROMPT, LIMIT);
            }
        }
        run(fleet, 10 * SECOND);
        return fleet;
    }

    /** Returns a fleet whose only engine is in prefill. */
    private static StreamFleet fullFleet(Set<Duration> targets) {
        StreamFleet fleet = new StreamFleet(targets, "a");
        fleet.offer("team", StreamFleet.LOOSE, PROMPT, LIMIT);
        return fleet;
    }

    private static void run(StreamFleet fleet, long nanos) {
        for (long end = fleet.mNow + nanos; fleet.mNow < end; ) {
            fleet.step();
        }
    }
}
