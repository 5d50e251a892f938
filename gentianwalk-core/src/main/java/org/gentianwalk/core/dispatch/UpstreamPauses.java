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
import org.gentianwalk.core.policy.routing.Rendezvous;

/**
 * The upstream processes that asked this instance to send nothing for a time, or nothing any more.
 *
 * <p>After a pause, requests start one by one for a while, at a rate that all instances share and
 * that grows step by step, since the pauses of many instances may end at the same moment, and many
 * requests may have waited for it.
 */
final class UpstreamPauses {
    /**
     * Longest pause that is respected, and time after which a process that has announced its end
     * counts as unknown again. It bounds the effect of a wrong statement.
     */
    static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    /** Requests a second of all instances together right after a pause. */
    private static final double RECOVERY_RATE = 20;

    /** Time after a pause in which that rate does not grow. */
    private static final double STEADY_SECONDS = 2;

    /** Time in which the rate doubles afterwards. */
    private static final double DOUBLING_SECONDS = 1;

    /** Time after a pause from which on the rate is not limited any more. */
    private static final double RECOVERY_SECONDS = 7;

    /**
     * Requests that may follow one another immediately, so that a caller that comes back a little
     * late does not delay the next one.
     */
    private static final double BURST = 1;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Time for which a process that announced its end is reported to other instances. */
    private static final long REPORT_NANOS = Duration.ofMillis(2_500).toNanos();

    /** Number of processes from which on further ones that are only reported are not kept. */
    private static final int MAX_LEAVING = 4_096;

    private final Map<String, Pause> mPauses = new HashMap<>();
    private final Map<String, Leaving> mLeaving = new HashMap<>();
    private final RandomGenerator mRandom;
    private PeerView mPeers = PeerView.ALONE;

    /**
     * Creates an object without pauses.
     *
     * @param random source of randomness for the times after which callers come back
     */
    UpstreamPauses(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * A pause and the recovery after it.
     *
     * @param until end of the pause
     * @param next number of requests that this instance may have sent since the end of the pause
     *     when it may send the next one
     * @param place number of requests that it may have sent when the next refused caller should
     *     come back
     */
    private record Pause(long until, double next, double place) {
        boolean isOver(long nowNanos) {
            return secondsSinceEnd(nowNanos) >= RECOVERY_SECONDS;
        }

        double secondsSinceEnd(long nowNanos) {
            return (nowNanos - until) / NANOS_PER_SECOND;
        }
    }

    /**
     * A process that has announced its end.
     *
     * @param at time at which this became known
     * @param observed whether it was announced to this instance
     */
    private record Leaving(long at, boolean observed) {}

    /** Updates the instances that share the rate after a pause. */
    void updatePeers(PeerView peers) {
        mPeers = peers;
    }

    /** Records that a process wants no requests for a time. */
    void recordPause(String process, Duration pause, long nowNanos) {
        Duration bounded = pause.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause;
        long until = nowNanos + bounded.toNanos();
        Pause known = mPauses.get(process);
        if (known == null || until - known.until() > 0) {
            double turn = turn(process);
            mPauses.put(process, new Pause(until, turn, turn));
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
        if (known == null && !observed && mLeaving.size() >= MAX_LEAVING) {
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
        return OptionalLong.of(pause == null ? 0 : waitNanos(pause, pause.next(), nowNanos));
    }

    /**
     * Returns the time after which the next caller that is refused should come back. Callers come
     * back at the rate at which requests may start, one for each place.
     */
    long retryNanos(Upstream upstream, long nowNanos) {
        Pause pause = mPauses.get(upstream.process());
        return pause == null ? 0 : waitNanos(pause, place(pause, nowNanos), nowNanos);
    }

    /**
     * Records that a caller was told to come back after {@link #retryNanos}. Once callers come back
     * until the end of the recovery, further ones come back between them.
     */
    void recordRetry(Upstream upstream, long nowNanos) {
        Pause pause = mPauses.get(upstream.process());
        if (pause != null) {
            double next = place(pause, nowNanos) + 1;
            double place =
                    next <= permittedAfter(RECOVERY_SECONDS)
                            ? next
                            : firstPlace(pause, nowNanos) + mRandom.nextDouble();
            mPauses.put(upstream.process(), new Pause(pause.until(), pause.next(), place));
        }
    }

    void recordSent(Upstream upstream, long nowNanos) {
        Pause pause = mPauses.get(upstream.process());
        if (pause != null) {
            double permitted = permittedAfter(pause.secondsSinceEnd(nowNanos));
            double next = Math.max(pause.next(), permitted - BURST) + 1;
            mPauses.put(upstream.process(), new Pause(pause.until(), next, pause.place()));
        }
    }

    private double place(Pause pause, long nowNanos) {
        return Math.max(pause.place(), firstPlace(pause, nowNanos));
    }

    private double firstPlace(Pause pause, long nowNanos) {
        return Math.max(pause.next(), permittedAfter(pause.secondsSinceEnd(nowNanos)));
    }

    private long waitNanos(Pause pause, double requests, long nowNanos) {
        if (pause.isOver(nowNanos)) {
            return 0;
        }
        long since = (long) Math.ceil(secondsUntil(requests) * NANOS_PER_SECOND);
        return Math.max(0, pause.until() + since - nowNanos);
    }

    /**
     * Returns when this instance may send its first request after a pause, as a part of the time in
     * which each instance may send one. The instances take turns in the order of their positions.
     */
    private double turn(String process) {
        long instances = mPeers.instances();
        long first = Math.floorMod(Rendezvous.hash(process), instances);
        return (double) Math.floorMod(mPeers.position() - first, instances) / instances;
    }

    /** Returns the number of requests that this instance may send within a time after a pause. */
    private double permittedAfter(double seconds) {
        double steady = Math.clamp(seconds, 0, STEADY_SECONDS);
        double growing = Math.clamp(seconds, STEADY_SECONDS, RECOVERY_SECONDS) - STEADY_SECONDS;
        double doublings = growing / DOUBLING_SECONDS;
        double time = steady + DOUBLING_SECONDS * (Math.pow(2, doublings) - 1) / Math.log(2);
        return RECOVERY_RATE * time / mPeers.instances();
    }

    /** Returns the inverse of {@link #permittedAfter}, at most the time of the recovery. */
    private double secondsUntil(double requests) {
        double time = requests * mPeers.instances() / RECOVERY_RATE;
        if (time <= STEADY_SECONDS) {
            return time;
        }
        double growth = 1 + (time - STEADY_SECONDS) * Math.log(2) / DOUBLING_SECONDS;
        double seconds = STEADY_SECONDS + DOUBLING_SECONDS * Math.log(growth) / Math.log(2);
        return Math.min(RECOVERY_SECONDS, seconds);
    }

    void expire(long nowNanos) {
        mPauses.values().removeIf(pause -> pause.isOver(nowNanos));
        mLeaving.values().removeIf(leaving -> nowNanos - leaving.at() > MAX_PAUSE.toNanos());
    }
}
