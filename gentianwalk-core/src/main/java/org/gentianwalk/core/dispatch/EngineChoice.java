package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.route.EngineSpec;
import org.jspecify.annotations.Nullable;

/** Chooses the engine of an attempt and the engine that keeps a copy of its memory. */
final class EngineChoice {
    /**
     * Delay, by what an engine has to read and by the generations that a prompt would slow, at
     * which a generation that has just arrived is sent there. It covers the time until other
     * instances learn of it, so that engines do not run dry.
     */
    private static final long MAX_DELAY_NANOS = Duration.ofMillis(400).toNanos();

    /**
     * Delay that each generation bringing output is worth when a prompt is placed. Every step that
     * reads a part of a prompt takes five times as long for them.
     */
    private static final long DECODING_COST_NANOS = Duration.ofMillis(150).toNanos();

    /** Part of an engine's memory that is planned for; estimates of the output are often off. */
    private static final double MEMORY_PART = 0.92;

    /** Backlog that a longer path to an engine is worth. */
    private static final long ZONE_COST_NANOS = Duration.ofMillis(20).toNanos();

    private static final long REGION_COST_NANOS = Duration.ofMillis(60).toNanos();

    /**
     * The same in a wide fleet, where the load of another region is known with a delay of seconds:
     * many instances would otherwise send their prompts to the same engine there.
     */
    private static final long FAR_COST_NANOS = Duration.ofMillis(900).toNanos();

    private static final long TIE_COST_NANOS = Duration.ofMillis(10).toNanos();

    /** Backlog that a full memory is worth, so that load spreads. */
    private static final long MEMORY_COST_NANOS = Duration.ofMillis(300).toNanos();

    /** Time in which an engine fetches a prompt that another one keeps. */
    private static final double FETCH_NANOS = Duration.ofMillis(250).toNanos();

    /** Fill of memory that a keeper in another region of a wide fleet is worth. */
    private static final double KEEPER_FAR = 0.4;

    /** Fill of a keeper's memory that a tie is worth. */
    private static final double KEEPER_TIE = 0.01;

    private final EngineSpec mSpec;
    private final LocationMap mLocations;
    private final EngineBoard mBoard;
    private final EnginePace mPace;
    private final RandomGenerator mRandom;
    private boolean mWide;

    EngineChoice(
            EngineSpec spec,
            LocationMap locations,
            EngineBoard board,
            EnginePace pace,
            RandomGenerator random) {
        mSpec = spec;
        mLocations = locations;
        mBoard = board;
        mPace = pace;
        mRandom = random;
    }

    /** Sets whether the load of other regions is known with a delay only. */
    void wide(boolean wide) {
        mWide = wide;
    }

    /** Returns the engine that is best to read a prompt, or null when the run should wait. */
    @Nullable EngineState engine(StreamRun run, long nowNanos) {
        EngineState best = null;
        double bestCost = 0;
        EngineState holder = mBoard.holder(run.part(), nowNanos);
        long limit = limit(run, nowNanos);
        for (EngineState engine : mBoard.engines()) {
            if (!mBoard.isUsable(engine, nowNanos) || engine.running() >= mSpec.slots()) {
                continue;
            }
            double memory = (double) engine.memory() / mSpec.memoryTokens();
            if (memory + (double) run.memory() / mSpec.memoryTokens() > MEMORY_PART) {
                continue;
            }
            double delay =
                    engine.backlog(mPace.tokensPerNano(), nowNanos)
                            + (double) engine.decoding() * DECODING_COST_NANOS;
            boolean far = mWide && isFar(engine);
            if (delay + (far ? FAR_COST_NANOS : 0) > limit) {
                continue;
            }
            double toRead = toReadNanos(engine, holder, run);
            double cost =
                    delay
                            + toRead
                            + memory * MEMORY_COST_NANOS
                            + distanceCost(engine)
                            + TIE_COST_NANOS * mRandom.nextDouble();
            if (best == null || cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns an engine of another zone than the given one that can go on after a loss, or null.
     */
    @Nullable EngineState keeper(EngineState engine, StreamRun run, long nowNanos) {
        EngineState best = null;
        double bestCost = 0;
        for (EngineState other : mBoard.engines()) {
            if (other.upstream().zone().equals(engine.upstream().zone())
                    || !hasRoom(other, run, nowNanos)) {
                continue;
            }
            double fill = (double) other.memory() / mSpec.memoryTokens();
            double cost = fill + KEEPER_TIE * mRandom.nextDouble();
            if (mWide && isFar(other)) {
                cost += KEEPER_FAR;
            }
            if (best == null || cost < bestCost) {
                best = other;
                bestCost = cost;
            }
        }
        return best;
    }

    private double toReadNanos(EngineState engine, @Nullable EngineState holder, StreamRun run) {
        if (engine == holder) {
            return 0;
        }
        double reading = run.promptTokens() / mPace.tokensPerNano();
        return holder == null ? reading : Math.min(reading, FETCH_NANOS);
    }

    private boolean hasRoom(EngineState engine, StreamRun run, long nowNanos) {
        double fill = (double) (engine.memory() + run.memory()) / mSpec.memoryTokens();
        return fill <= MEMORY_PART
                && engine.running() < mSpec.slots()
                && mBoard.isUsable(engine, nowNanos);
    }

    /** Returns the delay that a run accepts: the longer it has waited, the more. */
    private static long limit(StreamRun run, long nowNanos) {
        if (run.isInterrupted()) {
            return Long.MAX_VALUE;
        }
        return MAX_DELAY_NANOS + (nowNanos - run.work().arrivedNanos()) / 2;
    }

    private boolean isFar(EngineState engine) {
        return mLocations.distance(engine.upstream().zone()) == Distance.OTHER_REGION;
    }

    private long distanceCost(EngineState engine) {
        return switch (mLocations.distance(engine.upstream().zone())) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> ZONE_COST_NANOS;
            case OTHER_REGION -> mWide ? FAR_COST_NANOS : REGION_COST_NANOS;
        };
    }
}
