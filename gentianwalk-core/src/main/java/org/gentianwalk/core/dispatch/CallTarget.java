package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.CallOutcomes.Outcome;
import org.gentianwalk.core.model.Location.Distance;
import org.jspecify.annotations.Nullable;

/** State of one process of an upstream of a plain service. */
final class CallTarget implements LossEvidence.ObservedProcess {
    /** Round trip time between availability zones of a region, milliseconds. */
    private static final double ZONE_ROUND_TRIP_MILLIS = 3;

    /** Round trip time between regions, milliseconds. */
    private static final double REGION_ROUND_TRIP_MILLIS = 25;

    /**
     * Cost of a full upstream as a fraction of a call's duration; spreads load before queues form.
     */
    private static final double SPREAD_FRACTION = 0.3;

    /** Time over which reported loads are averaged; they are old when they arrive. */
    private static final double MEAN_LOAD_NANOS = Duration.ofMillis(1_000).toNanos();

    private static final double MIN_LOAD_WEIGHT = 0.1;

    /** Load that is assumed where it is not known. */
    private static final double UNKNOWN_LOAD = 0.5;

    /** Time for which an average load is used; it decays over as long a time after that. */
    private static final double KNOWN_LOAD_NANOS = Duration.ofMillis(2_000).toNanos();

    /** Least duration of a call without its round trip; bounds the effect of the estimate. */
    private static final double MIN_CALL_MILLIS = 1;

    private static final double MIN_SPEED_WEIGHT = 0.05;

    /** Number of average durations that are assumed before those of the upstream. */
    private static final double SPEED_PRIOR = 3;

    private static final double MAX_SPEED = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Time over which a load reported by an upstream decays linearly to zero. */
    private static final long REPORTED_LOAD_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Time over which a reported slowdown decays linearly to none. The machines that upstreams
     * share change their speed within about as much time.
     */
    private static final long SLOWDOWN_NANOS = Duration.ofMillis(600).toNanos();

    /** Cost of an upstream that has not answered since its last failure, milliseconds. */
    private static final double FAILURE_COST_MILLIS = 100;

    /** Cost of an upstream in backoff, or already tried for the call, milliseconds. */
    static final double LAST_RESORT_COST_MILLIS = 10_000;

    /**
     * Minimum time between the end of a process and the removal of its entry, which takes some
     * missed heartbeats. An entry that leaves the list earlier may come back.
     */
    private static final long MIN_REMOVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private Upstream mUpstream;
    private final LaterStart mLaterStart;
    private final Reachability mReachability = new Reachability();

    /** Start times of the calls in progress, in this order. */
    private final List<Long> mStarts = new ArrayList<>();

    private final CallOutcomes mOutcomes = new CallOutcomes();
    private double mMeanLoad;
    private double mMeanMillis;
    private int mDurations;
    private int mPeerRequests;
    private double mSlowdown = 1;
    private long mReportedAt;
    private boolean mReplaced;
    private @Nullable Long mUnlistedAt;
    private boolean mNotListening;
    private long mNotListeningAt;
    private long mSuccessor = Long.MIN_VALUE;
    private long mRefutedSuccessor = Long.MIN_VALUE;
    private @Nullable Long mAnsweredAt;
    private boolean mChecking;
    private @Nullable Long mCheckedAt;

    /** Start of the last check that ended without a response, or null. */
    private @Nullable Long mMissedAt;

    CallTarget(Upstream upstream, long nowNanos) {
        mUpstream = upstream;
        mLaterStart = new LaterStart(nowNanos);
    }

    @Override
    public Upstream upstream() {
        return mUpstream;
    }

    void upstream(Upstream upstream) {
        mUpstream = upstream;
    }

    /** Returns whether calls may be sent to the process. */
    boolean isUsable() {
        return !mReplaced && !mUpstream.draining();
    }

    /** Returns whether the process is avoided for a time after a failure. */
    boolean isBackingOff(long nowNanos) {
        return mReachability.isBackingOff(nowNanos);
    }

    /** Returns the rest of the time for which the process is avoided, nanoseconds. */
    long backoffNanos(long nowNanos) {
        return isBackingOff(nowNanos) ? mReachability.backoffUntil() - nowNanos : 0;
    }

    /** Records that the process has ended, although it may still be listed. */
    void markReplaced() {
        mReplaced = true;
    }

    /** Records that the entry of the process has left the list. */
    void markUnlisted(long nowNanos) {
        mUnlistedAt = nowNanos;
    }

    /** Records that the entry of the process is listed, perhaps again. */
    void markListed() {
        mUnlistedAt = null;
    }

