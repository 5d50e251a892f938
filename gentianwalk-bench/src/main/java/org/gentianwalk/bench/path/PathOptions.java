package org.gentianwalk.bench.path;

import java.time.Duration;

/**
 * Load of the path benchmark.
 *
 * <p>Example: {@code PathOptions.DEFAULT}.
 *
 * @param streams concurrent streams, at most 4,000
 * @param tokensPerSecond total output rate of all streams
 * @param duration duration of each phase, at most two minutes
 * @param rounds number of runs of each phase, at most 5
 */
public record PathOptions(int streams, int tokensPerSecond, Duration duration, int rounds) {
    private static final int MAX_STREAMS = 4000;
    private static final int MAX_ROUNDS = 5;
    private static final Duration MAX_DURATION = Duration.ofMinutes(2);

    /** The target load of the design page: 1,000 streams and 10,000 tokens per second. */
    public static final PathOptions DEFAULT =
            new PathOptions(1000, 10_000, Duration.ofSeconds(10), 2);

    public PathOptions {
        if (streams < 1 || streams > MAX_STREAMS) {
            throw new IllegalArgumentException("streams must be from 1 to " + MAX_STREAMS);
        }
        if (tokensPerSecond < streams) {
            throw new IllegalArgumentException("each stream needs at least one token a second");
        }
        if (duration.compareTo(MAX_DURATION) > 0 || rounds < 1 || rounds > MAX_ROUNDS) {
            throw new IllegalArgumentException(
                    "at most " + MAX_ROUNDS + " rounds of " + MAX_DURATION);
        }
    }

    Duration tokenInterval() {
        return Duration.ofNanos(1_000_000_000L * streams / tokensPerSecond);
    }

    int tokensPerStream() {
        return (int) (duration.toNanos() / tokenInterval().toNanos());
    }
}
