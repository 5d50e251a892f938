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
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.gentianwalk.core.policy.suspect.ZoneLosses;
import org.jspecify.annotations.Nullable;

/** State of the engines of a service, from local observations and reports of other instances. */
final class EngineView {
    /**
     * Time for which an engine in a failed zone is avoided unless it produces output. Entries of
     * lost engines expire from the list within three heartbeats.
     */
    private static final long ZONE_AVOIDANCE_NANOS = Duration.ofMillis(4_000).toNanos();

    /** Time for which a failure is reported to other instances. */
    private static final long FAILURE_REPORT_NANOS = Duration.ofMillis(1_500).toNanos();

    /** Time within which an entry that has left the list may come back. */
    private static final long UNLISTED_NANOS = Duration.ofSeconds(10).toNanos();

    /** Maximum number of engines whose state is kept after they were removed from the list. */
    private static final int MAX_UNLISTED = 128;

    private final SuspectTable mSuspects;
    private final Map<String, EngineState> mEngines = new LinkedHashMap<>();

    /** Engines that were removed from the list and may be listed again, by their processes. */
    private final Map<String, EngineState> mUnlisted =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, EngineState> eldest) {
                    return size() > MAX_UNLISTED;
                }
            };

    private final ZoneLosses mZoneFailures = new ZoneLosses();
    private final ZoneLosses mZoneSilences = new ZoneLosses();
    private final PromptCacheIndex mPromptCaches = new PromptCacheIndex();
    private final Map<String, ReceivedLoad> mPeers = new HashMap<>();
    private final List<Failure> mFailures = new ArrayList<>();

    private record Failure(EngineState engine, long atNanos, boolean silent) {}

    private record ReceivedLoad(InstanceLoad load, long atNanos) {}

    EngineView(SuspectTable suspects) {
        mSuspects = suspects;
    }

    /** Replaces the engines and returns those whose process is known to have ended. */
    List<EngineState> replaceEngines(Collection<Upstream> upstreams, long nowNanos) {
        List<EngineState> ended = new ArrayList<>();
        Map<String, String> addresses = new HashMap<>();
        Set<String> ids = new HashSet<>();
        for (Upstream upstream : upstreams) {
            ids.add(upstream.id());
            addresses.put(upstream.address(), upstream.id());
            EngineState known = mEngines.get(upstream.id());
            if (known != null && known.upstream().isSameProcess(upstream)) {
                known.upstream(upstream);
                continue;
            }
            if (known != null) {
                ended.add(known);
            }
            EngineState unlisted = mUnlisted.remove(upstream.process());
            if (unlisted == null) {
                mEngines.put(upstream.id(), new EngineState(upstream, nowNanos));
            } else {
                unlisted.upstream(upstream);
                unlisted.markListed();
                mEngines.put(upstream.id(), unlisted);
            }
            mSuspects.registerEngine(upstream.process(), upstream.zone());
        }
        for (EngineState engine : List.copyOf(mEngines.values())) {
            Upstream upstream = engine.upstream();
            if (ids.contains(upstream.id())) {
                continue;
            }
            mEngines.remove(upstream.id());
            if (addresses.containsKey(upstream.address())) {
                ended.add(engine);
            } else {
                engine.markUnlisted(nowNanos);
                mUnlisted.put(upstream.process(), engine);
            }
        }
        // An engine that was not listed for a moment may hold older loads.
        mPeers.forEach(
                (instance, received) ->
                        applyLoad(instance, received.load(), received.atNanos(), null));
        return ended;
    }

    Collection<EngineState> engines() {
        return mEngines.values();
    }

    /**
     * Returns the listed engines and those whose entries left the list a short time ago without a
     * sign that their processes have ended.
     */
    List<EngineState> expectedEngines(long nowNanos) {
        List<EngineState> expected = new ArrayList<>(mEngines.values());
        for (EngineState unlisted : mUnlisted.values()) {
            if (!unlisted.isUnlistedSince(nowNanos - UNLISTED_NANOS) && !isReplaced(unlisted)) {
                expected.add(unlisted);
            }
        }
        return expected;
    }

    /** Returns whether another process is listed in the place of one. */
    private boolean isReplaced(EngineState engine) {
        Upstream upstream = engine.upstream();
        return mEngines.values().stream()
                .map(EngineState::upstream)
                .anyMatch(
                        listed ->
                                listed.id().equals(upstream.id())
                                        || listed.address().equals(upstream.address()));
    }

    void recordPeerLoad(String instance, InstanceLoad load, long nowNanos) {
        ReceivedLoad before = mPeers.get(instance);
        if (before != null && before.load().number() >= load.number()) {
            return;
        }
        recordPeerOutput(before, load, nowNanos);
        mPeers.put(instance, new ReceivedLoad(load, nowNanos));
        applyLoad(instance, load, nowNanos, before == null ? null : before.load());
        for (InstanceLoad.EngineFailure failure : load.failures()) {
            EngineState engine = mEngines.get(failure.engine());
            long at = nowNanos - failure.ageMillis() * EngineState.NANOS_PER_MILLI;
            boolean known =
                    engine != null && engine.upstream().incarnation() == failure.incarnation();
            if (engine != null && known && !engine.isAliveSince(at)) {
                applyFailure(engine, failure.silent(), at);
                if (failure.silent()) {
                    engine.recordReportedSilence(at);
                }
            }
        }
    }

    void retainPeers(Collection<String> instances) {
        Set<String> removed = new HashSet<>(mPeers.keySet());
        removed.removeAll(instances);
        for (String instance : removed) {
            mPeers.remove(instance);
            mEngines.values().forEach(engine -> engine.replacePeerLoads(instance, List.of()));
        }
    }

    /** Records that an engine has a prompt in its prefix cache. */
    void recordCachedPart(long part, String engine) {
        mPromptCaches.put(part, engine);
    }

    /**
     * Returns the engine that has a prompt in its prefix cache, or null. An engine that may be lost
     * does not count: an engine that fetched the prompt from it would block.
     */
    @Nullable EngineState cacheHolder(long part, long nowNanos) {
        String id = mPromptCaches.engine(part);
        EngineState engine = id == null ? null : mEngines.get(id);
        return engine == null || !isAlive(engine, nowNanos) ? null : engine;
    }

    /** Returns the number of prompt tokens queued in other instances. */
    long peerWaitingTokens() {
        long waiting = 0;
        for (ReceivedLoad received : mPeers.values()) {
            waiting += received.load().waiting();
        }
        return waiting;
    }

    /**
     * Records a failure that this instance observed.
     *
     * @param engine the engine
     * @param silent true when there was no response at all, not even a closed connection
     * @param nowNanos current time
     */
    void recordFailure(EngineState engine, boolean silent, long nowNanos) {
        applyFailure(engine, silent, nowNanos);
        if (silent) {
            engine.recordSilence(nowNanos);
        }
        mFailures.removeIf(
                failure ->
                        failure.engine() == engine && failure.silent() == silent
                                || nowNanos - failure.atNanos() > FAILURE_REPORT_NANOS);
        mFailures.add(new Failure(engine, nowNanos, silent));
    }

    private void applyFailure(EngineState engine, boolean silent, long atNanos) {
        String zone = engine.upstream().zone();
        int id = engine.upstream().id().hashCode();
        engine.reachability().recordFailure(atNanos);
        mZoneFailures.recordLoss(zone, id, atNanos);
        mSuspects.recordEngineLoss(engine.upstream().process(), atNanos);
        if (silent) {
            mZoneSilences.recordLoss(zone, id, atNanos);
        }
    }

    List<InstanceLoad.EngineFailure> recentFailures(long nowNanos) {
        List<InstanceLoad.EngineFailure> failures = new ArrayList<>();
        for (Failure failure : mFailures) {
            long age = nowNanos - failure.atNanos();
            if (age <= FAILURE_REPORT_NANOS && !failure.engine().isAliveSince(failure.atNanos())) {
                Upstream upstream = failure.engine().upstream();
                failures.add(
                        new InstanceLoad.EngineFailure(
                                upstream.id(),
                                upstream.incarnation(),
                                (int) (age / EngineState.NANOS_PER_MILLI),
                                failure.silent()));
            }
        }
        return failures;
    }

    /** Returns whether an engine may receive new work. */
    boolean isUsable(EngineState engine, long nowNanos) {
        return !engine.upstream().draining() && isAlive(engine, nowNanos);
    }

    /** Returns the listed engines that are silent and may be checked again. */
    List<EngineState> silentEngines(long nowNanos) {
        return mEngines.values().stream()
                .filter(EngineState::isSilent)
                .filter(engine -> !engine.reachability().isBackingOff(nowNanos))
                .toList();
    }

    /** Returns the listed engines at which nothing listened, and which may be checked again. */
    List<EngineState> notListeningEngines(long nowNanos) {
        return mEngines.values().stream()
                .filter(EngineState::isNotListening)
                .filter(engine -> !engine.hasEnded() && !engine.upstream().draining())
                .filter(engine -> !engine.reachability().isBackingOff(nowNanos))
                .toList();
    }

    private boolean isAlive(EngineState engine, long nowNanos) {
        if (engine.hasEnded()
                || engine.isNotListening()
                || mEngines.get(engine.upstream().id()) != engine
                || engine.reachability().isBackingOff(nowNanos)) {
            return false;
        }
        OptionalLong failure = mZoneFailures.lastFailure(engine.upstream().zone());
        return failure.isEmpty() || !isSuspect(engine, failure.getAsLong(), nowNanos);
    }

    /**
     * Returns whether an engine may be affected by a failure of its zone: most engines of the zone
     * stopped responding after a time, and the engine has shown no sign of life since.
     */
    boolean isZoneSilentAfter(EngineState engine, long nanos, long nowNanos) {
        String zone = engine.upstream().zone();
        OptionalLong failure = mZoneSilences.lastFailure(zone);
        return failure.isPresent()
                && failure.getAsLong() - nanos > 0
                && isSuspect(engine, failure.getAsLong(), nowNanos)
                && isMostlySilent(zone, failure.getAsLong());
    }

    /** Returns whether more engines of a zone are silent than have produced output since. */
    private boolean isMostlySilent(String zone, long failedNanos) {
        int silent = 0;
        int responding = 0;
        for (EngineState engine : mEngines.values()) {
            if (!engine.upstream().zone().equals(zone)) {
                continue;
            }
            long since = failedNanos - ZoneLosses.WINDOW_NANOS;
            if (engine.isSilentAfter(since) || engine.isReportedSilentAfter(since)) {
                silent++;
            } else if (engine.isAliveSince(failedNanos)) {
                responding++;
            }
        }
        return silent > responding;
    }

    private static boolean isSuspect(EngineState engine, long failedNanos, long nowNanos) {
        return nowNanos - failedNanos <= ZONE_AVOIDANCE_NANOS
                && !engine.isAliveSince(failedNanos)
                && engine.listedAt() - failedNanos < 0;
    }

    /** Treats the first output of generations of other instances as a liveness signal. */
    private void recordPeerOutput(@Nullable ReceivedLoad before, InstanceLoad load, long nowNanos) {
        if (before == null) {
            return;
        }
        Set<String> prefilling = new HashSet<>();
        for (GenerationLoad run : before.load().runs()) {
            if (run.prefilling()) {
                prefilling.add(run.engine() + '/' + run.part());
            }
        }
        for (GenerationLoad run : load.runs()) {
            EngineState engine = mEngines.get(run.engine());
            if (engine != null
                    && !run.prefilling()
                    && prefilling.contains(run.engine() + '/' + run.part())) {
                engine.recordOutput(nowNanos);
            }
        }
    }

    /**
     * Replaces the loads that an instance places on the engines.
     *
     * @param instance the instance
     * @param load its load
     * @param receivedNanos time of receipt
     * @param before the load that the engines hold; null when it is not known for each of them
     */
    private void applyLoad(
            String instance, InstanceLoad load, long receivedNanos, @Nullable InstanceLoad before) {
        Map<String, List<EngineState.Load>> loads = new HashMap<>();
        for (GenerationLoad run : load.runs()) {
            if (!run.prefilling()) {
                mPromptCaches.put(run.part(), run.engine());
            }
            long started = receivedNanos - run.ageMillis() * EngineState.NANOS_PER_MILLI;
            loads.computeIfAbsent(run.engine(), id -> new ArrayList<>())
                    .add(
                            new EngineState.Load(
                                    started,
                                    run.prompt(),
                                    run.memory(),
                                    run.prefilling(),
                                    false,
                                    run.suspect()));
            if (!run.copyHolder().isEmpty()) {
                loads.computeIfAbsent(run.copyHolder(), id -> new ArrayList<>())
                        .add(EngineState.Load.copy(started, run.memory()));
            }
        }
        // In a large fleet, a notice changes a few of many engines.
        Set<String> affected = before == null ? mEngines.keySet() : engineIds(before);
        if (before != null) {
            affected.addAll(loads.keySet());
        }
        for (String id : affected) {
            EngineState engine = mEngines.get(id);
            if (engine != null) {
                engine.replacePeerLoads(instance, loads.getOrDefault(id, List.of()));
            }
        }
    }

    private static Set<String> engineIds(InstanceLoad load) {
        Set<String> ids = new HashSet<>();
        for (GenerationLoad run : load.runs()) {
            ids.add(run.engine());
            ids.add(run.copyHolder());
        }
        return ids;
    }
}
