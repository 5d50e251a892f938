package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against missed targets while callers compete for too little capacity. */
class ContentionTest {
    private static final Set<Duration> TARGETS = Set.of(StreamFleet.TIGHT, StreamFleet.LOOSE);
    private static final Duration LIMIT = Duration.ofSeconds(25);
    private static final int PROMPT = 8_200;

    /** A prompt is not overtaken for its length, except by its own prefill time. */
    @Test
    void longPromptsBesideShortOnesStartEarlierByTheirPrefillTime() {
        StreamFleet fleet = fullFleet(TARGETS);
        long shortPrompt = fleet.offer("team", StreamFleet.LOOSE, 1_000, LIMIT);
        long longPrompt = fleet.offer("team", StreamFleet.LOOSE, 14_400, LIMIT);
        run(fleet, 3 * SECOND);

        assertThat(fleet.mFirstOutput.get(longPrompt)).isNotNull();
        assertThat(fleet.mFirstOutput.get(longPrompt) - 14_400 * MS / 8)
                .as("start of the long prompt")
                .isLessThan(fleet.mFirstOutput.get(shortPrompt));
    }

    /** Otherwise an engine would serve loose streams first whose prompts arrived earlier. */
    @Test
    void urgencyDistinguishesTargetsOfOneRankButKeepsRanksApart() {
        TargetOrder order = new TargetOrder(new EngineSpeed());
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
        TargetOrder order = new TargetOrder(new EngineSpeed());
        order.targets(TARGETS);
        StreamRun late = run(1, 2, StreamFleet.TIGHT, 0);
        StreamRun loose = run(2, 2, StreamFleet.LOOSE, 4 * SECOND);
        StreamRun tight = run(3, 2, StreamFleet.TIGHT, 4 * SECOND);
        StreamRun higherRank = run(4, 1, StreamFleet.LOOSE, 5 * SECOND);
        List<StreamRun> waiting =
                new java.util.ArrayList<>(List.of(late, loose, tight, higherRank));

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

    /** Returns a fleet whose engines all prefill. */
    private static StreamFleet fullFleet(Set<Duration> targets) {
        StreamFleet fleet = new StreamFleet(targets, "a", "b");
        for (int i = 0; i < 2; i++) {
            fleet.offer("team", StreamFleet.LOOSE, PROMPT, LIMIT);
        }
        return fleet;
    }

    private static void run(StreamFleet fleet, long nanos) {
        for (long end = fleet.mNow + nanos; fleet.mNow < end; ) {
            fleet.step();
        }
    }
}
