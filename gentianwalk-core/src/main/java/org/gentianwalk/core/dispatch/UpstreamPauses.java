package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The upstream processes that asked this instance to send nothing for a time, or nothing any more.
 *
 * <p>After a pause, requests start one by one for a while, at a rate that all instances share,
 * since the pauses of many instances may end at the same moment.
 */
final class UpstreamPauses {
    /**
     * Longest pause that is respected, and time after which a process that has announced its end
     * counts as unknown again. It bounds the effect of a wrong statement.
     */
    static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    /** Time after a pause in which requests start one by one. */
    private static final long RECOVERY_NANOS = Duration.ofSeconds(2).toNanos();

    /** Interval between two requests of all instances together after a pause. */
    private static final long RECOVERY_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

    /** Time for which a process that announced its end is reported to other instances. */
    private static final long REPORT_NANOS = Duration.ofMillis(2_500).toNanos();

    /** Maximum number of processes that are kept, which bounds what wrong reports can add. */
    private static final int MAX_LEAVING = 4_096;

    private final RandomGenerator mRandom;
    private final Map<String, Pause> mPauses = new HashMap<>();
    private final Map<String, Leaving> mLeaving = new HashMap<>();

    UpstreamPauses(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * A pause and the recovery after it.
     *
     * @param until end of the pause
     * @param nextAt earliest time of the next request
     */
    private record Pause(long until, long nextAt) {
        boolean isOver(long nowNanos) {
            return nowNanos - until >= RECOVERY_NANOS && nowNanos - nextAt >= 0;
        }
    }

    /**
     * A process that has announced its end.
     *
     * @param at time at which this became known
     * @param observed whether it was announced to this instance
     */
    private record Leaving(long at, boolean observed) {}

    /**
     * Records that a process wants no requests for a time.
     *
     * @param instances number of instances that share the rate after the pause
     */
    void recordPause(String process, Duration pause, int instances, long nowNanos) {
        Duration bounded = pause.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause;
        long until = nowNanos + bounded.toNanos();
        Pause known = mPauses.get(process);
        if (known == null || until - known.until() > 0) {
            long interval = interval(instances);
            mPauses.put(process, new Pause(until, until + mRandom.nextLong(interval)));
        }
    }

    /**
     * Records that a process is about to end.
     *
     * @param observed whether it was announced to this instance, not to another one
     * @return whether that was not known
     */
    boolean recordLeaving(String process, boolean observed, long nowNanos) {
        Leaving known = mLeaving.get(process);
        if (known == null && mLeaving.size() >= MAX_LEAVING) {
            return false;
        }
        if (known == null || observed && !known.observed()) {
            mLeaving.put(process, new Leaving(nowNanos, observed));
        }
        return known == null;
    }

    /** Returns the processes that have announced their end to this instance lately. */
    List<String> recentlyLeaving(long nowNanos) {
        List<String> recent = new ArrayList<>();
        mLeaving.forEach(
                (process, leaving) -> {
                    if (leaving.observed() && nowNanos - leaving.at() <= REPORT_NANOS) {
                        recent.add(process);
                    }
                });
        return recent;
    }

    /** Returns whether a process wants no requests from this instance now. */
    boolean isPausing(Upstream upstream, long nowNanos) {
        Pause pause = mPauses.get(upstream.process());
        return pause != null && pause.until() - nowNanos > 0;
    }

    /** Returns the processes that want no requests from this instance now. */
    Set<String> closed(long nowNanos) {
        Set<String> closed = new HashSet<>(mLeaving.keySet());
        mPauses.forEach(
                (process, pause) -> {
                    if (pause.until() - nowNanos > 0) {
                        closed.add(process);
                    }
                });
        return closed;
    }

    boolean isLeaving(Upstream upstream) {
        return mLeaving.containsKey(upstream.process());
    }

    /** Returns the time until a request may be sent, 0 for now; empty when none may be sent. */
    OptionalLong waitNanos(Upstream upstream, long nowNanos) {
        if (isLeaving(upstream)) {
            return OptionalLong.empty();
        }
        Pause pause = mPauses.get(upstream.process());
        return OptionalLong.of(pause == null ? 0 : Math.max(0, pause.nextAt() - nowNanos));
    }

    void recordSent(Upstream upstream, int instances, long nowNanos) {
        Pause pause = mPauses.get(upstream.process());
        if (pause == null) {
            return;
        }
        if (pause.isOver(nowNanos)) {
            mPauses.remove(upstream.process());
        } else {
            mPauses.put(
                    upstream.process(), new Pause(pause.until(), nowNanos + interval(instances)));
        }
    }

    void expire(long nowNanos) {
        mPauses.values().removeIf(pause -> pause.isOver(nowNanos));
        mLeaving.values().removeIf(leaving -> nowNanos - leaving.at() > MAX_PAUSE.toNanos());
    }

    private static long interval(int instances) {
        return Math.min(RECOVERY_NANOS, RECOVERY_INTERVAL_NANOS * instances);
    }
}
