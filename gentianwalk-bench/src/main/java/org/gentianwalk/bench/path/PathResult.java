package org.gentianwalk.bench.path;

import java.util.Locale;

/**
 * Results of the direct phases and of the phases through the instance.
 *
 * @param options the load
 * @param direct result of callers that connect to the engines
 * @param through result of callers that connect to the instance
 */
public record PathResult(PathOptions options, PhaseResult direct, PhaseResult through) {
    private static final double MICROS_PER_MILLI = 1000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int BYTES_PER_KIB = 1024;

    /**
     * Returns the delay that the instance adds.
     *
     * @param percentile from 0 to 100
     * @return difference between the two distributions at the percentile, ms
     */
    public double addedMillis(double percentile) {
        long with = through.delays().getValueAtPercentile(percentile);
        long without = direct.delays().getValueAtPercentile(percentile);
        return (with - without) / MICROS_PER_MILLI;
    }

    /**
     * Returns the CPU time that the instance adds per token.
     *
     * @return µs of one core
     */
    public double addedCpuMicrosPerToken() {
        double with = through.cpuSeconds() / through.tokens();
        double without = direct.cpuSeconds() / direct.tokens();
        return (with - without) * MICROS_PER_SECOND;
    }

    /**
     * Returns the CPU usage that the instance adds per stream.
     *
     * @return fraction of one core
     */
    public double addedCoresPerStream() {
        double with = through.cpuSeconds() / through.seconds();
        double without = direct.cpuSeconds() / direct.seconds();
        return (with - without) / options.streams();
    }

    /**
     * Returns the heap usage that the instance adds per stream.
     *
     * @return KiB
     */
    public double addedKibPerStream() {
        return (double) (through.heapBytes() - direct.heapBytes())
                / options.streams()
                / BYTES_PER_KIB;
    }

    /**
     * Formats the results as text.
     *
     * @return several lines
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%d streams, %d tokens a second asked for, %d rounds of %d s%n",
                        options.streams(),
                        options.tokensPerSecond(),
                        options.rounds(),
                        options.duration().toSeconds()));
        appendPhase(text, "direct", direct);
        appendPhase(text, "through", through);
        text.append(
                String.format(
                        Locale.ROOT,
                        "added    p50 %.2f ms  p99 %.2f ms  p99.9 %.2f ms%n",
                        addedMillis(50),
                        addedMillis(99),
                        addedMillis(99.9)));
        text.append(
                String.format(
                        Locale.ROOT,
                        "added    CPU %.1f us a token, %.4f cores a stream; heap %.1f KiB a"
                                + " stream%n",
                        addedCpuMicrosPerToken(),
                        addedCoresPerStream(),
                        addedKibPerStream()));
        return text.toString();
    }

    private static void appendPhase(StringBuilder text, String name, PhaseResult phase) {
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-8s p50 %.2f ms  p99 %.2f ms  p99.9 %.2f ms  %.0f tokens a second, %d"
                                + " wrong answers, %.2f cores, heap %d MiB%n",
                        name,
                        phase.delays().getValueAtPercentile(50) / MICROS_PER_MILLI,
                        phase.delays().getValueAtPercentile(99) / MICROS_PER_MILLI,
                        phase.delays().getValueAtPercentile(99.9) / MICROS_PER_MILLI,
                        phase.tokens() / phase.seconds(),
                        phase.wrong(),
                        phase.cpuSeconds() / phase.seconds(),
                        phase.heapBytes() >> 20));
    }
}
