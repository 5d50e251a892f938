package org.gentianwalk.core.policy.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.Scheduler.Availability;
import org.gentianwalk.core.policy.Scheduler.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * Load and availability of an engine as one instance sees them, from the engine's delayed load
 * reports and from this instance's own work there. The load of other instances is the reported load
 * minus the own work at the time of the report.
 */
public final class EngineState {
    /**
     * Fraction of the free slots that the instances may take between two reports. A report does not
     * include the slots that other instances took while it was in transit; 0.5 overfilled the
     * engines at the start of a flood.
     */
    private static final double SLOT_SHARE_FACTOR = 0.3;

    /** Number of consecutive missed reports after which an engine counts as silent. */
    private static final double MISSED_REPORTS = 3;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MIN_REPORT_SILENCE_NANOS = 1_500_000_000L;

    /** Time without a response to a check, after which the engine counts as unresponsive. */
    private static final long MIN_UNRESPONSIVE_NANOS = 1_000_000_000L;

    private static final long MIN_REPORT_INTERVAL_NANOS = 250_000_000L;
    private static final double INTERVAL_SMOOTHING_FACTOR = 0.2;

    private final Distance mDistance;
    private final long mLagNanos;
    private final EngineHealth mHealth = new EngineHealth();
    private final Deque<Change> mChanges = new ArrayDeque<>();
    private UpstreamInfo mInfo;
    private Availability mAvailability = Availability.LIVE;
    private boolean mDraining;
    private int mOwnGenerations;
    private int mSuspects;
    private double mOtherGenerations;
    private double mPrefillTokens;
    private double mLoadAtReport;
    private double mRoundingDraw;
    private int mTakenSlots;
    private long mReportAt;
    private double mMeanReportInterval;
    private @Nullable LoadReport mReport;

    /**
     * Creates the state of an engine without a report.
     *
     * @param info the engine
     * @param distance its distance from this instance
     * @param lagNanos age of its reports on receipt
     */
    public EngineState(UpstreamInfo info, Distance distance, long lagNanos) {
        mInfo = info;
        mDistance = distance;
        mLagNanos = lagNanos;
    }

    /**
     * Replaces the description.
     *
     * @param info the engine's current settings
     */
    public void updateInfo(UpstreamInfo info) {
        mInfo = info;
    }

    /**
     * Returns the description.
     *
     * @return the engine
     */
    public UpstreamInfo info() {
        return mInfo;
    }

    /**
     * Returns the identifier.
     *
     * @return the engine's identifier
     */
    public String id() {
        return mInfo.id();
    }

    /**
     * Returns the distance from this instance.
     *
     * @return the distance
     */
    public Distance distance() {
        return mDistance;
    }

    /**
     * Returns the health record.
     *
     * @return the health of this engine
     */
    public EngineHealth health() {
        return mHealth;
    }

    /**
     * Records a load report.
     *
     * @param report the report
     * @param draw a random number from 0 to 1 for randomized rounding of this instance's share of
     *     the free slots
     * @param nowNanos time of receipt
     */
    public void recordReport(LoadReport report, double draw, long nowNanos) {
        int ownAtReport = mOwnGenerations;
        for (Change change : mChanges) {
            if (change.atNanos() > nowNanos - mLagNanos) {
                ownAtReport -= change.delta();
            }
        }
        mOtherGenerations = Math.max(0, report.running() + report.waiting() - ownAtReport);
        mDraining = report.draining();
        if (mReport != null) {
            mMeanReportInterval +=
                    INTERVAL_SMOOTHING_FACTOR * (nowNanos - mReportAt - mMeanReportInterval);
        }
        mReport = report;
        mReportAt = nowNanos;
        mHealth.recordSignOfLife();
        mLoadAtReport = load();
        mRoundingDraw = draw;
        mTakenSlots = 0;
    }

    /**
     * Records the start of this instance's work.
     *
     * @param prefillTokens tokens that the engine has to prefill
     * @param suspect true for a suspect
     * @param nowNanos current time
     */
    public void workStarted(double prefillTokens, boolean suspect, long nowNanos) {
        recordChange(1, nowNanos);
        mPrefillTokens += prefillTokens;
        mSuspects += suspect ? 1 : 0;
    }

    /**
     * Records the first token of this instance's work.
     *
     * @param prefillTokens the tokens passed at its start
     */
    public void prefillFinished(double prefillTokens) {
        mPrefillTokens = Math.max(0, mPrefillTokens - prefillTokens);
    }

    /**
     * Records the end of this instance's work.
     *
     * @param suspect true for a suspect
     * @param nowNanos current time
     */
    public void workEnded(boolean suspect, long nowNanos) {
        recordChange(-1, nowNanos);
        mSuspects -= suspect ? 1 : 0;
        if (mOwnGenerations == 0) {
            mPrefillTokens = 0;
        }
    }

