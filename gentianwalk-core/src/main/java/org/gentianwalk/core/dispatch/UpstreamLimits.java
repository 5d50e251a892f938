package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.policy.routing.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the requests to upstreams within what they ask for: a limit for all instances together, a
 * pause for this instance, or no requests any more since the process is about to end.
 *
 * <p>A limit is divided evenly between instances, without messages for single requests. When it is
 * smaller than the number of instances, only some of them use the upstream, evenly spread over
 * zones and a different selection for each upstream, since each one may send a request at the same
 * moment.
 *
 * <p>The last statement holds, whichever instance received it. A limit that is not stated again,
 * because nobody sends requests, is relaxed step by step, so that its end does not release the
 * requests of all instances at once.
 */
public final class UpstreamLimits {
    /** Time after which a limit that was not stated again is relaxed. */
    private static final long RELAXATION_START_NANOS = Duration.ofSeconds(10).toNanos();

    /** Time in which a limit that is not stated again doubles. */
    private static final long DOUBLING_NANOS = Duration.ofSeconds(2).toNanos();

    /** Time after which a limit that was not stated again is dropped. */
    private static final long LIFETIME_NANOS = Duration.ofSeconds(30).toNanos();

    /** Time for which a statement is reported; covers the repetition of lost reports. */
    private static final long REPORT_NANOS = Duration.ofMillis(2_500).toNanos();

    /** Limits reported in one message; bounds its size. */
    private static final int MAX_REPORTED = 256;

    /** Instances that may use an upstream, for each request a second of its limit. */
    private static final double USERS_PER_REQUEST = 2;

    /** Relative change of a limit from which on other instances are notified at once. */
    private static final double SIGNIFICANT_CHANGE = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RandomGenerator mRandom;
    private final UpstreamPauses mPauses;
    private final Map<String, Limit> mLimits = new LinkedHashMap<>();
    private PeerView mPeers = PeerView.ALONE;
    private long mChanges;

    /**
     * Creates an object without limits.
     *
     * @param random source of randomness for the first request after a statement
     */
    public UpstreamLimits(RandomGenerator random) {
        mRandom = random;
        mPauses = new UpstreamPauses(random);
    }

    /** Limit of one upstream process, and this instance's requests to it. */
    private static final class Limit {
        double mRequestsPerSecond;
        long mStatedAt;
        long mObservedAt;
        boolean mObserved;
        double mTokens;
        long mTokensAt;

        boolean isNone() {
            return mRequestsPerSecond == StatedLimit.NONE;
        }

        double currentRate(long nowNanos) {
            long overdue = nowNanos - mStatedAt - RELAXATION_START_NANOS;
            return overdue <= 0
                    ? mRequestsPerSecond
                    : mRequestsPerSecond * Math.pow(2, (double) overdue / DOUBLING_NANOS);
        }
    }

    /**
     * Records what an upstream stated in a response to this instance.
     *
     * @param upstream the upstream
     * @param requestsPerSecond its limit, or null when the response states none
     * @param nowNanos time of receipt
     */
    public void recordStatement(
            Upstream upstream, @Nullable Double requestsPerSecond, long nowNanos) {
        double rate = requestsPerSecond == null ? StatedLimit.NONE : requestsPerSecond;
        Limit known = mLimits.get(upstream.process());
        if (known == null && rate == StatedLimit.NONE) {
            return;
        }
        Limit limit = record(upstream.process(), rate, nowNanos, nowNanos);
        limit.mObserved = true;
        limit.mObservedAt = nowNanos;
    }

    /**
     * Records that an upstream wants no requests from this instance for a time.
     *
     * @param upstream the upstream
     * @param pause the time; not positive for none
     * @param nowNanos time of receipt
     */
    public void recordPause(Upstream upstream, Duration pause, long nowNanos) {
        if (pause.isPositive()) {
            mPauses.recordPause(upstream.process(), pause, nowNanos);
        }
    }

    /**
     * Records that the process of an upstream is about to end. It gets no requests any more,
     * whatever the list of upstreams states; a process with a later start time does.
     *
     * @param upstream the upstream
     * @param nowNanos time of receipt
     * @return whether that was not known
     */
    public boolean recordLeaving(Upstream upstream, long nowNanos) {
        boolean changed = mPauses.recordLeaving(upstream.process(), true, nowNanos);
        mChanges += changed ? 1 : 0;
        return changed;
    }

    /**
     * Records the processes that have announced their end to another instance.
     *
     * @param processes identifiers of the processes
     * @param nowNanos time of receipt
     */
    public void mergeLeaving(List<String> processes, long nowNanos) {
        processes.forEach(process -> mPauses.recordLeaving(process, false, nowNanos));
    }

