package org.gentianwalk.core.policy.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.Fixtures;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.suspect.SuspectTable.Proof;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
    private static final long SECOND = Fixtures.SECOND;
    private static final Fingerprint CRASHING = new Fingerprint(1, 1);
    private static final Fingerprint HARMLESS = new Fingerprint(2, 2);
    private static final Fingerprint PART = new Fingerprint(7, 1);
    private static final Fingerprint OTHER_PART = new Fingerprint(7, 2);

    /** Guards against convicting requests that only shared an engine with a crashing request. */
    @Test
    void secondLossConvictsOnlyTheRequestOnBothEngines() {
        SuspectTable table = table();
        table.recordLoss(CRASHING, "e0", SECOND);
        table.recordLoss(HARMLESS, "e0", SECOND);
        table.clear(HARMLESS, 4 * SECOND);
        table.recordLoss(CRASHING, "e1", 8 * SECOND);
        table.recordLoss(HARMLESS, "e2", 9 * SECOND);
        assertThat(table.verdict(CRASHING, 8 * SECOND)).isEqualTo(Verdict.PENDING);
        assertThat(table.verdict(CRASHING, 11 * SECOND)).isEqualTo(Verdict.CONVICTED);
        assertThat(table.verdict(HARMLESS, 11 * SECOND)).isEqualTo(Verdict.SUSPECT);
    }

    /**
     * Guards against a conviction by silence, and against silence held against a request for good.
     */
    @Test
    void lossesOfUnresponsiveEnginesNeverConvictAndALaterSignRefutesThem() {
        SuspectTable table = table();
        SuspectTable other = table();
        table.recordLoss(CRASHING, "e0", SECOND, 3 * SECOND, Proof.UNRESPONSIVE);
        table.recordLoss(CRASHING, "e1", 8 * SECOND, 10 * SECOND, Proof.UNRESPONSIVE);
        assertThat(table.verdict(CRASHING, 60 * SECOND)).isEqualTo(Verdict.PENDING);
        table.recordSignOfLife("e1", 61 * SECOND);
        assertThat(table.verdict(CRASHING, 61 * SECOND)).isEqualTo(Verdict.SUSPECT);

        other.recordSignOfLife("e0", 62 * SECOND);
        other.merge(table.entries(100 * SECOND, 9, 62 * SECOND), 62 * SECOND);
        assertThat(other.verdict(CRASHING, 62 * SECOND))
                .as("reported late")
                .isNotEqualTo(Verdict.PENDING);
        table.recordSignOfLife("e0", 63 * SECOND);
        assertThat(table.verdict(CRASHING, 63 * SECOND)).isEqualTo(Verdict.UNKNOWN);
    }

    /** Guards against evidence that a sign of life of the restarted process takes back. */
    @Test
    void lossOfAnEngineWhoseProcessEndedReplacesItsSilenceAndStays() {
        SuspectTable table = table();
        for (String engine : List.of("e0", "e1")) {
            long at = engine.equals("e0") ? SECOND : 8 * SECOND;
            table.recordLoss(CRASHING, engine, at, at + 2 * SECOND, Proof.UNRESPONSIVE);
            table.recordLoss(CRASHING, engine, at, at + 3 * SECOND, Proof.PROCESS_ENDED);
            table.recordSignOfLife(engine, at + 6 * SECOND);
        }
        assertThat(table.verdict(CRASHING, 20 * SECOND)).isEqualTo(Verdict.CONVICTED);
    }

    /** Guards against evidence that is lost with all instances, or kept without need. */
    @Test
    void onlyUnexplainedLossesOfItsOwnAreKept() {
        SuspectTable table = table();
        table.recordLoss(CRASHING, "e0", 10 * SECOND);
        assertThat(table.entriesToKeep(9, 11 * SECOND)).as("may still be explained").isEmpty();
        assertThat(table.entriesToKeep(9, 14 * SECOND)).hasSize(1);

        SuspectTable other = table();
        other.merge(table.entries(10 * SECOND, 9, 14 * SECOND), 14 * SECOND);
        assertThat(other.entriesToKeep(9, 20 * SECOND)).as("kept by the observer").isEmpty();

        table.clear(CRASHING, 15 * SECOND);
        assertThat(table.entriesToKeep(9, 20 * SECOND)).isEmpty();

        table.recordLoss(CRASHING, "e0", 30 * SECOND);
        table.recordLoss(HARMLESS, "e1", 30 * SECOND);
        table.recordLoss(HARMLESS, "e2", 30 * SECOND);
        assertThat(table.entriesToKeep(9, 40 * SECOND)).as("a failed zone").isEmpty();
    }

    /** Guards against a conviction that ends with a restart, or is prolonged by each one. */
    @Test
    void aRestoredConvictionHoldsAndEndsAtItsTime() {
        long lost = 10 * SECOND;
        SuspectTable table = table();
        table.recordLoss(CRASHING, "e0", lost);
        table.recordLoss(CRASHING, "e1", lost + 5 * SECOND);
        for (int restart = 1; restart <= 5; restart++) {
            long now = lost + restart * 600 * SECOND;
            SuspectTable restarted = table();
            restarted.restore(table.entriesToKeep(9, now), true, now);
            assertThat(restarted.verdict(CRASHING, now)).isEqualTo(Verdict.CONVICTED);
            table = restarted;
        }
        assertThat(table.verdict(CRASHING, lost + 3_599 * SECOND)).isEqualTo(Verdict.CONVICTED);
        assertThat(table.verdict(CRASHING, lost + 3_606 * SECOND)).isEqualTo(Verdict.UNKNOWN);
        table.expire(lost + 3_606 * SECOND);
        assertThat(table.entriesToKeep(9, lost + 3_606 * SECOND)).isEmpty();
    }

    /** Guards against a request that ends so many engines of a zone that the zone seems to fail. */
    @Test
    void aRequestThatEndsThreeEnginesOfAZoneAtOnceIsConvicted() {
        SuspectTable table = table();
        for (int i = 0; i < 3; i++) {
            table.recordLoss(CRASHING, "e" + i, SECOND + i);
        }
        table.recordLoss(HARMLESS, "e0", SECOND);
        table.recordLoss(HARMLESS, "e1", SECOND);

        assertThat(table.verdict(CRASHING, 3 * SECOND)).isEqualTo(Verdict.CONVICTED);
        assertThat(table.verdict(HARMLESS, 3 * SECOND)).isNotEqualTo(Verdict.CONVICTED);
    }

    /**
     * Guards against convicting a request that was moved from engine to engine of a failing zone.
     */
    @Test
    void anEngineThatIsLostWithoutTheRequestShowsTheFailureOfTheZone() {
        SuspectTable table = table();
        for (int i = 0; i < 3; i++) {
            table.recordLoss(CRASHING, "e" + i, SECOND + i);
        }
        table.recordEngineLoss("e3", SECOND);

        assertThat(table.verdict(CRASHING, 3 * SECOND)).isEqualTo(Verdict.UNKNOWN);
    }

    /** Guards against attributing the failure of a zone to requests. */
    @Test
    void zoneFailureConvictsNoRequest() {
        SuspectTable table = table();
        table.recordLoss(CRASHING, "e0", SECOND);
        table.recordLoss(HARMLESS, "e1", SECOND + SECOND / 3);
        table.recordLoss(new Fingerprint(3, 3), "e2", SECOND + SECOND / 2);
        assertThat(table.verdict(CRASHING, 3 * SECOND)).isEqualTo(Verdict.UNKNOWN);
        assertThat(table.verdict(HARMLESS, 3 * SECOND)).isEqualTo(Verdict.UNKNOWN);
    }

    /**
     * Guards against a request that crashes one engine at each instance it is sent to and is never
     * convicted. Merged in any order, the losses must convict it at both.
     */
    @Test
    void lossesAtTwoInstancesConvictAtBothInAnyMergeOrder() {
        SuspectTable first = table();
        SuspectTable second = table();
        first.recordLoss(CRASHING, "e0", SECOND);
        second.recordLoss(CRASHING, "e1", 4 * SECOND);
        var fromFirst = first.drainChanges(5 * SECOND);
        var fromSecond = second.drainChanges(5 * SECOND);
        first.merge(fromSecond, 5 * SECOND);
        second.merge(fromFirst, 5 * SECOND);
        second.merge(fromFirst, 5 * SECOND);
        assertThat(first.verdict(CRASHING, 6 * SECOND)).isEqualTo(Verdict.CONVICTED);
        assertThat(second.verdict(CRASHING, 6 * SECOND)).isEqualTo(Verdict.CONVICTED);
    }

    /** Guards against counting one loss twice when two instances report it. */
    @Test
    void twoReportsOfOneLossCountOnce() {
        SuspectTable first = table();
        SuspectTable second = table();
        first.recordLoss(CRASHING, "e0", SECOND);
        second.recordLoss(CRASHING, "e0", SECOND + SECOND / 10);
        first.merge(second.drainChanges(2 * SECOND), 2 * SECOND);
        assertThat(first.verdict(CRASHING, 4 * SECOND)).isEqualTo(Verdict.SUSPECT);
    }

    /**
     * Guards against a part of prompts that crashes one engine after the other, each time in
     * another request.
     */
    @Test
    void threeSeparateLossesUnderTwoRequestsConvictTheirCommonPart() {
        SuspectTable table = table();
        lose(table, request(1), PART, "e0", SECOND);
        lose(table, request(1), PART, "e1", 2 * SECOND);
        assertThat(verdict(table, PART, 4 * SECOND)).isEqualTo(Verdict.UNKNOWN);
        lose(table, request(2), PART, "e2", 5 * SECOND);

        assertThat(verdict(table, PART, 5 * SECOND)).isEqualTo(Verdict.PENDING);
        assertThat(verdict(table, PART, 6 * SECOND)).isEqualTo(Verdict.CONVICTED);
        assertThat(verdict(table, OTHER_PART, 6 * SECOND)).isEqualTo(Verdict.UNKNOWN);
    }

    /**
     * Guards against blocking a part for the losses of a request that crashes engines by itself.
     */
    @Test
    void lossesUnderOneRequestDoNotConvictItsParts() {
        SuspectTable table = table();
        for (int i = 0; i < 4; i++) {
            lose(table, request(1), PART, "e" + i, (1 + 2 * i) * SECOND);
        }

        assertThat(verdict(table, PART, 20 * SECOND)).isEqualTo(Verdict.UNKNOWN);
        assertThat(table.verdict(request(1), 20 * SECOND)).isEqualTo(Verdict.CONVICTED);
    }

    /** Guards against blocking a common part for the failure of a zone. */
    @Test
    void enginesLostAtTheSameTimeAreOneEventOfAPart() {
        SuspectTable table = table();
        for (int i = 0; i < 4; i++) {
            lose(table, request(i), PART, "e" + i, SECOND + i * SECOND / 10);
        }

        assertThat(verdict(table, PART, 3 * SECOND)).isEqualTo(Verdict.SUSPECT);
    }

    /** Guards against blocking a part with which engines go on to answer other requests. */
    @Test
    void aSuccessWithAPartClearsItEvenAfterItsConviction() {
        SuspectTable table = table();
        lose(table, request(1), PART, "e0", SECOND);
        lose(table, request(2), PART, "e1", 2 * SECOND);
        lose(table, request(3), PART, "e2", 3 * SECOND);
        assertThat(verdict(table, PART, 5 * SECOND)).isEqualTo(Verdict.CONVICTED);
        table.clear(PART, 6 * SECOND);

        assertThat(verdict(table, PART, 6 * SECOND)).isEqualTo(Verdict.UNKNOWN);
        lose(table, request(4), PART, "e3", 7 * SECOND);
        assertThat(verdict(table, PART, 9 * SECOND)).isEqualTo(Verdict.UNKNOWN);
    }

    /**
     * Guards against blocking a sound part that so far only came together with a crashing one. Both
     * have the same losses, so only a request with both is known to crash its engine.
     */
    @Test
    void partsWithTheSameLossesAreOnlyHeldAgainstRequestsWithBoth() {
        SuspectTable table = table();
        for (int i = 0; i < 3; i++) {
            table.recordLoss(
                    request(i),
                    List.of(PART, OTHER_PART),
                    "e" + i,
                    (1 + i) * SECOND,
                    (1 + i) * SECOND);
        }

        assertThat(verdict(table, OTHER_PART, 6 * SECOND)).isEqualTo(Verdict.UNKNOWN);
        assertThat(verdict(table, PART, 6 * SECOND)).isEqualTo(Verdict.UNKNOWN);
        assertThat(table.verdict(request(7), List.of(PART, OTHER_PART), 6 * SECOND))
                .isEqualTo(Verdict.CONVICTED);

        lose(table, request(8), PART, "e3", 7 * SECOND);
        assertThat(verdict(table, PART, 9 * SECOND)).isEqualTo(Verdict.CONVICTED);
        assertThat(verdict(table, OTHER_PART, 9 * SECOND)).isEqualTo(Verdict.UNKNOWN);
    }

    /** Guards against a success that is undone by a loss from before it, reported late. */
    @Test
    void aLossFromBeforeASuccessDoesNotCount() {
        SuspectTable first = table();
        SuspectTable second = table();
        lose(first, request(1), PART, "e0", SECOND);
        second.clear(PART, 2 * SECOND);
        second.merge(first.drainChanges(3 * SECOND), 3 * SECOND);
        first.merge(second.drainChanges(4 * SECOND), 4 * SECOND);

        for (SuspectTable table : List.of(first, second)) {
            lose(table, request(2), PART, "e1", 5 * SECOND);
            lose(table, request(3), PART, "e2", 6 * SECOND);
            assertThat(verdict(table, PART, 8 * SECOND)).isEqualTo(Verdict.SUSPECT);
        }
    }

    /** Guards against an instance that starts later and would let the part crash engines again. */
    @Test
    void aNewInstanceReceivesConvictions() {
        SuspectTable table = table();
        for (int i = 0; i < 3; i++) {
            lose(table, request(i), PART, "e" + i, (1 + i) * SECOND);
        }
        assertThat(verdict(table, PART, 6 * SECOND)).isEqualTo(Verdict.CONVICTED);
        SuspectTable started = table();
        started.merge(table.entries(SECOND, 8, 60 * SECOND), 60 * SECOND);

        assertThat(verdict(started, PART, 60 * SECOND)).isEqualTo(Verdict.CONVICTED);
    }

    /**
     * Guards against convicting what succeeds at another instance. Both losses are confirmed and
     * reported seconds after a success that came after them.
     */
    @Test
    void aSuccessAfterLossesThatAreReportedLateIsKnownToAllInstances() {
        int losses = SuspectTable.CONVICTING_CONTENT_LOSSES;
        PolicyOptions.Retry options = PolicyOptions.defaults().retry();
        List<SuspectTable> tables = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            tables.add(new SuspectTable(options, losses));
        }
        for (long now = 0; now <= 9 * SECOND; now += SECOND / 10) {
            if (now == SECOND * 44 / 10) {
                tables.get(0).recordLoss(request(1), List.of(PART), "e0", 0, now);
            }
            if (now == SECOND * 64 / 10) {
                tables.get(2).recordLoss(request(2), List.of(PART), "e2", 2 * SECOND, now);
            }
            if (now % SECOND == 0) {
                tables.get(1).clear(PART, now);
            }
            exchangeReports(tables, now);
        }

        for (SuspectTable table : tables) {
            assertThat(verdict(table, PART, 9 * SECOND)).isEqualTo(Verdict.UNKNOWN);
        }
    }

    /** Guards against a report in which many other losses displace the crashing part. */
    @Test
    void aReportHasThePartWithMostLosses() {
        SuspectTable table = table();
        lose(table, request(1), PART, "e0", SECOND);
        lose(table, request(2), PART, "e1", 2 * SECOND);
        for (int i = 0; i < 20; i++) {
            Fingerprint part = new Fingerprint(70, i);
            lose(table, request(100 + i), part, "e2", 2 * SECOND + SECOND / 5);
        }

        assertThat(table.entries(5 * SECOND, 16, 3 * SECOND))
                .extracting(SuspectEntry::fingerprint)
                .contains(PART);
    }

    /** Guards against a report in which later losses displace one that was confirmed after them. */
    @Test
    void aReportHasTheLossThatWasConfirmedLast() {
        SuspectTable table = table();
        for (int i = 0; i < 20; i++) {
            Fingerprint part = new Fingerprint(70, i);
            lose(table, request(100 + i), part, "e2", SECOND);
        }
        table.recordLoss(request(1), List.of(PART), "e0", 0, 3 * SECOND);

        assertThat(table.entries(5 * SECOND, 16, 3 * SECOND))
                .extracting(SuspectEntry::fingerprint)
                .contains(PART);
    }

    /** Guards against unbounded memory when many requests lose engines. */
    @Test
    void tableIsBounded() {
        SuspectTable table = table();
        int bound = PolicyOptions.defaults().retry().suspectEntries();
        for (int i = 0; i < 3 * bound; i++) {
            table.recordLoss(new Fingerprint(9, i), "e0", i * SECOND);
        }
        assertThat(table.size()).isEqualTo(bound);
    }

    private static void exchangeReports(List<SuspectTable> tables, long now) {
        for (SuspectTable from : tables) {
            List<SuspectEntry> report = from.entries(SECOND * 5 / 2, 16, now);
            tables.stream().filter(to -> to != from).forEach(to -> to.merge(report, now));
        }
    }

    private static Fingerprint request(int number) {
        return new Fingerprint(50, number);
    }

    private static void lose(
            SuspectTable table, Fingerprint request, Fingerprint part, String engine, long at) {
        table.recordLoss(request, List.of(part), engine, at, at);
    }

    /** Returns the verdict on a new request with a part. */
    private static Verdict verdict(SuspectTable table, Fingerprint part, long now) {
        return table.verdict(request(99), List.of(part), now);
    }

    private static SuspectTable table() {
        SuspectTable table = new SuspectTable(PolicyOptions.defaults().retry());
        for (int i = 0; i < 4; i++) {
            table.registerEngine("e" + i, "zone");
        }
        return table;
    }
}
