package org.gentianwalk.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prompt blocks held by the engine, least recently used first out, and the events about them. */
final class PrefixCache {
    private static final int MAX_EVENTS = 10_000;

    private final EngineOptions.Cache mOptions;
    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Event> mEvents = new ArrayList<>();
    private long mSequence;

    PrefixCache(EngineOptions.Cache options) {
        mOptions = options;
    }

    /** Uses a prompt's blocks and returns how many of the first ones were there already. */
    synchronized int use(List<Long> hashes, long nowNanos) {
        int hits = 0;
        while (hits < hashes.size() && mBlocks.containsKey(hashes.get(hits))) {
            mBlocks.get(hashes.get(hits));
            hits++;
        }
        for (long hash : hashes.subList(hits, hashes.size())) {
            if (mBlocks.put(hash, true) == null) {
                record("stored", hash, nowNanos);
            }
        }
        Iterator<Long> oldest = mBlocks.keySet().iterator();
        while (mBlocks.size() > mOptions.blocks()) {
            long hash = oldest.next();
            oldest.remove();
            record("evicted", hash, nowNanos);
            oldest = mBlocks.keySet().iterator();
        }
        return hits;
    }

    /** Returns the events with a higher sequence number that are old enough to be published. */
    synchronized List<Event> eventsAfter(long sequence, long nowNanos) {
        long latest = nowNanos - mOptions.eventDelay().toNanos();
        return mEvents.stream()
                .filter(event -> event.sequence() > sequence && event.atNanos() <= latest)
                .toList();
    }

    synchronized int size() {
        return mBlocks.size();
    }

    private void record(String type, long hash, long nowNanos) {
        mSequence++;
        if (mOptions.gapEvery() > 0 && mSequence % mOptions.gapEvery() == 0) {
            return;
        }
        if (mEvents.size() >= MAX_EVENTS) {
            mEvents.removeFirst();
        }
        mEvents.add(new Event(mSequence, type, hash, nowNanos));
    }

    /** A change of the cache. */
    record Event(long sequence, String type, long hash, long atNanos) {}
}
