package org.gentianwalk.server.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.UnaryOperator;
import org.gentianwalk.core.journal.CallEvent;
import org.gentianwalk.core.platform.WriteResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the guarantees P4 and P5 in long seeded runs with all kinds of faults. */
class CallSimulationTest {
    private static final int CALLS = 10_000;
    private static final double FAULTS = 0.03;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void callsUnderFaultsRunAtMostOnce(long seed) {
        CallTotals totals = run(CALLS, seed, FAULTS, UnaryOperator.identity());
        System.out.printf("calls under faults, seed %d: %s%n", seed, totals);
        assertThat(totals.mExecutedTwice).isZero();
        assertThat(totals.mExecutedDespiteNotRun).isZero();
        assertThat(totals.mWrongAnswers).isZero();
        assertThat(totals.mAnswered).isGreaterThan(CALLS * 9 / 10);
        assertThat(totals.mKeyReused).isPositive();
    }

    @Test
    void withoutFaultsEachCallCostsTwoWritesAndNoRead() {
        CallSimulation.Options options = new CallSimulation.Options(1, CALLS, 0, false, 0, 0);
        CallTotals totals = new CallSimulation(options, UnaryOperator.identity()).run();
        System.out.printf("calls without faults: %s%n", totals);
        assertThat(totals.mExecuted).isEqualTo(CALLS);
        // A call that is sent twice adds one write, and reads while it waits for the first one.
        assertThat(totals.mWrites).isBetween(2L * CALLS, 2L * CALLS + CALLS * 3 / 20);
        assertThat(totals.mReads).isLessThan(CALLS / 10);
    }

    @Test
    void refusesCallsAsNotRunWhileTheStoreIsDownForTenMinutes() {
        long from = Duration.ofMinutes(2).toNanos();
        long to = Duration.ofMinutes(12).toNanos();
        CallSimulation.Options options = new CallSimulation.Options(1, CALLS, 0, false, from, to);
        CallTotals totals = new CallSimulation(options, UnaryOperator.identity()).run();
        System.out.printf("store down for 10 minutes: %s%n", totals);
        assertThat(totals.mExecutedTwice).isZero();
        assertThat(totals.mExecutedDespiteNotRun).isZero();
        assertThat(totals.mExecutedWhileDown).as("calls claimed just before").isLessThan(10);
        assertThat(totals.mNotRun).isPositive();
        assertThat(totals.mAnswered + totals.mNotRun + totals.mKeyReused + totals.mUnknown)
                .isEqualTo(CALLS);
        assertThat(totals.mOpenIntents).as("rows left behind").isZero();
        assertThat(totals.mWrites).as("writes while the store is down").isLessThan(15_000);
    }

    /**
     * Checks that the simulation detects double execution when a lost write response is treated as
     * success.
     */
    @Test
    void detectsSendingBeforeTheWriteIsConfirmed() {
        UnaryOperator<CallEvent> treatUnknownAsWritten =
                event ->
                        event instanceof CallEvent.WriteReturned write
                                        && write.result() instanceof WriteResult.Unknown
                                ? new CallEvent.WriteReturned(new WriteResult.Written(1))
                                : event;
        CallTotals totals = run(CALLS, 1, FAULTS, treatUnknownAsWritten);
        System.out.printf("unknown writes treated as success: %s%n", totals);
        assertThat(totals.mExecutedTwice).isPositive();
    }

    private static CallTotals run(
            int calls, long seed, double faults, UnaryOperator<CallEvent> eventFilter) {
        CallSimulation.Options options =
                new CallSimulation.Options(seed, calls, faults, true, 0, 0);
        return new CallSimulation(options, eventFilter).run();
    }
}
