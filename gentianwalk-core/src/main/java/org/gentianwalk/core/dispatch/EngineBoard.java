package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.gentianwalk.core.policy.suspect.ZoneLosses;
import org.jspecify.annotations.Nullable;

/** The engines of a service as this instance sees them, with what other instances report. */
final class EngineBoard {
    /**
     * Time for which an engine of a failed zone is avoided without a sign of life. Entries of lost
     * engines leave the list within three heartbeats.
     */
    private static final long ZONE_DOUBT_NANOS = Duration.ofMillis(4_000).toNanos();

    /** Time for which a failure is told to other instances. */
    private static final long DOUBT_NANOS = Duration.ofMillis(1_500).toNanos();

    private final Map<String, EngineState> mEngines = new LinkedHashMap<>();
    private final ZoneLosses mZones = new ZoneLosses();
    private final ZoneLosses mSilentZones = new ZoneLosses();
    private final PartMemory mParts = new PartMemory();
    private final Map<String, Seen> mPeers = new HashMap<>();
    private final List<Failure> mFailures = new ArrayList<>();

    private record Failure(EngineState engine, long atNanos, boolean silent) {}

    private record Seen(LoadShare share, long atNanos) {}

    /** Replaces the engines and returns the runs that are known to have ended. */
    List<EngineState> listed(Collection<Upstream> upstreams, long nowNanos) {
        List<EngineState> ended = new ArrayList<>();
        Map<String, String> addresses = new HashMap<>();
        Set<String> ids = new HashSet<>();
        for (Upstream upstream : upstreams) {
            ids.add(upstream.id());
            addresses.put(upstream.address(), upstream.id());
            EngineState known = mEngines.get(upstream.id());
            if (known != null && known.upstream().isSameRun(upstream)) {
                known.upstream(upstream);
                continue;
            }
            if (known != null) {
                ended.add(known);
            }
            mEngines.put(upstream.id(), new EngineState(upstream, nowNanos));
        }
        for (EngineState engine : List.copyOf(mEngines.values())) {
            Upstream upstream = engine.upstream();
            if (ids.contains(upstream.id())) {
                continue;
            }
            mEngines.remove(upstream.id());
            if (addresses.containsKey(upstream.address())) {
                ended.add(engine);
            }
        }
        mPeers.forEach((instance, seen) -> apply(instance, seen.share(), seen.atNanos()));
        return ended;
    }

    Collection<EngineState> engines() {
        return mEngines.values();
    }

    void peerShare(String instance, LoadShare share, long nowNanos) {
        Seen before = mPeers.get(instance);
        if (before != null && before.share().number() >= share.number()) {
            return;
        }
        noteOutput(before, share, nowNanos);
        mPeers.put(instance, new Seen(share, nowNanos));
        apply(instance, share, nowNanos);
        for (LoadShare.Doubt doubt : share.doubts()) {
            EngineState engine = mEngines.get(doubt.engine());
            long at = nowNanos - doubt.ageMillis() * EngineState.NANOS_PER_MILLI;
            boolean known =
                    engine != null && engine.upstream().incarnation() == doubt.incarnation();
            if (engine != null && known && !engine.hasOutputSince(at)) {
                record(engine, doubt.silent(), at);
            }
        }
    }

    void retainPeers(Collection<String> instances) {
        Set<String> gone = new HashSet<>(mPeers.keySet());
        gone.removeAll(instances);
        for (String instance : gone) {
            mPeers.remove(instance);
            mEngines.values().forEach(engine -> engine.others(instance, List.of()));
        }
    }

    /** Records that an engine has read a prompt. */
    void kept(long part, String engine) {
        mParts.kept(part, engine);
    }

    /**
     * Finds the engine that keeps a prompt. An engine that may be lost is none: another one that
     * fetches from it would wait for it.
     */
    @Nullable EngineState holder(long part, long nowNanos) {
        String id = mParts.engine(part);
        EngineState engine = id == null ? null : mEngines.get(id);
        return engine == null || !isAlive(engine, nowNanos) ? null : engine;
    }

    /** Returns the prompt tokens that wait in other instances. */
    long waitingElsewhere() {
        long waiting = 0;
        for (Seen seen : mPeers.values()) {
            waiting += seen.share().waiting();
        }
        return waiting;
    }

    /**
     * Records a failure that this instance has seen.
     *
     * @param engine the engine
     * @param silent true when nothing came back, not even the end of a connection
     * @param nowNanos current time
     */
    void failed(EngineState engine, boolean silent, long nowNanos) {
        record(engine, silent, nowNanos);
        mFailures.removeIf(
                failure ->
                        failure.engine() == engine && failure.silent() == silent
                                || nowNanos - failure.atNanos() > DOUBT_NANOS);
        mFailures.add(new Failure(engine, nowNanos, silent));
    }

