package org.gentianwalk.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * The process that checks have found at the address of a listed one, whose entry is out of date.
 *
 * <p>The clocks of upstreams are not those of instances, so only the time between two starts at one
 * address is used: the listed process started before its entry was seen, and the later one at most
 * that much time after.
 */
final class LaterStart {
    private final long mListedAt;
    private long mIncarnation = Long.MIN_VALUE;
    private long mStartedBy;

    /**
     * Creates a state in which no later process is known.
     *
     * @param listedAtNanos time at which the entry was first seen
     */
    LaterStart(long listedAtNanos) {
        mListedAt = listedAtNanos;
    }

    /**
     * Records that a later process has answered a check.
     *
     * @param listed the entry, which is out of date
     * @param incarnation start of the process that answered
     * @param nowNanos current time
     * @return a time by which that process had started
     */
    long record(Upstream listed, long incarnation, long nowNanos) {
        if (incarnation != mIncarnation) {
            mIncarnation = incarnation;
            long later = TimeUnit.MILLISECONDS.toNanos(incarnation - listed.incarnation());
            // An entry may state any number, so that the difference may exceed the range.
            boolean known = later > 0 && later < nowNanos - mListedAt;
            mStartedBy = known ? mListedAt + later : nowNanos;
        }
        return mStartedBy;
    }
}
