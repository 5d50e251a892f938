package org.gentianwalk.core.policy.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.Fixtures;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.suspect.SuspectTable.Verdict;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
    private static final long SECOND = Fixtures.SECOND;
    private static final Fingerprint CRASHING = new Fingerprint(1, 1);
    private static final Fingerprint HARMLESS = new Fingerprint(2, 2);

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

    private static SuspectTable table() {
        SuspectTable table = new SuspectTable(PolicyOptions.defaults().retry());
        for (int i = 0; i < 4; i++) {
            table.registerEngine("e" + i, "zone");
        }
        return table;
    }
}
