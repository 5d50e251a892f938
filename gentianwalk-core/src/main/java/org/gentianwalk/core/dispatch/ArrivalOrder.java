package org.gentianwalk.core.dispatch;

import java.util.Comparator;
import java.util.List;

/** Orders generations by interruption, then by rank, then by arrival. */
final class ArrivalOrder implements QueueOrder {
    private static final Comparator<StreamRun> ORDER =
            Comparator.<StreamRun>comparingInt(run -> run.isInterrupted() ? 0 : 1)
                    .thenComparingInt(run -> run.work().priority())
                    .thenComparingLong(run -> run.work().arrivedNanos());

    @Override
    public void sort(List<StreamRun> waiting, long nowNanos) {
        waiting.sort(ORDER);
    }

    @Override
    public int urgency(StreamRun run) {
        return Math.min(LAST_URGENCY, 1 + run.work().priority());
    }
}
