package org.gentianwalk.gateway.control;

import java.util.HashMap;
import java.util.Map;
import org.gentianwalk.core.dispatch.Progress;
import org.jspecify.annotations.Nullable;

/**
 * Output of running attempts that the control thread has not looked at yet. Events come far more
 * often than decisions, so that waking the control thread for each would cost more than passing
 * them on. Safe for any thread.
 */
final class ProgressBuffer {
    private final Map<Long, Entry> mEntries = new HashMap<>();

    /** Takes in the output of an attempt; output of an earlier attempt is dropped. */
    synchronized void add(long work, int attempt, Progress progress) {
        Entry before = mEntries.get(work);
        mEntries.put(
                work,
                before == null || before.attempt() != attempt
                        ? new Entry(attempt, progress)
                        : new Entry(attempt, merged(before.progress(), progress)));
    }

    /** Forgets a request that has ended. */
    synchronized void remove(long work) {
        mEntries.remove(work);
    }

    /** Hands over what has been added since the last call. */
    void drain(Consumer consumer) {
        Map<Long, Entry> entries = take();
        if (entries != null) {
            entries.forEach(
                    (work, entry) -> consumer.progress(work, entry.attempt(), entry.progress()));
        }
    }

    private synchronized @Nullable Map<Long, Entry> take() {
        if (mEntries.isEmpty()) {
            return null;
        }
        Map<Long, Entry> entries = new HashMap<>(mEntries);
        mEntries.clear();
        return entries;
    }

    private static Progress merged(Progress before, Progress later) {
        return new Progress(
                before.events() + later.events(),
                later.lastNanos(),
                Math.max(before.pauseNanos(), later.pauseNanos()));
    }

    /** Takes the output of one attempt. */
    @FunctionalInterface
    interface Consumer {
        void progress(long work, int attempt, Progress progress);
    }

    private record Entry(int attempt, Progress progress) {}
}
