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
 * The upstreams of the shared list. An entry that disappears is dropped immediately, unless the
 * list was unavailable shortly before: entries expire while their writers can't reach the list, and
 * are written again soon after it recovers.
 */
public final class UpstreamDirectory {
    /** Time within which entries that expired during an outage of the list are written again. */
    static final long GRACE_NANOS = Duration.ofMillis(2_200).toNanos();

    private final Map<String, Upstream> mListed = new LinkedHashMap<>();
    private final Map<String, Long> mGraceUntil = new HashMap<>();
    private boolean mUnavailable;
    private boolean mRecovered;
    private long mRecoveredAt;
    private boolean mChanged;

    /**
     * Records that the list is unavailable.
     *
     * @param nowNanos current time
     */
    public void recordOutage(long nowNanos) {
        mUnavailable = true;
    }

    /**
     * Replaces all entries.
     *
     * @param upstreams all valid entries of the list
     * @param nowNanos time of receipt
     * @return the entries that were not listed with the same properties before, or were about to
     *     expire
     */
    public List<Upstream> replaceAll(Collection<Upstream> upstreams, long nowNanos) {
        recordRecovery(nowNanos);
        Map<String, Upstream> listed = new HashMap<>();
        List<Upstream> changed = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            listed.put(upstream.id(), upstream);
            if (put(upstream)) {
                changed.add(upstream);
            }
        }
        for (String id : List.copyOf(mListed.keySet())) {
            if (!listed.containsKey(id)) {
                remove(id, nowNanos);
            }
        }
        return changed;
    }

    /**
     * Adds or replaces an entry.
     *
     * @param upstream the entry
     * @param nowNanos time of receipt
     * @return false when the entry was listed with the same properties before, and was not about to
     *     expire
     */
    public boolean put(Upstream upstream, long nowNanos) {
        recordRecovery(nowNanos);
        return put(upstream);
    }

    /**
     * Removes an entry that was deleted or is no longer valid.
     *
     * @param id its identifier
     * @param nowNanos time of receipt
     */
    public void remove(String id, long nowNanos) {
        recordRecovery(nowNanos);
        Upstream known = mListed.get(id);
        if (known == null) {
            return;
        }
        if (mRecovered && nowNanos - mRecoveredAt < GRACE_NANOS && !known.draining()) {
            mGraceUntil.putIfAbsent(id, mRecoveredAt + GRACE_NANOS);
            return;
        }
        remove(id);
    }

    /**
     * Records that the list was read without changes, which ends an outage.
     *
     * @param nowNanos current time
     */
    public void recordRecovery(long nowNanos) {
        if (mUnavailable) {
            mUnavailable = false;
            mRecovered = true;
            mRecoveredAt = nowNanos;
        }
    }

    /**
     * Drops expired entries that were not written again in time.
     *
     * @param nowNanos current time
     */
    public void advance(long nowNanos) {
        Iterator<Map.Entry<String, Long>> grace = mGraceUntil.entrySet().iterator();
        while (grace.hasNext()) {
            Map.Entry<String, Long> entry = grace.next();
            if (nowNanos - entry.getValue() >= 0) {
                grace.remove();
                mListed.remove(entry.getKey());
                mChanged = true;
            }
        }
    }

    /**
     * Returns whether an entry has changed since the last call.
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
     * @return its listed upstreams, including draining ones
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

    private boolean put(Upstream upstream) {
        boolean expiring = mGraceUntil.remove(upstream.id()) != null;
        boolean changed = !upstream.equals(mListed.put(upstream.id(), upstream));
        mChanged |= changed;
        return changed || expiring;
    }

    private void remove(String id) {
        mGraceUntil.remove(id);
        mListed.remove(id);
        mChanged = true;
    }
}