    /**
     * Returns the processes that have announced their end to this instance lately.
     *
     * @param nowNanos current time
     * @return identifiers of the processes, to report to other instances
     */
    public List<String> recentlyLeaving(long nowNanos) {
        return mPauses.recentlyLeaving(nowNanos);
    }

    /**
     * Returns whether an upstream wants nothing from this instance at present, checks included.
     *
     * @param upstream the upstream
     * @param nowNanos current time
     * @return true until the end of the pause that it asked for
     */
    public boolean isPausing(Upstream upstream, long nowNanos) {
        return mPauses.isPausing(upstream, nowNanos);
    }

    /**
     * Returns the processes that want no requests from this instance now.
     *
     * @param nowNanos current time
     * @return identifiers of the processes that pause or are about to end
     */
    public Set<String> closedProcesses(long nowNanos) {
        return Set.copyOf(mPauses.closed(nowNanos));
    }

    /**
     * Returns whether the process of an upstream has announced its end.
     *
     * @param upstream the upstream
     * @return true when it gets no requests any more
     */
    public boolean isLeaving(Upstream upstream) {
        return mPauses.isLeaving(upstream);
    }

    /**
     * Records the limits that another instance reports.
     *
     * @param limits its latest statements
     * @param nowNanos time of receipt
     */
    public void merge(List<StatedLimit> limits, long nowNanos) {
        for (StatedLimit stated : limits) {
            long at = nowNanos - stated.ageMs() * NANOS_PER_MILLI;
            Limit known = mLimits.get(stated.process());
            if (known == null || at - known.mStatedAt > 0) {
                record(stated.process(), stated.requestsPerSecond(), at, nowNanos);
            }
        }
    }

    private Limit record(String process, double rate, long statedAt, long nowNanos) {
        Limit limit = mLimits.get(process);
        if (limit == null) {
            limit = new Limit();
            limit.mRequestsPerSecond = StatedLimit.NONE;
            mLimits.put(process, limit);
        }
        boolean started = limit.isNone() && rate != StatedLimit.NONE;
        if (started) {
            limit.mTokens = mRandom.nextDouble();
            limit.mTokensAt = nowNanos;
        }
        boolean lifted = !limit.isNone() && rate == StatedLimit.NONE;
        double change = Math.abs(rate - limit.mRequestsPerSecond);
        if (started || lifted || change > SIGNIFICANT_CHANGE * limit.mRequestsPerSecond) {
            mChanges++;
        }
        limit.mRequestsPerSecond = rate;
        limit.mStatedAt = statedAt;
        return limit;
    }

    /**
     * Returns a counter that increases when other instances should be notified.
     *
     * @return the counter
     */
    public long changes() {
        return mChanges;
    }

    /**
     * Returns what upstreams have stated to this instance lately.
     *
     * @param nowNanos current time
     * @return the statements to report to other instances
     */
    public List<StatedLimit> recentStatements(long nowNanos) {
        List<StatedLimit> recent = new ArrayList<>();
        mLimits.forEach(
                (process, limit) -> {
                    if (limit.mObserved
                            && nowNanos - limit.mObservedAt <= REPORT_NANOS
                            && recent.size() < MAX_REPORTED) {
                        int age = (int) ((nowNanos - limit.mStatedAt) / NANOS_PER_MILLI);
                        recent.add(
                                new StatedLimit(
                                        process, limit.mRequestsPerSecond, Math.max(0, age)));
                    }
                });
        return recent;
    }

    /**
     * Updates the instances between which limits are divided.
     *
     * @param peers the live instances
     */
    public void updatePeers(PeerView peers) {
        mPeers = peers;
        mPauses.updatePeers(peers);
    }

    /**
     * Removes pauses that are over, and limits that have not been stated for a long time.
     *
     * @param nowNanos current time
     */
    public void expire(long nowNanos) {
        mPauses.expire(nowNanos);
        Iterator<Limit> limits = mLimits.values().iterator();
        while (limits.hasNext()) {
            if (nowNanos - limits.next().mStatedAt > LIFETIME_NANOS) {
                limits.remove();
            }
        }
    }

    /**
     * Returns whether an upstream has a limit, so that a response without one lifts it.
     *
     * @param upstream the upstream
     * @return true while a limit is in force
     */
    public boolean isLimited(Upstream upstream) {
        Limit limit = mLimits.get(upstream.process());
        return limit != null && !limit.isNone();
    }

