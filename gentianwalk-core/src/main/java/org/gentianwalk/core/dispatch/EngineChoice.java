package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.route.EngineSpec;
import org.jspecify.annotations.Nullable;

/** Chooses the engine of an attempt and the engine that keeps a copy of its memory. */
final class EngineChoice {
    /**
     * Reading that an engine may have before it when a new generation is sent there. It covers the
     * time until other instances learn of it, so that engines do not run dry.
     */
    private static final long MAX_BACKLOG_NANOS = Duration.ofMillis(400).toNanos();

    /** Part of an engine's memory that is planned for; estimates of the output are often off. */
    private static final double MEMORY_PART = 0.92;

    /** Backlog that a longer path to an engine is worth. */
    private static final long ZONE_COST_NANOS = Duration.ofMillis(20).toNanos();

    private static final long REGION_COST_NANOS = Duration.ofMillis(60).toNanos();
    private static final long TIE_COST_NANOS = Duration.ofMillis(10).toNanos();

    /** Backlog that a full memory is worth, so that load spreads. */
    private static final long MEMORY_COST_NANOS = Duration.ofMillis(300).toNanos();

    /** Fill of a keeper's memory that a tie is worth. */
    private static final double KEEPER_TIE = 0.01;

    private final EngineSpec mSpec;
    private final LocationMap mLocations;
    private final EngineBoard mBoard;
    private final EnginePace mPace;
    private final RandomGenerator mRandom;

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

    /** Returns the engine with the least time to the first output, or null when none has room. */
    @Nullable EngineState engine(StreamRun run, long nowNanos) {
        EngineState best = null;
        double bestCost = 0;
        EngineState holder = run.isInterrupted() ? mBoard.findByPart(run.part()) : null;
        for (EngineState engine : mBoard.engines()) {
            if (!mBoard.isUsable(engine, nowNanos) || engine.running() >= mSpec.slots()) {
                continue;
            }
            long backlog = engine.backlog(mPace.tokensPerNano(), nowNanos);
            double memory = (double) engine.memory() / mSpec.memoryTokens();
            double fill = memory + (double) run.memory() / mSpec.memoryTokens();
            if (backlog > MAX_BACKLOG_NANOS && !run.isInterrupted() || fill > MEMORY_PART) {
                continue;
            }
            double toRead = engine == holder ? 0 : run.promptTokens() / mPace.tokensPerNano();
            double cost =
                    backlog
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

    /** Returns an engine of another zone than the given one with the most room, or null. */
    @Nullable EngineState keeper(EngineState engine, StreamRun run, long nowNanos) {
        if (!mSpec.keepsCopies() || !run.work().kind().isRepeatable()) {
            return null;
        }
        EngineState best = null;
        double bestCost = 0;
        for (EngineState other : mBoard.engines()) {
            if (other.upstream().zone().equals(engine.upstream().zone())
                    || !mBoard.isUsable(other, nowNanos)) {
                continue;
            }
            double fill = (double) (other.memory() + run.memory()) / mSpec.memoryTokens();
            if (fill > MEMORY_PART) {
                continue;
            }
            double cost = fill + KEEPER_TIE * mRandom.nextDouble();
            if (best == null || cost < bestCost) {
                best = other;
                bestCost = cost;
            }
        }
        return best;
    }

    private long distanceCost(EngineState engine) {
        return switch (mLocations.distance(engine.upstream().zone())) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> ZONE_COST_NANOS;
            case OTHER_REGION -> REGION_COST_NANOS;
        };
    }
}