    /** Returns whether the entry of the process has been away from the list since a time. */
    boolean isUnlistedSince(long nanos) {
        return mUnlistedAt != null && mUnlistedAt - nanos <= 0;
    }

    @Override
    public boolean hasEndedAfter(long lossNanos) {
        return mReplaced
                || mNotListening
                || mSuccessor > Math.max(mUpstream.incarnation(), mRefutedSuccessor)
                || mUnlistedAt != null && mUnlistedAt - lossNanos >= MIN_REMOVAL_NANOS;
    }

    /**
     * Records the latest start of a process that is listed at the same address. The entry of a
     * process that has crashed remains listed until its heartbeats are missed.
     *
     * @param incarnation start of that process, which may be this one
     */
    void recordSuccessor(long incarnation) {
        mSuccessor = incarnation;
    }

    @Override
    public boolean isAliveSince(long nanos) {
        return mAnsweredAt != null && mAnsweredAt - nanos >= 0;
    }

    @Override
    public boolean isCheckedSince(long nanos) {
        return mCheckedAt != null && mCheckedAt - nanos >= 0;
    }

    /**
     * Starts a liveness check.
     *
     * @param minIntervalNanos minimum time between the start of two checks
     * @return false when a check is in progress or the last one is too recent
     */
    boolean startCheck(long nowNanos, long minIntervalNanos) {
        if (mChecking || mCheckedAt != null && nowNanos - mCheckedAt < minIntervalNanos) {
            return false;
        }
        mChecking = true;
        mCheckedAt = nowNanos;
        return true;
    }

    /** Records the end of the liveness check in progress. */
    void endCheck(boolean responded) {
        mChecking = false;
        mMissedAt = responded ? null : mCheckedAt;
    }

    /** Returns whether a check that started at or after a time got no response. */
    boolean hasMissedCheckSince(long nanos) {
        return mMissedAt != null && mMissedAt - nanos >= 0;
    }

    /**
     * Records that a process that was started later has answered a check at the address.
     *
     * @return a time by which it had started
     */
    long recordLaterStart(long incarnation, long nowNanos) {
        return mLaterStart.record(mUpstream, incarnation, nowNanos);
    }

    /** Records that a check has shown that the process has ended. */
    void recordProcessEnd(long nowNanos) {
        mReachability.recordFailure(nowNanos);
        mNotListening = true;
        mNotListeningAt = nowNanos;
    }

    void recordStart(long nowNanos) {
        mStarts.add(nowNanos);
    }

    /** Removes a call that was started at a time. */
    void release(long startedNanos) {
        mStarts.remove((Long) startedNanos);
    }

    /** Returns the number of recent calls with an outcome. */
    int outcomes(Outcome outcome, long nowNanos) {
        return mOutcomes.count(outcome, nowNanos);
    }

    private static Outcome outcome(AttemptEnd answer) {
        return switch (answer) {
            case SUCCEEDED -> Outcome.SUCCEEDED;
            case ANSWERED_ERROR -> Outcome.ERROR;
            default -> Outcome.REJECTED;
        };
    }

    /** Records that a call was given up after it had been overdue. */
    void recordSilence(long nowNanos) {
        mOutcomes.record(Outcome.SILENT, nowNanos);
    }

    /**
     * Returns the fraction of the recent calls that were not answered. An upstream may leave a part
     * of its calls unanswered while it answers others and its liveness checks, so answers reduce
     * the fraction but don't reset it. It is 0 again some time after the last such call.
     *
     * @param overdueNanos time without an answer from which a call in progress counts
     */
    double silentFraction(long overdueNanos, long nowNanos) {
        int silent = mOutcomes.count(Outcome.SILENT, nowNanos);
        int overdue = 0;
        for (long start : mStarts) {
            if (nowNanos - start < overdueNanos) {
                break;
            }
            overdue++;
        }
        // One answer is assumed, so that a single call does not condemn an upstream.
        return (double) (silent + overdue) / (mOutcomes.total(nowNanos) + overdue + 1);
    }

    /** Returns the start of the oldest call in progress, or the current time if there is none. */
    long oldestStart(long nowNanos) {
        return mStarts.isEmpty() ? nowNanos : mStarts.getFirst();
    }

