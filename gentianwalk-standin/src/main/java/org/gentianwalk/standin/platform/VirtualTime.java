package org.gentianwalk.standin.platform;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.gentianwalk.core.time.ManualTicker;
import org.gentianwalk.core.time.Ticker;

/**
 * Runs tasks in the order of their times on a virtual clock, tasks of the same time in the order in
 * which they were scheduled. One thread uses it.
 *
 * <p>Example: {@code time.schedule(time.nanos() + delay, this::answer); time.run(end)}
 */
public final class VirtualTime implements Ticker {
    private record Task(long atNanos, long sequence, Runnable action) {}

    private final ManualTicker mTicker = new ManualTicker();
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::sequence));
    private long mSequence;

    @Override
    public long nanos() {
        return mTicker.nanos();
    }

    /**
     * Adds a task.
     *
     * @param atNanos when to run it; a time in the past means now
     * @param action the task
     */
    public void schedule(long atNanos, Runnable action) {
        mTasks.add(new Task(atNanos, mSequence++, action));
    }

    /**
     * Runs tasks, and those that they schedule, until none is left or the end is reached.
     *
     * @param endNanos tasks at or after this time are not run
     */
    public void run(long endNanos) {
        while (!mTasks.isEmpty() && mTasks.element().atNanos() < endNanos) {
            Task task = mTasks.remove();
            mTicker.advanceTo(Math.max(task.atNanos(), mTicker.nanos()));
            task.action().run();
        }
    }
}