    /**
     * Returns the upstreams with a limit in force.
     *
     * @return identifiers of their processes
     */
    public Set<String> limitedProcesses() {
        Set<String> limited = new HashSet<>();
        mLimits.forEach(
                (process, limit) -> {
                    if (!limit.isNone()) {
                        limited.add(process);
                    }
                });
        return Set.copyOf(limited);
    }

    /**
     * Returns whether this instance may send a request now.
     *
     * @param upstream the upstream
     * @param nowNanos current time
     * @return false when the request would exceed this instance's part of the limit, or the
     *     upstream wants no requests
     */
    public boolean isPermitted(Upstream upstream, long nowNanos) {
        OptionalLong wait = waitNanos(upstream, nowNanos);
        return wait.isPresent() && wait.getAsLong() == 0;
    }

    /**
     * Returns the time until this instance may send a request.
     *
     * @param upstream the upstream
     * @param nowNanos current time
     * @return nanoseconds, 0 for now; empty when other instances use the upstream, or when it is
     *     about to end
     */
    public OptionalLong waitNanos(Upstream upstream, long nowNanos) {
        OptionalLong pause = mPauses.waitNanos(upstream, nowNanos);
        OptionalLong limit = limitWaitNanos(upstream, nowNanos);
        return pause.isEmpty() || limit.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(pause.getAsLong(), limit.getAsLong()));
    }

    /**
     * Returns the time after which a caller that is refused should come back. Callers that are told
     * so one after the other come back one after the other, as requests may start after pauses.
     *
     * @param upstreams the upstreams that could run the request later
     * @param nowNanos current time
     * @return nanoseconds; empty when this instance may use none of the upstreams
     */
    public OptionalLong reserveRetry(Collection<Upstream> upstreams, long nowNanos) {
        Upstream first = null;
        long shortest = 0;
        for (Upstream upstream : upstreams) {
            OptionalLong wait = waitNanos(upstream, nowNanos);
            if (wait.isEmpty()) {
                continue;
            }
            long retry = Math.max(wait.getAsLong(), mPauses.retryNanos(upstream, nowNanos));
            if (first == null || retry < shortest) {
                first = upstream;
                shortest = retry;
            }
        }
        if (first == null) {
            return OptionalLong.empty();
        }
        mPauses.recordRetry(first, nowNanos);
        // Callers learn it in milliseconds, and would be refused again if they came too early.
        return OptionalLong.of(Math.ceilDiv(shortest, NANOS_PER_MILLI) * NANOS_PER_MILLI);
    }

    private OptionalLong limitWaitNanos(Upstream upstream, long nowNanos) {
        Limit limit = mLimits.get(upstream.process());
        if (limit == null || limit.isNone()) {
            return OptionalLong.of(0);
        }
        double rate = limit.currentRate(nowNanos);
        int users = users(rate);
        if (rate <= 0 || !isUser(upstream.process(), users)) {
            return OptionalLong.empty();
        }
        refill(limit, rate, users, nowNanos);
        double missing = 1 - limit.mTokens;
        return OptionalLong.of(
                missing <= 0 ? 0 : (long) Math.ceil(missing * users / rate * NANOS_PER_SECOND));
    }

    /**
     * Records that a request was sent.
     *
     * @param upstream the upstream
     * @param nowNanos current time
     */
    public void recordSent(Upstream upstream, long nowNanos) {
        mPauses.recordSent(upstream, nowNanos);
        Limit limit = mLimits.get(upstream.process());
        if (limit != null && !limit.isNone()) {
            double rate = limit.currentRate(nowNanos);
            refill(limit, rate, users(rate), nowNanos);
            limit.mTokens -= 1;
        }
    }

    private void refill(Limit limit, double rate, int users, long nowNanos) {
        double part = rate / users;
        double tokens = limit.mTokens + part * (nowNanos - limit.mTokensAt) / NANOS_PER_SECOND;
        limit.mTokens = Math.min(tokens, Math.max(1, part));
        limit.mTokensAt = nowNanos;
    }

    private int users(double rate) {
        return (int) Math.max(1, Math.min(mPeers.instances(), rate * USERS_PER_REQUEST));
    }

    /** Returns whether this instance is among those that use an upstream. */
    private boolean isUser(String process, int users) {
        long instances = mPeers.instances();
        long first = Math.floorMod(Rendezvous.hash(process), instances);
        long offset = Math.floorMod(mPeers.position() - first, instances);
        long index = (offset * users + instances - 1) / instances;
        return index < users && index * instances / users == offset;
    }
}
