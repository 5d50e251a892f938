package org.gentianwalk.bench.clock;

import java.util.PriorityQueue;

/** Events in the order of their virtual time; equal times keep the order of their scheduling. */
public final class VirtualClock {
    /** Nanoseconds of a millisecond. */
    public static final long MILLI = 1_000_000L;

    /** Nanoseconds of a second. */
    public static final long SECOND = 1_000 * MILLI;

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNow;
    private long mSequence;

    /** Creates a clock at 0 without events. */
    public VirtualClock() {}

    /**
     * Returns the time.
     *
     * @return nanoseconds since the start
     */
    public long now() {
        return mNow;
    }

    /**
     * Schedules an action.
     *
     * @param nanos its time; one in the past means now
     * @param action the action
     */
    public void at(long nanos, Runnable action) {
        mEvents.add(new Event(Math.max(mNow, nanos), mSequence++, action));
    }

    /**
     * Schedules an action.
     *
     * @param nanos time from now
     * @param action the action
     */
    public void after(long nanos, Runnable action) {
        at(mNow + nanos, action);
    }

    /**
     * Schedules an action again and again.
     *
     * @param first its first time
     * @param period time between two
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
     * @param end the time, which the clock shows afterwards
     */
    public void runUntil(long end) {
        while (!mEvents.isEmpty() && mEvents.element().mAt <= end) {
            Event event = mEvents.remove();
            mNow = event.mAt;
            event.mAction.run();
        }
        mNow = end;
    }

    /** An action and its time. */
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
