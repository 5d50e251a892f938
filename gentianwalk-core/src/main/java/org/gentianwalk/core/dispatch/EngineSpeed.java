package org.gentianwalk.core.dispatch;

import java.time.Duration;

/** Estimates prefill rate and output pauses of the engines of a service from their answers. */
final class EngineSpeed {
    /** Initial prefill rate, tokens per nanosecond: 5 tokens per millisecond. */
    private static final double INITIAL_PREFILL_RATE = 5e-6;

    private static final double RATE_WEIGHT = 0.1;

    /** Initial estimate of the pause between output events. */
    private static final double INITIAL_PAUSE_NANOS = 200e6;

    /**
     * The estimate rises fast and falls very slowly, so that it follows the longest usual pauses,
     * which occur while an engine prefills another prompt. These are rare when there are few
     * prompts; with a threshold that had fallen meanwhile, every engine in prefill would count as
     * silent.
     */
    private static final double RISE_WEIGHT = 0.2;

    private static final double FALL_WEIGHT = 0.00002;

    /** Allowance for delays of the network and of the instance itself. */
    private static final long SILENCE_MARGIN_NANOS = Duration.ofMillis(80).toNanos();

    private static final double SILENCE_FACTOR = 1.25;

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
        if (nanos <= 0 || nanos > silenceTimeoutNanos()) {
            return;
        }
        double difference = nanos - mPause;
        mPause += difference * (difference > 0 ? RISE_WEIGHT : FALL_WEIGHT);
    }

    /** Returns the prefill rate, tokens per nanosecond. */
    double prefillTokensPerNano() {
        return mPrefillRate;
    }

    /** Returns the time without an output event after which an engine counts as silent. */
    long silenceTimeoutNanos() {
        return Math.round(mPause * SILENCE_FACTOR) + SILENCE_MARGIN_NANOS;
    }
}
