package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The upstreams that the shared list names. An entry that disappears is gone at once, unless the
 * list was away shortly before: entries lapse while their writers can't reach it, and return soon
 * after it does.
 */
public final class UpstreamDirectory {
    /** Time in which entries that lapsed during an outage of the list are written again. */
    static final long RETURN_NANOS = Duration.ofMillis(2_200).toNanos();

    private final Map<String, Upstream> mListed = new LinkedHashMap<>();
    private final Map<String, Long> mMissingUntil = new HashMap<>();
    private boolean mAway;
    private boolean mReturned;
    private long mReturnedAt;
    private boolean mChanged;

    /**
     * Records that the list can't be read.
     *
     * @param nowNanos current time
     */
    public void lost(long nowNanos) {
        mAway = true;
    }

    /**
     * Takes in the whole list.
     *
     * @param upstreams every readable entry
     * @param nowNanos time of receipt
     */
    public void replaced(Collection<Upstream> upstreams, long nowNanos) {
        returned(nowNanos);
        Map<String, Upstream> listed = new HashMap<>();
        for (Upstream upstream : upstreams) {
            listed.put(upstream.id(), upstream);
            put(upstream);
        }
        for (String id : List.copyOf(mListed.keySet())) {
            if (!listed.containsKey(id)) {
                removed(id, nowNanos);
            }
        }
    }

    /**
     * Takes in a new or changed entry.
     *
     * @param upstream the entry
     * @param nowNanos time of receipt
     */
    public void put(Upstream upstream, long nowNanos) {
        returned(nowNanos);
        put(upstream);
    }

    /**
     * Takes in that an entry was removed or can no longer be read.
     *
     * @param id its identifier
     * @param nowNanos time of receipt
     */
    public void removed(String id, long nowNanos) {
        returned(nowNanos);
        Upstream known = mListed.get(id);
        if (known == null) {
            return;
        }
        if (mReturned && nowNanos - mReturnedAt < RETURN_NANOS && !known.draining()) {
            mMissingUntil.putIfAbsent(id, mReturnedAt + RETURN_NANOS);
            return;
        }
        remove(id);
    }

    /**
     * Records that the list was read and holds nothing new.
     *
     * @param nowNanos current time
     */
    public void returned(long nowNanos) {
        if (mAway) {
            mAway = false;
            mReturned = true;
            mReturnedAt = nowNanos;
        }
    }

    /**
     * Drops entries that did not return in time.
     *
     * @param nowNanos current time
     */
    public void advance(long nowNanos) {
        Iterator<Map.Entry<String, Long>> missing = mMissingUntil.entrySet().iterator();
        while (missing.hasNext()) {
            Map.Entry<String, Long> entry = missing.next();
            if (nowNanos - entry.getValue() >= 0) {
                missing.remove();
                mListed.remove(entry.getKey());
                mChanged = true;
            }
        }
    }

    /**
     * Tells whether the set has changed since the last call.
     *
     * @return true when {@link #upstreams} has to be read again
     */
    public boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /**
     * Returns the upstreams of a service.
     *
     * @param service its name
     * @return its listed upstreams, draining ones included
     */
    public Collection<Upstream> upstreams(String service) {
        List<Upstream> found = new ArrayList<>();
        for (Upstream upstream : mListed.values()) {
            if (upstream.service().equals(service)) {
                found.add(upstream);
            }
        }
        return found;
    }

    /**
     * Returns the number of entries.
     *
     * @return listed upstreams of all services
     */
    public int size() {
        return mListed.size();
    }

    private void put(Upstream upstream) {
        mMissingUntil.remove(upstream.id());
        Upstream known = mListed.put(upstream.id(), upstream);
        if (!upstream.equals(known)) {
            mChanged = true;
        }
    }

    private void remove(String id) {
        mMissingUntil.remove(id);
        mListed.remove(id);
        mChanged = true;
    }
}
