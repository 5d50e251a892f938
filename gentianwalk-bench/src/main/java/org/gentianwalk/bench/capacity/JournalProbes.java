package org.gentianwalk.bench.capacity;

import com.google.protobuf.ByteString;
import java.util.List;
import org.gentianwalk.core.journal.CallAction;
import org.gentianwalk.core.journal.CallContext;
import org.gentianwalk.core.journal.CallEvent;
import org.gentianwalk.core.journal.CallJournal;
import org.gentianwalk.core.journal.CallService.Answer;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.platform.WriteResult;

/** Measures the costs of non-repeatable calls without faults, by number of calls and body size. */
final class JournalProbes {
    private static final String ROLE = "call journal";
    private static final int TYPICAL_BODY_BYTES = 1_024;

    private final Meter mMeter;
    private final int[] mCallCounts = {10, 20, 40};
    private final int[] mBodySizes = {256, 1_024, 4_096, 16_384};
    private long mNumber;

    JournalProbes(boolean quick) {
        mMeter = new Meter(quick);
    }

    List<CapacityProbe> all() {
        return List.of(
                new Probe(ROLE, "store writes", "calls", mCallCounts, 1, this::countWrites),
                new Probe(
                        ROLE,
                        "bytes to the store for a call",
                        "bytes of the body",
                        mBodySizes,
                        TYPICAL_BODY_BYTES,
                        size -> runCall(new byte[size]).bytes()),
                new Probe(
                        ROLE,
                        "processor time for a call, ns",
                        "bytes of the body",
                        mBodySizes,
                        TYPICAL_BODY_BYTES,
                        size -> {
                            byte[] body = new byte[size];
                            return mMeter.nanosPerCall(() -> runCall(body));
                        }));
    }

    private double countWrites(int calls) {
        int sum = 0;
        for (int i = 0; i < calls; i++) {
            sum += runCall(new byte[TYPICAL_BODY_BYTES]).writes();
        }
        return sum;
    }

    /** Runs one call; any action other than row writes and the call itself is an error. */
    private Cost runCall(byte[] body) {
        CallContext context =
                new CallContext(
                        new RequestKey("team-1234", "order-" + ++mNumber),
                        ByteString.copyFrom(new byte[32]),
                        "entry-instance-100",
                        1_700_000_000_000L,
                        ByteString.copyFrom(new byte[16]),
                        1_700_000_000_000L);
        CallJournal journal = new CallJournal(context);
        CallAction action = journal.on(new CallEvent.Submitted(), 0);
        int writes = 0;
        long bytes = 0;
        while (!(action instanceof CallAction.Reply)) {
            CallEvent event;
            switch (action) {
                case CallAction.WriteRow write -> {
                    bytes += write.key().length() + write.value().toByteArray().length;
                    event = new CallEvent.WriteReturned(new WriteResult.Written(++writes));
                }
                case CallAction.SendCall ignored ->
                        event =
                                new CallEvent.CallReturned(
                                        new SendResult.Answered(
                                                new Answer(200, "application/json", body)));
                default -> throw new IllegalStateException("unexpected " + action);
            }
            action = journal.on(event, 0);
        }
        return new Cost(writes, bytes);
    }

    private record Cost(int writes, long bytes) {}
}
