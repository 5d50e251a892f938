package org.gentianwalk.core.dispatch;

import java.time.Duration;

/** How fast the engines of a service read prompts and bring output, learned from their answers. */
final class EnginePace {
    /** Reading rate assumed before the first answer: 5 tokens a millisecond. */
    private static final double FIRST_RATE = 5e-6;

    private static final double RATE_WEIGHT = 0.1;

    /** Pause assumed before the first events. */
    private static final double FIRST_PAUSE_NANOS = 200e6;

    /**
     * The estimate rises fast and hardly falls, so that it stays at the longest usual pauses: those
     * while an engine reads a prompt. These are rare when little is read, and a threshold that had
     * come down by then would take every engine that reads for a silent one.
     */
    private static final double RISE = 0.2;

    private static final double FALL = 0.00002;

    /** Time on top of the longest usual pause, for the network and the instance itself. */
    private static final long SILENCE_MARGIN_NANOS = Duration.ofMillis(80).toNanos();

    private static final double SILENCE_FACTOR = 1.25;

    private double mRate = FIRST_RATE;
    private double mPause = FIRST_PAUSE_NANOS;

    /** Records a prompt that was read without waiting for another. */
    void read(int tokens, long nanos) {
        if (tokens > 0 && nanos > 0) {
            mRate += RATE_WEIGHT * ((double) tokens / nanos - mRate);
        }
    }

    /** Records the longest of some pauses between events. */
    void paused(long nanos) {
        if (nanos <= 0 || nanos > silenceNanos()) {
            return;
        }
        double difference = nanos - mPause;
        mPause += difference * (difference > 0 ? RISE : FALL);
    }

    /** Returns the reading rate, tokens a nanosecond. */
    double tokensPerNano() {
        return mRate;
    }

    /** Returns the time without an event after which an engine is taken to be silent. */
    long silenceNanos() {
        return Math.round(mPause * SILENCE_FACTOR) + SILENCE_MARGIN_NANOS;
    }
}
