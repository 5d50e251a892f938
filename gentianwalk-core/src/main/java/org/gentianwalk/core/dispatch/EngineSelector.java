package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.route.EngineSpec;
import org.jspecify.annotations.Nullable;

/** Selects the engine of an attempt and the engine that keeps a copy of its KV cache. */
final class EngineSelector {
    /**
     * Maximum delay at an engine to which a newly arrived generation is still sent. The delay is
     * the prefill backlog plus the cost of slowing down decoding generations. The value covers the
     * time until other instances receive the load report, so that engines do not become idle.
     */
    private static final long MAX_DELAY_NANOS = Duration.ofMillis(400).toNanos();

    /**
     * Cost of each decoding generation at the engine that gets a prompt. A step that also prefills
     * part of a prompt takes five times as long as a pure decoding step.
     */
    private static final long DECODING_COST_NANOS = Duration.ofMillis(150).toNanos();

    /** Fraction of KV cache memory to fill; the rest absorbs errors in output length estimates. */
    private static final double MEMORY_FRACTION = 0.92;

    /** Cost of an engine in another availability zone, as an equivalent backlog. */
    private static final long ZONE_COST_NANOS = Duration.ofMillis(20).toNanos();

    /** Cost of an engine in another region, as an equivalent backlog. */
    private static final long REGION_COST_NANOS = Duration.ofMillis(60).toNanos();

    /**
     * Cost of an engine in another region of a wide fleet. There, load reports from other regions
     * arrive with a delay of seconds, and many instances would send their prompts to the same
     * engine.
     */
    private static final long WIDE_REGION_COST_NANOS = Duration.ofMillis(900).toNanos();

    /**
     * Cost of an engine at which a generation that has lost an engine before is still in prefill.
     * Apart from others, it loses no engine through them, and they lose none through it.
     */
    private static final long SUSPECT_COST_NANOS = Duration.ofSeconds(2).toNanos();

    /** Cost of an engine that fell silent and has shown no sign of life since. */
    private static final long SILENT_COST_NANOS = Duration.ofSeconds(2).toNanos();

    private static final long TIE_COST_NANOS = Duration.ofMillis(10).toNanos();

    /** Cost of full KV cache memory, as an equivalent backlog; spreads the load. */
    private static final long MEMORY_COST_NANOS = Duration.ofMillis(300).toNanos();

    /** Estimated time to fetch a cached prompt from another engine. */
    private static final double FETCH_NANOS = Duration.ofMillis(250).toNanos();

    /** Cost of a copy holder in another region of a wide fleet, as a fraction of its memory. */
    private static final double COPY_HOLDER_REGION_COST = 0.4;

    /**
     * Cost of a copy holder that may not accept the generation when it has to take over, as a
     * fraction of its memory.
     */
    private static final double COPY_HOLDER_LIMIT_COST = 1;

    /** Random cost that breaks ties between copy holders, as a fraction of their memory. */
    private static final double COPY_HOLDER_TIE_COST = 0.01;

    /**
     * Cost of the engine that is farthest from the own position on the ring of engines, as a
     * fraction of the prompt's prefill time. Instances at which requests arrive at the same moment
     * see the same load, and one of two prompts at the same engine waits for the prefill of the
     * other. The positions make them choose different engines of about the same load.
     */
    private static final double RING_COST = 0.2;

    private final EngineSpec mSpec;
    private final LocationMap mLocations;
    private final EngineView mEngineView;
    private final EngineSpeed mSpeed;
    private final UpstreamLimits mLimits;
    private final RandomGenerator mRandom;
    private VersionGate mGate = VersionGate.OPEN;
    private boolean mWide;
    private double mPosition;
    private PlacementBound mBound = PlacementBound.NONE;

    EngineSelector(
            EngineSpec spec,
            LocationMap locations,
            EngineView engineView,
            EngineSpeed speed,
            UpstreamLimits limits,
            RandomGenerator random) {
        mSpec = spec;
        mLocations = locations;
        mEngineView = engineView;
        mSpeed = speed;
        mLimits = limits;
        mRandom = random;
    }

