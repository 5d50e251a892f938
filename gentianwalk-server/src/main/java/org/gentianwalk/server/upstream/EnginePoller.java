package org.gentianwalk.server.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.Scheduler.Availability;
import org.gentianwalk.core.policy.Scheduler.LoadReport;

/** Polls the load reports and cache events of engines, on one virtual thread per engine. */
public final class EnginePoller implements AutoCloseable {
    // A draining engine must get no new work after 3 s (guarantee P6).
    private static final Duration MIN_PERIOD = Duration.ofMillis(250);

    // A report and its cache events take about 350 bytes; control traffic is limited to 24 KB/s per
    // node.
    private static final int MAX_POLLS_PER_SECOND = 20;
    private static final int FAILURES_UNTIL_LOST = 2;

    private final EngineClient mClient;
    private final EngineObserver mObserver;
    private final Map<UpstreamInfo, Thread> mThreads = new HashMap<>();

    /**
     * Creates a poller without engines.
     *
     * @param client reads the reports
     * @param observer receives the results
     */
    public EnginePoller(EngineClient client, EngineObserver observer) {
        mClient = client;
        mObserver = observer;
    }

    /**
     * Replaces the set of polled engines.
     *
     * @param engines the engines
     */
    public synchronized void engines(Collection<UpstreamInfo> engines) {
        Set<UpstreamInfo> wanted = new HashSet<>(engines);
        mThreads.entrySet()
                .removeIf(
                        entry -> {
                            if (wanted.contains(entry.getKey())) {
                                return false;
                            }
                            entry.getValue().interrupt();
                            return true;
                        });
        for (UpstreamInfo engine : wanted) {
            mThreads.computeIfAbsent(
                    engine, e -> Thread.ofVirtual().name("poll").start(() -> poll(e)));
        }
    }

    @Override
    public synchronized void close() {
        engines(List.of());
    }

    private void poll(UpstreamInfo engine) {
        Availability known = Availability.LIVE;
        int failures = 0;
        long cacheSequence = 0;
        try {
            while (true) {
                Availability state = known;
                try {
                    state = readLoad(engine);
                    failures = 0;
                    if (engine.supports(Capability.CACHE_EVENTS)) {
                        cacheSequence = readCacheEvents(engine, cacheSequence);
                    }
                } catch (IOException e) {
                    failures++;
                    boolean refused = e instanceof ConnectException;
                    if (refused) {
                        state = Availability.ENDED;
                    } else if (known != Availability.ENDED && failures >= FAILURES_UNTIL_LOST) {
                        state = Availability.LOST;
                    }
                    boolean lost = state == Availability.LOST || state == Availability.ENDED;
                    cacheSequence = lost ? 0 : cacheSequence;
                }
                // Reported after each poll, since a lost attempt may have changed the state in
                // between.
                mObserver.onAvailability(engine.id(), state);
                known = state;
                Thread.sleep(period());
            }
        } catch (InterruptedException e) {
            // The engine was removed from the configuration, or the instance is stopping.
            Thread.currentThread().interrupt();
        }
    }

    private synchronized Duration period() {
        Duration fair = Duration.ofSeconds(1).multipliedBy(mThreads.size());
        Duration period = fair.dividedBy(MAX_POLLS_PER_SECOND);
        return period.compareTo(MIN_PERIOD) > 0 ? period : MIN_PERIOD;
    }

    private Availability readLoad(UpstreamInfo engine) throws IOException, InterruptedException {
        JsonNode load = mClient.read(engine, "/load");
        double total = Math.max(1, load.path("kv_total").asDouble(1));
        boolean draining = load.path("draining").asBoolean(false);
        mObserver.onLoadReport(
                new LoadReport(
                        engine.id(),
                        load.path("running").asInt(0),
                        load.path("waiting").asInt(0),
                        load.path("tokens_per_second").asDouble(0),
                        Math.clamp(load.path("kv_used").asDouble(0) / total, 0.0, 1.0),
                        draining));
        return draining ? Availability.LEAVING : Availability.LIVE;
    }

    private long readCacheEvents(UpstreamInfo engine, long after)
            throws IOException, InterruptedException {
        JsonNode answer = mClient.read(engine, "/cache_events?after=" + after);
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        for (JsonNode event : answer.path("events")) {
            boolean isStored = event.path("type").asText().equals("stored");
            (isStored ? stored : evicted).add(event.path("hash").asLong());
        }
        if (!stored.isEmpty() || !evicted.isEmpty()) {
            mObserver.onCacheEvents(engine.id(), stored, evicted);
        }
        return answer.path("next").asLong(after);
    }
}