    /**
     * Changes the availability. An engine that is leaving stays so until it is lost and returns.
     *
     * @param availability the new state
     */
    public void updateAvailability(Availability availability) {
        mAvailability = availability;
    }

    /**
     * Returns whether new work may be sent.
     *
     * @param nowNanos current time
     * @return true for a live engine that is not draining and whose health allows a request
     */
    public boolean isUsable(long nowNanos) {
        return mAvailability == Availability.LIVE
                && !mDraining
                && mHealth.isUsable(
                        mOwnGenerations, mReport == null ? nowNanos : mReportAt, nowNanos);
    }

    /**
     * Returns whether neither reports nor tokens arrive any more.
     *
     * @param nowNanos current time
     * @return true when several consecutive reports are missing and no token arrived since the last
     *     one
     */
    public boolean isSilent(long nowNanos) {
        double timeout = Math.max(MIN_REPORT_SILENCE_NANOS, MISSED_REPORTS * mMeanReportInterval);
        return mReport != null
                && nowNanos - mReportAt > timeout
                && (mOwnGenerations == 0 || mHealth.lastTokenAt() <= mReportAt);
    }

    /**
     * Returns whether there was no sign of life since the engine became silent.
     *
     * @return false for an engine that does not report, since it may give no sign when it is idle
     */
    public boolean isKnownSilent() {
        return mReport != null && mHealth.isSilent();
    }

    /**
     * Returns whether a check that was made after the engine became silent got no response for a
     * second. The next check is made within a report interval.
     *
     * @param nowNanos current time
     * @return false for an engine that was never heard of, since it may not report at all
     */
    public boolean isUnresponsive(long nowNanos) {
        double interval = Math.max(MIN_REPORT_INTERVAL_NANOS, mMeanReportInterval);
        return mReport != null
                && mHealth.knownSilenceNanos(nowNanos)
                        > MIN_UNRESPONSIVE_NANOS + interval + mLagNanos;
    }

    /**
     * Returns whether the engine's process is known to have ended.
     *
     * @return true while nothing listens at its address
     */
    public boolean isProcessEnded() {
        return mAvailability == Availability.ENDED;
    }

    /**
     * Returns whether the engine was alive after a time. A report is older than its receipt.
     *
     * @param nanos the time
     * @return true when a token or a report shows it
     */
    public boolean hasSignOfLifeSince(long nanos) {
        return mHealth.lastTokenAt() - nanos > 0
                || mReport != null && mReportAt - mLagNanos - nanos > 0;
    }

    /**
     * Returns the last signs of life, for the log.
     *
     * @param nowNanos current time
     * @return the engine and the times since its last token and its last report
     */
    public String silenceText(long nowNanos) {
        return "engine %s is silent: last token %s, last report %s"
                .formatted(
                        id(),
                        age(mHealth.lastTokenAt(), nowNanos),
                        mReport == null ? "never" : age(mReportAt, nowNanos));
    }

    private static String age(long atNanos, long nowNanos) {
        return (nowNanos - atNanos) / NANOS_PER_MILLI + " ms ago";
    }

    /**
     * Returns the estimated number of generations in the engine.
     *
     * @return generations of this and of other instances, running and waiting
     */
    public double load() {
        return mOtherGenerations + mOwnGenerations;
    }

    /**
     * Returns the number of this instance's generations.
     *
     * @return generations of this instance that run on the engine
     */
    public int ownGenerations() {
        return mOwnGenerations;
    }

    /**
     * Returns the number of this instance's suspects.
     *
     * @return suspects of this instance that run on the engine
     */
    public int suspects() {
        return mSuspects;
    }

    /**
     * Returns the tokens to prefill of this instance's work that has no output yet.
     *
     * @return tokens
     */
    public double prefillTokens() {
        return mPrefillTokens;
    }

    /**
     * Returns the last report.
     *
     * @return the report, or null before the first one
     */
    public @Nullable LoadReport report() {
        return mReport;
    }

    /**
     * Returns whether this instance may take another slot before the next report. All instances see
     * the same free slots, so each may take only its share of them, plus the slots that its own
     * work frees; otherwise they would overfill the engine.
     *
     * @param limit maximum number of generations in the engine
     * @param sharers number of instances that share the engine
     * @return true when a slot of the share is left
     */
    public boolean hasSlotShareLeft(double limit, int sharers) {
        if (sharers <= 1 || mReport == null) {
            return true;
        }
        return mTakenSlots
                < Math.floor(SLOT_SHARE_FACTOR * (limit - mLoadAtReport) / sharers + mRoundingDraw);
    }

    private void recordChange(int delta, long nowNanos) {
        mOwnGenerations += delta;
        mTakenSlots += delta;
        mChanges.addLast(new Change(nowNanos, delta));
        while (!mChanges.isEmpty() && mChanges.getFirst().atNanos() < nowNanos - mLagNanos) {
            mChanges.removeFirst();
        }
    }

    private record Change(long atNanos, int delta) {}
}