    /** Records the end of a call, which {@link #release} has been called for. */
    void recordEnd(AttemptEnd end, long startedNanos, long nowNanos) {
        switch (end) {
            case SUCCEEDED, ANSWERED_ERROR, REJECTED -> {
                mReachability.recordSuccess();
                mNotListening = false;
                // The other entry at the address is not valid.
                mRefutedSuccessor = mSuccessor;
                mAnsweredAt = nowNanos;
                mOutcomes.record(outcome(end), nowNanos);
            }
            case NOT_LISTENING, CRASHED -> {
                // The process may have been started again before the list shows it.
                recordProcessEnd(nowNanos);
            }
            case UNREACHABLE, RESET, LOST, GARBLED, STALLED -> {
                mReachability.recordFailure(nowNanos);
                if (!end.isNotSent() && startedNanos - mNotListeningAt > 0) {
                    // A connection was accepted, so the process listened again.
                    mNotListening = false;
                }
            }
            case MISDIRECTED -> mReplaced = true;
            default -> {
                // Nothing was sent, or another attempt was faster: no sign of the upstream's state.
            }
        }
    }

    /** Records that a call was not answered by its deadline. */
    void recordTimeout(long nowNanos) {
        mReachability.recordFailure(nowNanos);
    }

    void recordLoad(UpstreamLoad load, long nowNanos) {
        mPeerRequests = Math.max(0, load.running() + load.waiting() - mStarts.size());
        mSlowdown = load.slowdown();
        double age = nowNanos - mReportedAt;
        double weight = Math.max(MIN_LOAD_WEIGHT, age / (age + MEAN_LOAD_NANOS));
        mMeanLoad += weight * (load.running() + load.waiting() - mMeanLoad);
        mReportedAt = nowNanos;
    }

    /** Records the duration of a call that was answered. */
    void recordDuration(long nanos, Distance distance) {
        double millis =
                Math.max(MIN_CALL_MILLIS, nanos / NANOS_PER_MILLI - roundTripMillis(distance));
        mDurations++;
        mMeanMillis += Math.max(MIN_SPEED_WEIGHT, 1.0 / mDurations) * (millis - mMeanMillis);
    }

    /**
     * Returns the requests at the upstream in relation to its slots, averaged over a short time. An
     * old average is dropped, or an upstream that was full once would never be tried again.
     */
    double meanLoad(long nowNanos) {
        double left = 2 - (double) (nowNanos - mReportedAt) / KNOWN_LOAD_NANOS;
        double known = Math.min(1, Math.max(0, left));
        double load = known * mMeanLoad / mUpstream.slots() + (1 - known) * UNKNOWN_LOAD;
        return Math.max(load, (double) mStarts.size() / mUpstream.slots());
    }

    /**
     * Returns the speed of the upstream in relation to others, from the duration of its own
     * answers.
     *
     * @param callMillis mean duration of the calls to all upstreams
     */
    double speed(double callMillis) {
        double millis =
                (mDurations * mMeanMillis + SPEED_PRIOR * callMillis) / (mDurations + SPEED_PRIOR);
        return Math.min(MAX_SPEED, Math.max(1 / MAX_SPEED, callMillis / millis));
    }

    /** Returns the expected wait of a call on top of its own duration, milliseconds. */
    double cost(double callMillis, Distance distance, long nowNanos) {
        int slots = mUpstream.slots();
        double slowdown = slowdown(nowNanos);
        double load = mStarts.size() + peerRequests(nowNanos);
        double wait = Math.max(0, load + 1 - slots) / slots * callMillis * slowdown;
        wait += (slowdown - 1) * callMillis;
        double cost = wait + SPREAD_FRACTION * callMillis * load / slots;
        return cost + roundTripMillis(distance) + failureCost(nowNanos);
    }

    /** Returns the cost of failures that the upstream has not recovered from, milliseconds. */
    double failureCost(long nowNanos) {
        double cost = 0;
        if (mReachability.isFailing()) {
            cost += FAILURE_COST_MILLIS;
        }
        if (mReachability.isBackingOff(nowNanos)) {
            cost += LAST_RESORT_COST_MILLIS;
        }
        return cost;
    }

    /** Returns the estimated number of requests from other instances. */
    private double peerRequests(long nowNanos) {
        double left = 1 - (double) (nowNanos - mReportedAt) / REPORTED_LOAD_NANOS;
        return mPeerRequests * Math.max(0, left);
    }

    /** Returns the estimated factor by which work takes longer than usual. */
    private double slowdown(long nowNanos) {
        double left = 1 - (double) (nowNanos - mReportedAt) / SLOWDOWN_NANOS;
        return 1 + (mSlowdown - 1) * Math.max(0, left);
    }

    private static double roundTripMillis(Distance distance) {
        return switch (distance) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> ZONE_ROUND_TRIP_MILLIS;
            case OTHER_REGION -> REGION_ROUND_TRIP_MILLIS;
        };
    }
}
