package org.gentianwalk.core.dispatch;

import java.time.Duration;

/** Estimates prefill rate and output pauses of the engines of a service from their answers. */
final class EngineSpeed {
    /** Initial prefill rate, tokens per nanosecond: 5 tokens per millisecond. */
    private static final double INITIAL_PREFILL_RATE = 5e-6;

    private static final double RATE_WEIGHT = 0.1;

    /** Initial estimate of the pause between output events, nanoseconds. */
    private static final double INITIAL_PAUSE_NANOS = 200e6;

    /**
     * Pauses from this fraction to this multiple of the estimate count as pauses during prefill,
     * whose typical length is estimated. They are rare when there are few prompts, so the much
     * shorter pauses between them must not lower the estimate.
     */
    private static final double TYPICAL_MIN = 0.6;

    private static final double TYPICAL_MAX = 1.3;
    private static final double TYPICAL_WEIGHT = 0.1;

    /** Weight of longer pauses, which mostly come from machines that are slow for a moment. */
    private static final double LONG_WEIGHT = 0.01;

    private static final double SHORT_WEIGHT = 0.00002;

    /** Pauses are recorded as at most this multiple of the estimate. */
    private static final double MAX_RATIO = 4;

    /** Allowance for delays of the network and of the instance itself. */
    private static final long SUSPICION_MARGIN_NANOS = Duration.ofMillis(25).toNanos();

    private static final double SUSPICION_FACTOR = 1.1;

    private double mPrefillRate = INITIAL_PREFILL_RATE;
    private double mPause = INITIAL_PAUSE_NANOS;

    /** Records the prefill time of a prompt that did not queue behind another one. */
    void recordPrefill(int tokens, long nanos) {
        if (tokens > 0 && nanos > 0) {
            mPrefillRate += RATE_WEIGHT * ((double) tokens / nanos - mPrefillRate);
        }
    }

    /** Records the longest pause of a series of output events. */
    void recordPause(long nanos) {
        if (nanos <= 0) {
            return;
        }
        double ratio = nanos / mPause;
        double weight =
                ratio < TYPICAL_MIN
                        ? SHORT_WEIGHT
                        : ratio > TYPICAL_MAX ? LONG_WEIGHT : TYPICAL_WEIGHT;
        mPause += weight * (Math.min(ratio, MAX_RATIO) - 1) * mPause;
    }

    /** Returns the prefill rate, tokens per nanosecond. */
    double prefillTokensPerNano() {
        return mPrefillRate;
    }

    /** Returns the time without an output event after which an engine is checked. */
    long suspicionNanos() {
        return Math.round(mPause * SUSPICION_FACTOR) + SUSPICION_MARGIN_NANOS;
    }
}
