package org.gentianwalk.standin.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.time.Ticker;

/** The instance list in memory; a change shows after the lag. */
public final class LaggingInstances implements InstanceList {
    private record Version(long visibleNanos, List<Entry> entries) {}

    private final Ticker mTicker;
    private final Duration mLag;
    private final Map<String, Entry> mCurrent = new LinkedHashMap<>();
    private final ArrayDeque<Version> mPending = new ArrayDeque<>();
    private List<Entry> mShown;

    /**
     * Creates a list.
     *
     * @param ticker the clock
     * @param lag time until a change shows
     * @param initial entries that show from the start
     */
    public LaggingInstances(Ticker ticker, Duration lag, Collection<Entry> initial) {
        mTicker = ticker;
        mLag = lag;
        initial.forEach(entry -> mCurrent.put(entry.id(), entry));
        mShown = List.copyOf(mCurrent.values());
    }

    /**
     * Adds or replaces an entry.
     *
     * @param entry the entry, found by its id
     */
    public synchronized void put(Entry entry) {
        mCurrent.put(entry.id(), entry);
        publish();
    }

    /**
     * Removes an entry; a missing one is no error.
     *
     * @param id the entry's id
     */
    public synchronized void remove(String id) {
        mCurrent.remove(id);
        publish();
    }

    @Override
    public synchronized List<Entry> entries() {
        long now = mTicker.nanos();
        while (!mPending.isEmpty() && mPending.element().visibleNanos() <= now) {
            mShown = mPending.remove().entries();
        }
        return mShown;
    }

    private void publish() {
        long visible = mTicker.nanos() + mLag.toNanos();
        mPending.add(new Version(visible, List.copyOf(mCurrent.values())));
    }
}
