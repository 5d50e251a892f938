package org.gentianwalk.core.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.gentianwalk.core.policy.PolicyOptions;

/**
 * Detects stalled and slow engines of a pool by their token gaps relative to their peers, and
 * ejects them. Only a limited share of the pool is ejected at the same time: when more engines are
 * silent, a network failure is more likely.
 */
public final class HealthMonitor {
    /** Minimum stall timeout; one long prefill must not be taken for a stall. */
    private static final long MIN_STALL_NANOS = 500_000_000L;

    /** Ratio of an engine's mean token gap to the pool's median from which it counts as slow. */
    private static final double SLOW_FACTOR = 4;

    private static final int MIN_GAPS = 50;

    private final PolicyOptions.Health mOptions;

    /**
     * Creates a monitor.
     *
     * @param options timeouts and the bound on ejections
     */
    public HealthMonitor(PolicyOptions.Health options) {
        mOptions = options;
    }

    /**
     * Detects silent and slow engines and ejects them up to the bound.
     *
     * @param pool the engines of the pool
     * @param nowNanos current time
     * @return the silent engines, whose running work should move; slow ones keep theirs
     */
    public List<EngineState> check(Collection<EngineState> pool, long nowNanos) {
        double median = medianGapNanos(pool);
        long stall = stallTimeoutNanos(median);
        List<EngineState> silent = new ArrayList<>();
        int ejected = 0;
        for (EngineState engine : pool) {
            ejected += engine.health().isEjected() ? 1 : 0;
        }
        int bound = (int) Math.floor(pool.size() * mOptions.ejectedPart());
        for (EngineState engine : pool) {
            EngineHealth health = engine.health();
            boolean isSilent = health.silenceNanos(nowNanos) > stall || engine.isSilent(nowNanos);
            boolean isSlow =
                    health.gapCount() >= MIN_GAPS
                            && median > 0
                            && health.meanGapNanos() > SLOW_FACTOR * median;
            if (isSilent) {
                silent.add(engine);
                health.markSilent(nowNanos);
            }
            if ((isSilent || isSlow) && !health.isEjected() && ejected < bound) {
                health.eject(mOptions.ejection().toNanos(), nowNanos);
                ejected++;
            }
        }
        return silent;
    }

    /**
     * Returns the time without a token after which an engine counts as stalled.
     *
     * @param medianGapNanos median of the mean gaps of the pool
     * @return nanoseconds, at most the configured timeout
     */
    public long stallTimeoutNanos(double medianGapNanos) {
        long most = mOptions.stallTimeout().toNanos();
        if (medianGapNanos <= 0) {
            return most;
        }
        long relative = (long) (medianGapNanos * mOptions.gapFactor());
        return Math.min(most, Math.max(MIN_STALL_NANOS, relative));
    }

    private static double medianGapNanos(Collection<EngineState> pool) {
        double[] gaps = new double[pool.size()];
        int count = 0;
        for (EngineState engine : pool) {
            if (engine.health().gapCount() >= MIN_GAPS) {
                gaps[count++] = engine.health().meanGapNanos();
            }
        }
        if (count == 0) {
            return 0;
        }
        java.util.Arrays.sort(gaps, 0, count);
        return gaps[count / 2];
    }
}
