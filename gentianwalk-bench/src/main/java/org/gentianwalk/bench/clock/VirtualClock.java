package org.gentianwalk.bench.clock;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler: runs events in the order of their virtual time, and events of the
 * same time in the order in which they were scheduled.
 */
public final class VirtualClock {
    /** Nanoseconds per millisecond. */
    public static final long MILLI = 1_000_000L;

    /** Nanoseconds per second. */
    public static final long SECOND = 1_000 * MILLI;

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNow;
    private long mSequence;

    /** Creates a clock at time 0 without events. */
    public VirtualClock() {}

    /**
     * Returns the current virtual time.
     *
     * @return nanoseconds since the start
     */
    public long now() {
        return mNow;
    }

    /**
     * Schedules an action.
     *
     * @param nanos time of the action; a time in the past means now
     * @param action the action
     */
    public void at(long nanos, Runnable action) {
        mEvents.add(new Event(Math.max(mNow, nanos), mSequence++, action));
    }

    /**
     * Schedules an action.
     *
     * @param nanos delay from now, nanoseconds
     * @param action the action
     */
    public void after(long nanos, Runnable action) {
        at(mNow + nanos, action);
    }

    /**
     * Schedules an action periodically.
     *
     * @param first time of the first run, nanoseconds
     * @param period time between two runs, nanoseconds
     * @param action the action
     */
    public void every(long first, long period, Runnable action) {
        at(
                first,
                () -> {
                    action.run();
                    every(mNow + period, period, action);
                });
    }

    /**
     * Runs the events up to a time.
     *
     * @param end the time, inclusive; the clock is set to it afterwards
     */
    public void runUntil(long end) {
        while (!mEvents.isEmpty() && mEvents.element().mAt <= end) {
            Event event = mEvents.remove();
            mNow = event.mAt;
            event.mAction.run();
        }
        mNow = end;
    }

    /** A scheduled action and its time. */
    private static final class Event implements Comparable<Event> {
        final long mAt;
        final long mSequence;
        final Runnable mAction;

        Event(long at, long sequence, Runnable action) {
            mAt = at;
            mSequence = sequence;
            mAction = action;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(mAt, other.mAt);
            return byTime != 0 ? byTime : Long.compare(mSequence, other.mSequence);
        }
    }
}
