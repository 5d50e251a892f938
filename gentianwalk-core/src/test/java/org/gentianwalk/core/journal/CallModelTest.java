package org.gentianwalk.core.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.UnaryOperator;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.CallAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a call that is executed twice, or after it was reported as not run, in any
 * interleaving.
 */
class CallModelTest {
    private static final int DEPTH = 60;

    @ParameterizedTest
    @CsvSource({"true,1,60", "false,1,60", "true,2,18", "false,2,18", "true,4,9", "false,4,9"})
    void noInterleavingExecutesTwiceOrBreaksNotRun(boolean lookup, int faults, int depth) {
        CallModel.Result result =
                new CallModel(lookup, UnaryOperator.identity()).search(faults, depth);
        System.out.printf(
                "call model: lookup %b, faults %d, depth %d: %s%n", lookup, faults, depth, result);
        assertThat(result.path()).isEmpty();
        assertThat(result.violations()).isZero();
        assertThat(result.states()).isGreaterThan(10_000);
        assertThat(result.complete()).as("all states with one fault").isEqualTo(faults == 1);
    }

    /** The search must find a violation when a lost answer to the intent is treated as success. */
    @Test
    void detectsSendingBeforeTheWriteIsConfirmed() {
        UnaryOperator<CallEvent> unconfirmedAsWritten =
                event ->
                        event instanceof CallEvent.WriteReturned write
                                        && write.result() instanceof WriteResult.Unknown
                                ? new CallEvent.WriteReturned(new WriteResult.Written(1))
                                : event;
        assertThat(new CallModel(true, unconfirmedAsWritten).search(1, DEPTH).violations())
                .isPositive();
    }

    /** The search must find a violation when a running call is treated as never sent. */
    @Test
    void detectsReplacementOfARunningIntent() {
        UnaryOperator<CallEvent> runningAsNeverSent =
                event ->
                        event instanceof CallEvent.OwnerAnswered
                                ? new CallEvent.OwnerAnswered(CallAnswer.NEVER_SENT)
                                : event;
        assertThat(new CallModel(true, runningAsNeverSent).search(1, DEPTH).violations())
                .isPositive();
    }
}
