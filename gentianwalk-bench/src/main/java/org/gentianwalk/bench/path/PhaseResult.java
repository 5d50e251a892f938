package org.gentianwalk.bench.path;

import org.HdrHistogram.Histogram;

/**
 * Measured values of one benchmark phase.
 *
 * @param delays time from sending a token at the engine to receiving it at the caller, µs
 * @param tokens number of received tokens
 * @param wrong number of streams whose output differed from the expected one
 * @param seconds duration of the phase
 * @param cpuSeconds CPU time of the whole process
 * @param heapBytes heap in use in the middle of the phase, after a garbage collection; 0 if not
 *     measured
 */
public record PhaseResult(
        Histogram delays,
        long tokens,
        long wrong,
        double seconds,
        double cpuSeconds,
        long heapBytes) {
    PhaseResult plus(PhaseResult other) {
        Histogram sum = delays.copy();
        sum.add(other.delays);
        return new PhaseResult(
                sum,
                tokens + other.tokens,
                wrong + other.wrong,
                seconds + other.seconds,
                cpuSeconds + other.cpuSeconds,
                Math.max(heapBytes, other.heapBytes));
    }

    PhaseResult withHeap(long bytes) {
        return new PhaseResult(delays, tokens, wrong, seconds, cpuSeconds, bytes);
    }
}
