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
    private final Map<String, Seen> mPeers = new HashMap<>();
    private final List<Failure> mFailures = new ArrayList<>();

    private record Failure(EngineState engine, long atNanos) {}

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
        mPeers.put(instance, new Seen(share, nowNanos));
        apply(instance, share, nowNanos);
        for (LoadShare.Doubt doubt : share.doubts()) {
            EngineState engine = mEngines.get(doubt.engine());
            long at = nowNanos - doubt.ageMillis() * EngineState.NANOS_PER_MILLI;
            boolean known =
                    engine != null && engine.upstream().incarnation() == doubt.incarnation();
            if (engine != null && known && !engine.hasOutputSince(at)) {
                engine.reachability().failed(at);
                mZones.lost(engine.upstream().zone(), doubt.engine().hashCode(), at);
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

    /** Finds where another instance runs a generation with a given last part of the prompt. */
    @Nullable EngineState findByPart(long part) {
        for (Seen seen : mPeers.values()) {
            for (RunShare run : seen.share().runs()) {
                if (run.part() == part) {
                    return mEngines.get(run.engine());
                }
            }
        }
        return null;
    }

    /** Returns the prompt tokens that wait in other instances. */
    long waitingElsewhere() {
        long waiting = 0;
        for (Seen seen : mPeers.values()) {
            waiting += seen.share().waiting();
        }
        return waiting;
    }

    /** Records a failure that this instance has seen. */
    void failed(EngineState engine, long nowNanos) {
        engine.reachability().failed(nowNanos);
        mZones.lost(engine.upstream().zone(), engine.upstream().id().hashCode(), nowNanos);
        mFailures.removeIf(
                failure ->
                        failure.engine() == engine || nowNanos - failure.atNanos() > DOUBT_NANOS);
        mFailures.add(new Failure(engine, nowNanos));
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
                                (int) (age / EngineState.NANOS_PER_MILLI)));
            }
        }
        return doubts;
    }

    /** Tells whether new work may go to an engine. */
    boolean isUsable(EngineState engine, long nowNanos) {
        if (engine.isOver()
                || engine.upstream().draining()
                || mEngines.get(engine.upstream().id()) != engine
                || engine.reachability().isResting(nowNanos)) {
            return false;
        }
        OptionalLong failure = mZones.lastFailure(engine.upstream().zone());
        if (failure.isEmpty() || nowNanos - failure.getAsLong() > ZONE_DOUBT_NANOS) {
            return true;
        }
        return engine.hasOutputSince(failure.getAsLong())
                || engine.listedAt() - failure.getAsLong() >= 0;
    }

    private void apply(String instance, LoadShare share, long receivedNanos) {
        Map<String, List<EngineState.Load>> loads = new HashMap<>();
        for (RunShare run : share.runs()) {
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
