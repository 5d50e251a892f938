package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
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

    private final RandomGenerator mRandom;
    private final Map<String, Pause> mPauses = new HashMap<>();
    private final Map<String, Long> mLeaving = new HashMap<>();

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
     * @return whether that was not known
     */
    boolean recordLeaving(String process, long nowNanos) {
        return mLeaving.put(process, nowNanos) == null;
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
        mLeaving.values().removeIf(at -> nowNanos - at > MAX_PAUSE.toNanos());
    }

    private static long interval(int instances) {
        return Math.min(RECOVERY_NANOS, RECOVERY_INTERVAL_NANOS * instances);
    }
}
