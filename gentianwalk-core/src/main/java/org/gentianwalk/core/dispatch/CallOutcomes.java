package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Outcomes of the recent calls to an upstream, as one instance has seen them. */
final class CallOutcomes {
    /**
     * Time for which an outcome is remembered. One of many instances sends an upstream about one
     * call in three seconds, so a shorter time leaves it without evidence.
     */
    private static final long WINDOW_NANOS = Duration.ofSeconds(20).toNanos();

    /** Maximum number of outcomes; bounds the memory of an instance with much traffic. */
    private static final int MAX_OUTCOMES = 256;

    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private final int[] mCounts = new int[Outcome.values().length];

    /** What became of a call. */
    enum Outcome {
        /** It was answered with a success. */
        SUCCEEDED,
        /** It was answered with an error. */
        ERROR,
        /** It was rejected for lack of capacity, and not executed. */
        REJECTED,
        /** It was given up when it had been without an answer for unusually long. */
        SILENT
    }

    private record Entry(Outcome outcome, long atNanos) {}

    /** Records the outcome of a call. */
    void record(Outcome outcome, long nowNanos) {
        if (mEntries.size() >= MAX_OUTCOMES) {
            removeOldest();
        }
        mEntries.add(new Entry(outcome, nowNanos));
        mCounts[outcome.ordinal()]++;
    }

    /** Returns the number of recent calls with an outcome. */
    int count(Outcome outcome, long nowNanos) {
        expire(nowNanos);
        return mCounts[outcome.ordinal()];
    }

    /** Returns the number of recent calls. */
    int total(long nowNanos) {
        expire(nowNanos);
        return mEntries.size();
    }

    private void expire(long nowNanos) {
        for (Entry oldest = mEntries.peekFirst();
                oldest != null && nowNanos - oldest.atNanos() >= WINDOW_NANOS;
                oldest = mEntries.peekFirst()) {
            removeOldest();
        }
    }

    private void removeOldest() {
        mCounts[mEntries.removeFirst().outcome().ordinal()]--;
    }
}
