package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Decides the order in which waiting generations are placed, and which places they may take. */
interface QueueOrder extends PlacementBound {
    /** Last priority in the queue of an engine, which serves 0 first. */
    int LAST_URGENCY = 9;

    /** Sorts the waiting generations, the next one to place first. */
    void sort(List<StreamRun> waiting, long nowNanos);

    /** Returns the priority of a generation in the queue of an engine, 0 first. */
    int urgency(StreamRun run);

    /** Records that a generation is sent to an engine. */
    default void recordStart(StreamRun run, long nowNanos) {}

    /** Records whether generations without an attempt wait. */
    default void recordQueue(boolean waits, long nowNanos) {}

    /**
     * Returns the time after which the caller of a generation should come back that can't have
     * output before its deadline, or null when it may have.
     *
     * @param run a waiting generation
     * @param tokensAhead prompt tokens of the generations before it
     * @param nowNanos current time
     */
    default @Nullable Duration rejection(StreamRun run, long tokensAhead, long nowNanos) {
        return null;
    }

    /**
     * Returns whether a generation whose engine fell silent a moment ago waits for the engine to
     * respond again, before another engine prefills the same prompt.
     */
    default boolean waitsForSilentEngine(StreamRun run, long nowNanos) {
        return false;
    }
}