    private void record(EngineState engine, boolean silent, long atNanos) {
        String zone = engine.upstream().zone();
        int id = engine.upstream().id().hashCode();
        engine.reachability().failed(atNanos);
        mZones.recordLoss(zone, id, atNanos);
        if (silent) {
            engine.silent(atNanos);
            mSilentZones.recordLoss(zone, id, atNanos);
        }
    }

    List<LoadShare.Doubt> doubts(long nowNanos) {
        List<LoadShare.Doubt> doubts = new ArrayList<>();
        for (Failure failure : mFailures) {
            long age = nowNanos - failure.atNanos();
            if (age <= DOUBT_NANOS && !failure.engine().hasOutputSince(failure.atNanos())) {
                Upstream upstream = failure.engine().upstream();
                doubts.add(
                        new LoadShare.Doubt(
                                upstream.id(),
                                upstream.incarnation(),
                                (int) (age / EngineState.NANOS_PER_MILLI),
                                failure.silent()));
            }
        }
        return doubts;
    }

    /** Tells whether new work may go to an engine. */
    boolean isUsable(EngineState engine, long nowNanos) {
        return !engine.upstream().draining() && isAlive(engine, nowNanos);
    }

    private boolean isAlive(EngineState engine, long nowNanos) {
        if (engine.isOver()
                || mEngines.get(engine.upstream().id()) != engine
                || engine.reachability().isResting(nowNanos)) {
            return false;
        }
        OptionalLong failure = mZones.lastFailure(engine.upstream().zone());
        return failure.isEmpty() || !isDoubtful(engine, failure.getAsLong(), nowNanos);
    }

    /**
     * Tells whether an attempt at an engine is probably lost: the engine, or most of its zone, has
     * fallen silent since the attempt started, and the engine has shown no sign of life.
     */
    boolean isProbablyLost(EngineState engine, long startedNanos, long nowNanos) {
        if (engine.isSilentAfter(startedNanos)) {
            return true;
        }
        String zone = engine.upstream().zone();
        OptionalLong failure = mSilentZones.lastFailure(zone);
        return failure.isPresent()
                && failure.getAsLong() - startedNanos > 0
                && isDoubtful(engine, failure.getAsLong(), nowNanos)
                && isMostlySilent(zone, failure.getAsLong());
    }

    /** Tells whether more engines of a zone have fallen silent than have brought output since. */
    private boolean isMostlySilent(String zone, long failedNanos) {
        int silent = 0;
        int heard = 0;
        for (EngineState engine : mEngines.values()) {
            if (!engine.upstream().zone().equals(zone)) {
                continue;
            }
            if (engine.isSilentAfter(failedNanos - ZoneLosses.WINDOW_NANOS)) {
                silent++;
            } else if (engine.hasOutputSince(failedNanos)) {
                heard++;
            }
        }
        return silent > heard;
    }

    private static boolean isDoubtful(EngineState engine, long failedNanos, long nowNanos) {
        return nowNanos - failedNanos <= ZONE_DOUBT_NANOS
                && !engine.hasOutputSince(failedNanos)
                && engine.listedAt() - failedNanos < 0;
    }

    /** Takes the first output of other instances' generations for a sign of life. */
    private void noteOutput(@Nullable Seen before, LoadShare share, long nowNanos) {
        if (before == null) {
            return;
        }
        Set<String> reading = new HashSet<>();
        for (RunShare run : before.share().runs()) {
            if (run.reading()) {
                reading.add(run.engine() + '/' + run.part());
            }
        }
        for (RunShare run : share.runs()) {
            EngineState engine = mEngines.get(run.engine());
            if (engine != null
                    && !run.reading()
                    && reading.contains(run.engine() + '/' + run.part())) {
                engine.output(nowNanos);
            }
        }
    }

    private void apply(String instance, LoadShare share, long receivedNanos) {
        Map<String, List<EngineState.Load>> loads = new HashMap<>();
        for (RunShare run : share.runs()) {
            if (!run.reading()) {
                mParts.kept(run.part(), run.engine());
            }
            long started = receivedNanos - run.ageMillis() * EngineState.NANOS_PER_MILLI;
            loads.computeIfAbsent(run.engine(), id -> new ArrayList<>())
                    .add(
                            new EngineState.Load(
                                    started, run.prompt(), run.memory(), run.reading(), false));
            if (!run.keeper().isEmpty()) {
                loads.computeIfAbsent(run.keeper(), id -> new ArrayList<>())
                        .add(new EngineState.Load(started, 0, run.memory(), false, true));
            }
        }
        for (EngineState engine : mEngines.values()) {
            engine.others(instance, loads.getOrDefault(engine.upstream().id(), List.of()));
        }
    }
}
