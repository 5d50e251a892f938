package org.gentianwalk.core.policy.routing;

/**
 * Health of one engine: token gaps, and whether it is usable, ejected or on probation. After an
 * ejection, one request is sent as a probe; its first token ends the probation, another failure
 * doubles the ejection time.
 */
public final class EngineHealth {
    private static final double GAIN = 0.05;
    private static final int MAX_DOUBLINGS = 4;

    private double mGapNanos;
    private int mGaps;
    private long mLastToken;
    private int mDecoding;
    private State mState = State.USABLE;
    private long mEjectedAt;
    private long mEjectedUntil;
    private int mFailures;

    /**
     * Records a token of a running generation.
     *
     * @param gapNanos time since the generation's previous token, or 0 for its first one
     * @param nowNanos time of receipt
     */
    public void token(long gapNanos, long nowNanos) {
        mLastToken = nowNanos;
        if (gapNanos > 0) {
            mGapNanos += (gapNanos - mGapNanos) * (mGaps == 0 ? 1 : GAIN);
            mGaps++;
        }
        if (mState == State.PROBATION) {
            mState = State.USABLE;
            mFailures = 0;
            mGaps = 0;
        }
    }

    /**
     * Updates the number of generations that produce tokens.
     *
     * @param delta 1 at the first token, -1 at the end
     */
    public void decoding(int delta) {
        mDecoding += delta;
    }

    /**
     * Returns the time since the last token while any generation produces tokens.
     *
     * @param nowNanos current time
     * @return nanoseconds; 0 when no token is expected
     */
    public long silence(long nowNanos) {
        return mDecoding == 0 ? 0 : nowNanos - mLastToken;
    }

    /**
     * Returns the time of the last token.
     *
     * @return monotonic nanoseconds, 0 before the first token
     */
    public long lastToken() {
        return mLastToken;
    }

    /**
     * Returns the mean token gap.
     *
     * @return nanoseconds
     */
    public double gapNanos() {
        return mGapNanos;
    }

    /**
     * Returns the number of token gaps in the mean.
     *
     * @return gaps since the last ejection
     */
    public int gaps() {
        return mGaps;
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
        mGaps = 0;
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
        boolean isBack = nowNanos >= mEjectedUntil && reportAt > mEjectedAt;
        if (mState == State.EJECTED && isBack) {
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
