package org.gentianwalk.gateway.control;

import java.util.HashMap;
import java.util.Map;
import org.gentianwalk.core.dispatch.Progress;
import org.jspecify.annotations.Nullable;

/**
 * Buffers the output counts of running attempts until the control thread processes them. Events
 * arrive far more often than decisions are made, so waking the control thread for each event would
 * cost more than forwarding the event. Thread-safe.
 */
final class ProgressBuffer {
    private final Map<Long, Entry> mEntries = new HashMap<>();

    /** Adds output of an attempt; buffered output of an earlier attempt is dropped. */
    synchronized void add(long work, int attempt, Progress progress) {
        Entry before = mEntries.get(work);
        mEntries.put(
                work,
                before == null || before.attempt() != attempt
                        ? new Entry(attempt, progress)
                        : new Entry(attempt, merge(before.progress(), progress)));
    }

    /** Removes the buffered output of a request that has ended. */
    synchronized void remove(long work) {
        mEntries.remove(work);
    }

    /** Passes the output that was added since the last call to a consumer. */
    void drain(Consumer consumer) {
        Map<Long, Entry> entries = takeEntries();
        if (entries != null) {
            entries.forEach(
                    (work, entry) -> consumer.progress(work, entry.attempt(), entry.progress()));
        }
    }

    private synchronized @Nullable Map<Long, Entry> takeEntries() {
        if (mEntries.isEmpty()) {
            return null;
        }
        Map<Long, Entry> entries = new HashMap<>(mEntries);
        mEntries.clear();
        return entries;
    }

    private static Progress merge(Progress before, Progress later) {
        return new Progress(
                before.events() + later.events(),
                later.lastNanos(),
                Math.max(before.pauseNanos(), later.pauseNanos()));
    }

    /** Receives the output of one attempt. */
    @FunctionalInterface
    interface Consumer {
        void progress(long work, int attempt, Progress progress);
    }

    private record Entry(int attempt, Progress progress) {}
}
