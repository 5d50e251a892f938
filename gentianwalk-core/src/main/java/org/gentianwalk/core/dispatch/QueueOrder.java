package org.gentianwalk.core.dispatch;

import java.util.List;

/** Decides the order in which waiting generations are placed, and which places they may take. */
interface QueueOrder {
    /** Last priority in the queue of an engine, which serves 0 first. */
    int LAST_URGENCY = 9;

    /** Sorts the waiting generations, the next one to place first. */
    void sort(List<StreamRun> waiting, long nowNanos);

    /** Returns the priority of a generation in the queue of an engine, 0 first. */
    int urgency(StreamRun run);
}
