package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/** Observes how fast the queue of an instance is served while generations wait in it. */
final class DrainRate {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    /** Shorter periods and fewer starts say too little to reject a request for them. */
    private static final long MIN_PERIOD_NANOS = Duration.ofSeconds(2).toNanos();

    private static final int MIN_STARTS = 3;

    private final Deque<Start> mStarts = new ArrayDeque<>();
    private long mTokens;
    private boolean mWaits;
    private long mWaitsSince;

    private record Start(long atNanos, int tokens) {}

    /** Records whether generations wait. */
    void recordQueue(boolean waits, long nowNanos) {
        if (waits == mWaits) {
            return;
        }
        mWaits = waits;
        mWaitsSince = nowNanos;
        mStarts.clear();
        mTokens = 0;
    }

    /** Records that the next generation gets an engine. */
    void recordStart(int tokens, long nowNanos) {
        if (mWaits) {
            mStarts.add(new Start(nowNanos, tokens));
            mTokens += tokens;
        }
    }

    /** Returns the prompt tokens started per nanosecond; empty while too little is known. */
    OptionalDouble tokensPerNano(long nowNanos) {
        while (!mStarts.isEmpty() && nowNanos - mStarts.getFirst().atNanos() > WINDOW_NANOS) {
            mTokens -= mStarts.removeFirst().tokens();
        }
        long period = Math.min(WINDOW_NANOS, nowNanos - mWaitsSince);
        if (!mWaits || period < MIN_PERIOD_NANOS || mStarts.size() < MIN_STARTS) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of((double) mTokens / period);
    }
}
