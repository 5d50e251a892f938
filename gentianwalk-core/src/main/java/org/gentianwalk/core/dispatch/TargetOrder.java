package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Orders the generations of a rank by the latest time at which they have to start to meet their
 * targets. Those that have missed their target follow by arrival. In both groups, the generations
 * of a team that got more than others move back by up to their target.
 */
final class TargetOrder implements QueueOrder {
    /** Fraction of the time limit after which a waiting generation is no longer overtaken. */
    private static final double OVERTAKEN_FRACTION = 0.5;

    /**
     * Excess of a team that got twice an equal share. Its requests may still be overtaken by other
     * teams, since the team as a whole does not starve.
     */
    private static final double LARGE_EXCESS = 0.5;

    /** Backlog at which an engine stays busy until the next report of its load arrives. */
    private static final long MAX_EXCESS_BACKLOG_NANOS = Duration.ofMillis(500).toNanos();

    /** Time left to a generation at which it no longer waits for a silent engine. */
    private static final long SILENCE_SLACK_NANOS = Duration.ofMillis(1_000).toNanos();

    /**
     * Time before the latest start at which a place is taken although it was kept for others, so
     * that the reserve never makes a generation late.
     */
    private static final long LAST_CHANCE_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Fraction of the tight target that the prompts before a loose one may take at an engine. The
     * rest is for the prefill of a later tight prompt and that of the prompt in progress, which it
     * can't overtake. The length of the loose prompt does not count, since it can be overtaken.
     */
    private static final double FILLED_TARGET = 0.4;

    /**
     * One of this many engines keeps a place for tight targets. Tight streams were 7% of all where
     * targets differed, and their places become free again, so a place at each engine would leave
     * too much capacity unused.
     */
    private static final int ENGINES_PER_RESERVE = 4;

    private static final Duration MIN_RETRY = Duration.ofMillis(500);

    /** Random part of the time after which rejected callers come back. */
    private static final double RETRY_SPREAD = 0.5;

    private static final Comparator<Entry> ORDER =
            Comparator.comparingInt(Entry::rank)
                    .thenComparing(Entry::group)
                    .thenComparingLong(Entry::key)
                    .thenComparingLong(Entry::arrivedNanos)
                    .thenComparingLong(entry -> entry.run().work().id());

    private final EngineSpeed mSpeed;
    private final RandomGenerator mRandom;
    private final TeamShares mShares = new TeamShares();
    private final DrainRate mDrainRate = new DrainRate();

    /** Shortest target of the service; longer ones are loose. */
    private long mTightNanos;

    private boolean mDistinguishesTargets;

    TargetOrder(EngineSpeed speed, RandomGenerator random) {
        mSpeed = speed;
        mRandom = random;
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
        mShares.compareTeams(waiting, nowNanos);
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
        double excess = mShares.excess(run);
        if (isNoLongerOvertaken(run, nowNanos) && excess < LARGE_EXCESS) {
            return new Entry(run, work.priority(), Group.NOT_OVERTAKEN, arrived, arrived);
        }
        long slack = slackNanos(run, nowNanos);
        long handicap = Math.round(excess * (work.targetNanos() - work.arrivedNanos()));
        return slack >= 0
                ? new Entry(run, work.priority(), Group.MEETS_TARGET, slack + handicap, arrived)
                : new Entry(run, work.priority(), Group.MISSES_TARGET, arrived + handicap, arrived);
    }

    @Override
    public void recordStart(StreamRun run, long nowNanos) {
        mShares.recordStart(run, nowNanos);
        mDrainRate.recordStart(run.promptTokens(), nowNanos);
    }

