package org.gentianwalk.gateway.store;

import java.time.Duration;

/**
 * Times of the calls with which a table is watched.
 *
 * @param longPoll longest wait for a change; bounds the time to detect a lost call
 * @param timeout longest wait for the response to any other call
 * @param pause time between two polls, so that a burst of changes costs one call
 * @param trust time after the latest message from a reader (an instance that polls the store for
 *     others) for which this instance does not poll the store itself; readers send a message for
 *     each response of the store
 */
public record WatchTimes(Duration longPoll, Duration timeout, Duration pause, Duration trust) {
    /** Part of the bound after which a long poll ends, so that readers send a message. */
    private static final double LONG_POLL_PART = 0.6;

    /** Part of the bound after which a follower polls; the rest is for that poll. */
    private static final double TRUST_PART = 0.85;

    /**
     * Returns times with which changes are known within a bound, also when the store rejects the
     * readers.
     *
     * @param bound time after the store's response within which a change must be in force
     * @param timeout longest wait for the response to a call
     * @param pause time between two polls
     * @return the times
     */
    public static WatchTimes within(Duration bound, Duration timeout, Duration pause) {
        return new WatchTimes(part(bound, LONG_POLL_PART), timeout, pause, part(bound, TRUST_PART));
    }

    private static Duration part(Duration bound, double part) {
        return Duration.ofNanos(Math.round(bound.toNanos() * part));
    }
}
