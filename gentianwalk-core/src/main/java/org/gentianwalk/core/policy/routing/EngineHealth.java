package org.gentianwalk.core.policy.routing;

/**
 * Health of one engine: token gaps, and whether it is usable, ejected or on probation. After an
 * ejection, one request is sent as a probe; its first token ends the probation, another failure
 * doubles the ejection time.
 */
public final class EngineHealth {
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final int MAX_DOUBLINGS = 4;

    private double mMeanGapNanos;
    private int mGapCount;
    private long mLastTokenAt;
    private int mDecoding;
    private State mState = State.USABLE;
    private long mEjectedAt;
    private long mEjectedUntil;
    private int mFailures;
    private boolean mSilent;
    private long mSilentAt;

    /**
     * Records a token of a running generation.
     *
     * @param gapNanos time since the generation's previous token, or 0 for its first one
     * @param nowNanos time of receipt
     */
    public void recordToken(long gapNanos, long nowNanos) {
        mLastTokenAt = nowNanos;
        mSilent = false;
        if (gapNanos > 0) {
            mMeanGapNanos += (gapNanos - mMeanGapNanos) * (mGapCount == 0 ? 1 : SMOOTHING_FACTOR);
            mGapCount++;
        }
        if (mState == State.PROBATION) {
            mState = State.USABLE;
            mFailures = 0;
            mGapCount = 0;
        }
    }

    /**
     * Updates the number of generations that produce tokens.
     *
     * @param delta 1 at the first token, -1 at the end
     */
    public void updateDecoding(int delta) {
        mDecoding += delta;
    }

    /**
     * Returns the time since the last token while any generation produces tokens.
     *
     * @param nowNanos current time
     * @return nanoseconds; 0 when no token is expected
     */
    public long silenceNanos(long nowNanos) {
        return mDecoding == 0 ? 0 : nowNanos - mLastTokenAt;
    }

    /**
     * Records that the engine is silent, until its next sign of life.
     *
     * @param nowNanos current time
     */
    public void markSilent(long nowNanos) {
        if (!mSilent) {
            mSilent = true;
            mSilentAt = nowNanos;
        }
    }

    /** Records a sign of life other than a token. */
    public void recordSignOfLife() {
        mSilent = false;
    }

    /**
     * Measures the silence from now on, since this process was paused.
     *
     * @param nowNanos current time
     */
    public void restartSilence(long nowNanos) {
        mSilentAt = nowNanos;
    }

    /**
     * Returns whether there was no sign of life since the engine became silent.
     *
     * @return true while it is silent
     */
    public boolean isSilent() {
        return mSilent;
    }

    /**
     * Returns for how long the engine has been known to be silent.
     *
     * @param nowNanos current time
     * @return nanoseconds since the silence was detected; 0 when it is not silent
     */
    public long knownSilenceNanos(long nowNanos) {
        return mSilent ? nowNanos - mSilentAt : 0;
    }

    /**
     * Returns the time of the last token.
     *
     * @return monotonic nanoseconds, 0 before the first token
     */
    public long lastTokenAt() {
        return mLastTokenAt;
    }

    /**
     * Returns the mean token gap.
     *
     * @return nanoseconds
     */
    public double meanGapNanos() {
        return mMeanGapNanos;
    }

    /**
     * Returns the number of token gaps in the mean.
     *
     * @return gaps since the last ejection
     */
    public int gapCount() {
        return mGapCount;
    }

    /**
     * Ejects the engine.
     *
     * @param baseNanos duration of the first ejection, nanoseconds; doubles with each consecutive
     *     failure, at most four times
     * @param nowNanos current time
     */
    public void eject(long baseNanos, long nowNanos) {
        if (mState == State.EJECTED && nowNanos < mEjectedUntil) {
            return;
        }
        mState = State.EJECTED;
        mEjectedAt = nowNanos;
        mEjectedUntil = nowNanos + (baseNanos << Math.min(mFailures, MAX_DOUBLINGS));
        mFailures++;
        mGapCount = 0;
    }

    /**
     * Returns whether a request may be sent. Starts the probation when the ejection has ended.
     *
     * @param own generations of this instance that run on the engine
     * @param reportAt time of the engine's last load report
     * @param nowNanos current time
     * @return true when usable, or on probation without a running request
     */
    public boolean isUsable(int own, long reportAt, long nowNanos) {
        // Without a load report since the ejection, the engine is probably still down and the probe
        // would be another failed attempt.
        boolean canProbe = nowNanos >= mEjectedUntil && reportAt > mEjectedAt;
        if (mState == State.EJECTED && canProbe) {
            mState = State.PROBATION;
        }
        return mState == State.USABLE || mState == State.PROBATION && own == 0;
    }

    /**
     * Returns whether the engine is ejected or on probation.
     *
     * @return true unless it is usable without restriction
     */
    public boolean isEjected() {
        return mState != State.USABLE;
    }

    private enum State {
        USABLE,
        EJECTED,
        PROBATION
    }
}