    @Override
    public void recordQueue(boolean waits, long nowNanos) {
        mDrainRate.recordQueue(waits, nowNanos);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A tight generation overtakes loose ones in the queue of the engine, so it goes to any
     * engine at once where it would meet its target even behind them. Otherwise loose ones of other
     * instances, which accept long delays as they have waited longer, would take the places.
     */
    @Override
    public long acceptedDelayNanos(StreamRun run, long usualNanos, long nowNanos) {
        if (!mDistinguishesTargets || isLoose(run)) {
            return usualNanos;
        }
        return Math.max(usualNanos, slackNanos(run, nowNanos));
    }

    /**
     * {@inheritDoc}
     *
     * <p>A generation does not wait at an engine beyond its deadline, as it would leave the queue
     * that tells whether it can be served. One of a team that got more than others does not fill
     * the queues of engines, where others could no longer overtake it.
     *
     * <p>A loose generation is placed where a tight one that arrives next would meet its target,
     * and leaves it a place at some engines, unless waiting longer would make it late itself.
     */
    @Override
    public boolean permits(StreamRun run, Place place, long nowNanos) {
        if (run.mayHaveRun() || run.isInterrupted()) {
            return true;
        }
        long outputAt = nowNanos + place.backlogNanos() + prefillNanos(run);
        boolean tooLate = place.backlogNanos() > 0 && outputAt - run.work().deadlineNanos() > 0;
        if (tooLate
                || mShares.excess(run) >= LARGE_EXCESS
                        && place.backlogNanos() > MAX_EXCESS_BACKLOG_NANOS) {
            return false;
        }
        return !isLoose(run) || leavesPlace(run, place, nowNanos);
    }

    private boolean leavesPlace(StreamRun run, Place place, long nowNanos) {
        long slack = slackNanos(run, nowNanos);
        boolean lastChance = slack >= 0 && slack - place.backlogNanos() <= LAST_CHANCE_NANOS;
        if (lastChance || isNoLongerOvertaken(run, nowNanos)) {
            return true;
        }
        if (place.backlogNanos() > FILLED_TARGET * mTightNanos) {
            return false;
        }
        boolean keepsPlace = Math.floorMod(place.engine().hashCode(), ENGINES_PER_RESERVE) == 0;
        return !keepsPlace || place.freeSlots() > 1 && place.freeMemory() >= 2 * run.memory();
    }

    @Override
    public @Nullable Duration rejection(StreamRun run, long tokensAhead, long nowNanos) {
        OptionalDouble rate = mDrainRate.tokensPerNano(nowNanos);
        if (rate.isEmpty() || run.mayHaveRun() || run.isInterrupted()) {
            return null;
        }
        double wait = tokensAhead / rate.getAsDouble();
        double excess = wait + prefillNanos(run) - (run.work().deadlineNanos() - nowNanos);
        if (excess <= 0) {
            return null;
        }
        double retry = excess * (1 + RETRY_SPREAD * mRandom.nextDouble());
        return Duration.ofNanos(Math.max(MIN_RETRY.toNanos(), Math.round(retry)));
    }

    /**
     * {@inheritDoc}
     *
     * <p>A prompt waits while another engine could still meet its target later. A stream in the
     * middle of its output waits when a new prefill would exceed the maximum pause as well.
     */
    @Override
    public boolean waitsForSilentEngine(StreamRun run, long nowNanos) {
        if (!run.hasOutput()) {
            return slackNanos(run, nowNanos) > SILENCE_SLACK_NANOS;
        }
        long paused = nowNanos - run.lastOutput();
        return paused + prefillNanos(run) > run.work().maxPauseNanos();
    }

    private static boolean isNoLongerOvertaken(StreamRun run, long nowNanos) {
        Work work = run.work();
        long limit = work.deadlineNanos() - work.arrivedNanos();
        return nowNanos - work.arrivedNanos() >= limit * OVERTAKEN_FRACTION;
    }

    /** Returns the time until a generation has to start to meet its target. */
    private long slackNanos(StreamRun run, long nowNanos) {
        return run.work().targetNanos() - nowNanos - prefillNanos(run);
    }

    private long prefillNanos(StreamRun run) {
        return Math.round(run.promptTokens() / mSpeed.prefillTokensPerNano());
    }

    private boolean isLoose(StreamRun run) {
        Work work = run.work();
        return mDistinguishesTargets && work.targetNanos() - work.arrivedNanos() > mTightNanos;
    }
}
