package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Orders the generations of a rank by the latest time at which they have to start to meet their
 * targets. Those that have missed their target follow by arrival.
 */
final class TargetOrder implements QueueOrder {
    /** Fraction of the time limit after which a waiting generation is no longer overtaken. */
    private static final double OVERTAKEN_FRACTION = 0.5;

    private static final Comparator<Entry> ORDER =
            Comparator.comparingInt(Entry::rank)
                    .thenComparing(Entry::group)
                    .thenComparingLong(Entry::key)
                    .thenComparingLong(Entry::arrivedNanos)
                    .thenComparingLong(entry -> entry.run().work().id());

    private final EngineSpeed mSpeed;

    /** Targets shorter than the longest one of the service, up to this value, are tight. */
    private long mTightNanos;

    private boolean mDistinguishesTargets;

    TargetOrder(EngineSpeed speed) {
        mSpeed = speed;
    }

    /** Groups within a rank, in the order of service. */
    private enum Group {
        NOT_OVERTAKEN,
        MEETS_TARGET,
        MISSES_TARGET
    }

    /**
     * A waiting generation with its place in the order, which is computed once per sort.
     *
     * @param run the generation
     * @param rank its rank; negative for an interrupted stream
     * @param group its group within the rank
     * @param key position within the group, relative to the current time
     * @param arrivedNanos arrival, relative to the current time
     */
    private record Entry(StreamRun run, int rank, Group group, long key, long arrivedNanos) {}

    /** Replaces the different targets of the service's routes. */
    void targets(Set<Duration> targets) {
        mDistinguishesTargets = targets.size() > 1;
        mTightNanos = mDistinguishesTargets ? Collections.min(targets).toNanos() : 0;
    }

    @Override
    public void sort(List<StreamRun> waiting, long nowNanos) {
        List<Entry> entries = new ArrayList<>(waiting.size());
        for (StreamRun run : waiting) {
            entries.add(entry(run, nowNanos));
        }
        entries.sort(ORDER);
        for (int i = 0; i < entries.size(); i++) {
            waiting.set(i, entries.get(i).run());
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>Two values per rank keep those of a lower rank behind all of a higher one.
     */
    @Override
    public int urgency(StreamRun run) {
        if (run.isInterrupted()) {
            return 0;
        }
        int urgency = 1 + 2 * run.work().priority() + (isLoose(run) ? 1 : 0);
        return Math.min(LAST_URGENCY, urgency);
    }

    private Entry entry(StreamRun run, long nowNanos) {
        Work work = run.work();
        long arrived = work.arrivedNanos() - nowNanos;
        if (run.isInterrupted()) {
            // Ordered by rank and arrival, as the caller already waits for the next event.
            return new Entry(
                    run,
                    work.priority() - Integer.MAX_VALUE,
                    Group.NOT_OVERTAKEN,
                    arrived,
                    arrived);
        }
        long limit = work.deadlineNanos() - work.arrivedNanos();
        if (-arrived >= limit * OVERTAKEN_FRACTION) {
            return new Entry(run, work.priority(), Group.NOT_OVERTAKEN, arrived, arrived);
        }
        long slack = slackNanos(run, nowNanos);
        return slack >= 0
                ? new Entry(run, work.priority(), Group.MEETS_TARGET, slack, arrived)
                : new Entry(run, work.priority(), Group.MISSES_TARGET, arrived, arrived);
    }

    /** Returns the time until a generation has to start to meet its target. */
    private long slackNanos(StreamRun run, long nowNanos) {
        long prefill = Math.round(run.promptTokens() / mSpeed.prefillTokensPerNano());
        return run.work().targetNanos() - nowNanos - prefill;
    }

    private boolean isLoose(StreamRun run) {
        Work work = run.work();
        return mDistinguishesTargets && work.targetNanos() - work.arrivedNanos() > mTightNanos;
    }
}