    /** Replaces the limits on the engines that generations may take. */
    void bound(PlacementBound bound) {
        mBound = bound;
    }

    /** Sets which versions of engines may get an attempt. */
    void versionGate(VersionGate gate) {
        mGate = gate;
    }

    /** Updates the live instances. */
    void updatePeers(PeerView peers) {
        // Load reports of other regions are then sent at intervals only.
        mWide = peers.peers().size() >= PeerLoadAware.WIDE_FLEET;
        mPosition = (double) peers.position() / peers.instances();
    }

    /**
     * Returns the engine with the lowest cost for a run, or null when the run should wait.
     *
     * @param run the run
     * @param reserved number of engines to keep for attempts after a loss
     * @param nowNanos current time
     */
    @Nullable EngineState select(StreamRun run, int reserved, long nowNanos) {
        VersionGate preferred = mGate.preferred(run.work(), nowNanos);
        EngineState engine = select(run, reserved, preferred, nowNanos);
        return engine != null || preferred == mGate
                ? engine
                : select(run, reserved, mGate, nowNanos);
    }

    private @Nullable EngineState select(
            StreamRun run, int reserved, VersionGate gate, long nowNanos) {
        EngineState best = null;
        double bestCost = 0;
        EngineState cacheHolder = cacheHolder(run, nowNanos);
        long maxDelay = mBound.acceptedDelayNanos(run, maxDelayNanos(run, nowNanos), nowNanos);
        List<EngineState> usable = usableEngines(nowNanos);
        double ringCost = RING_COST * run.promptTokens() / mSpeed.prefillTokensPerNano();
        for (int i = 0; i < usable.size(); i++) {
            EngineState engine = usable.get(i);
            int running = engine.running();
            if (running >= mSpec.slots()
                    || !run.mayUse(engine, reserved)
                    || run.isRepeat() && engine.isSilent()
                    || !gate.isPermitted(run.work(), engine.upstream(), nowNanos)
                    || !mLimits.isPermitted(engine.upstream(), nowNanos)) {
                continue;
            }
            int memoryTokens = engine.memory();
            double memory = (double) memoryTokens / mSpec.memoryTokens();
            if (memory + (double) run.memory() / mSpec.memoryTokens() > MEMORY_FRACTION) {
                continue;
            }
            long backlog = engine.backlog(mSpeed.prefillTokensPerNano(), nowNanos);
            double delay = backlog + (double) engine.decoding() * DECODING_COST_NANOS;
            boolean otherRegion = mWide && isInOtherRegion(engine);
            if (delay + (otherRegion ? WIDE_REGION_COST_NANOS : 0) > maxDelay) {
                continue;
            }
            PlacementBound.Place place =
                    new PlacementBound.Place(
                            engine.upstream().id(),
                            backlog,
                            mSpec.slots() - running,
                            (int) (MEMORY_FRACTION * mSpec.memoryTokens()) - memoryTokens);
            if (!mBound.permits(run, place, nowNanos)) {
                continue;
            }
            double prefill = prefillNanos(engine, cacheHolder, run);
            double cost =
                    delay
                            + prefill
                            + memory * MEMORY_COST_NANOS
                            + distanceCost(engine)
                            + ringCost * ringDistance(i, usable.size())
                            + (engine.hasSuspect() ? SUSPECT_COST_NANOS : 0)
                            + (engine.isSilent() ? SILENT_COST_NANOS : 0)
                            + TIE_COST_NANOS * mRandom.nextDouble();
            if (best == null || cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns the engine from which others may fetch the cached prompt of a run, or null. One that
     * pauses accepts no requests, and one that leaves may end meanwhile, which would block the
     * fetch.
     */
    @Nullable EngineState cacheHolder(StreamRun run, long nowNanos) {
        EngineState holder = mEngineView.cacheHolder(run.part(), nowNanos);
        return holder == null
                        || mLimits.isLeaving(holder.upstream())
                        || mLimits.isPausing(holder.upstream(), nowNanos)
                ? null
                : holder;
    }

    /**
     * Returns the shortest time until an engine accepts a request, nanoseconds; 0 when that is
     * unknown.
     */
    long shortestWaitNanos(long nowNanos) {
        long shortest = Long.MAX_VALUE;
        for (EngineState engine : usableEngines(nowNanos)) {
            OptionalLong wait = mLimits.waitNanos(engine.upstream(), nowNanos);
            shortest = Math.min(shortest, wait.orElse(Long.MAX_VALUE));
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }

    /** Returns the time after which a refused request should come back, nanoseconds. */
    long reserveRetry(long nowNanos) {
        List<Upstream> upstreams =
                usableEngines(nowNanos).stream().map(EngineState::upstream).toList();
        return mLimits.reserveRetry(upstreams, nowNanos).orElse(0);
    }

    /** Returns the engine in another zone that is to keep a copy and can take over, or null. */
    @Nullable EngineState selectCopyHolder(EngineState engine, StreamRun run, long nowNanos) {
        EngineState best = null;
        double bestCost = 0;
        for (EngineState other : mEngineView.engines()) {
            if (other.upstream().zone().equals(engine.upstream().zone())
                    || run.hasCopyAt(other)
                    || !hasCapacity(other, run, nowNanos)) {
                continue;
            }
            double fill = (double) other.memory() / mSpec.memoryTokens();
            double cost = fill + COPY_HOLDER_TIE_COST * mRandom.nextDouble();
            if (mWide && isInOtherRegion(other)) {
                cost += COPY_HOLDER_REGION_COST;
            }
            if (mLimits.isLimited(other.upstream())) {
                cost += COPY_HOLDER_LIMIT_COST;
            }
            if (best == null || cost < bestCost) {
                best = other;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Returns the usable engines in the same order at all instances: by region, zone and id. */
    private List<EngineState> usableEngines(long nowNanos) {
        List<EngineState> usable = new ArrayList<>();
        for (EngineState engine : mEngineView.engines()) {
            if (mEngineView.isUsable(engine, nowNanos)) {
                usable.add(engine);
            }
        }
        usable.sort(
                Comparator.<EngineState, String>comparing(
                                engine -> mLocations.region(engine.upstream().zone()))
                        .thenComparing(engine -> engine.upstream().zone())
                        .thenComparing(engine -> engine.upstream().id()));
        return usable;
    }

    /** Returns the distance from the own position to an engine on the ring, from 0 to 1. */
    private double ringDistance(int index, int engines) {
        double distance = (double) index / engines - mPosition;
        return distance < 0 ? distance + 1 : distance;
    }

    private double prefillNanos(
            EngineState engine, @Nullable EngineState cacheHolder, StreamRun run) {
        if (engine == cacheHolder) {
            return 0;
        }
        double prefill = run.promptTokens() / mSpeed.prefillTokensPerNano();
        return cacheHolder == null ? prefill : Math.min(prefill, FETCH_NANOS);
    }

    private boolean hasCapacity(EngineState engine, StreamRun run, long nowNanos) {
        double fill = (double) (engine.memory() + run.memory()) / mSpec.memoryTokens();
        return fill <= MEMORY_FRACTION
                && engine.running() < mSpec.slots()
                && !mLimits.isLeaving(engine.upstream())
                && !mLimits.isPausing(engine.upstream(), nowNanos)
                && mEngineView.isUsable(engine, nowNanos);
    }

    /** Returns the maximum delay that a run accepts; it grows with the time spent in the queue. */
    private static long maxDelayNanos(StreamRun run, long nowNanos) {
        if (run.isInterrupted()) {
            return Long.MAX_VALUE;
        }
        return MAX_DELAY_NANOS + (nowNanos - run.work().arrivedNanos()) / 2;
    }

    private boolean isInOtherRegion(EngineState engine) {
        return mLocations.distance(engine.upstream().zone()) == Distance.OTHER_REGION;
    }

    private long distanceCost(EngineState engine) {
        return switch (mLocations.distance(engine.upstream().zone())) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> ZONE_COST_NANOS;
            case OTHER_REGION -> mWide ? WIDE_REGION_COST_NANOS : REGION_COST_NANOS;
        };
    }
}
