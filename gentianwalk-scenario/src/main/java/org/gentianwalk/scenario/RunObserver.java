package org.gentianwalk.scenario;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gentianwalk.core.config.version.ConfigState;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.server.guard.FailureGuard;
import org.gentianwalk.server.node.ServingNode;
import org.gentianwalk.standin.engine.EngineStandin;

/** Records what engines start and which configuration each instance uses. */
final class RunObserver implements AutoCloseable {
    private static final long SAMPLE_MILLIS = 100;
    private static final Pattern REQUEST = Pattern.compile("request ([^/ ]+)/(\\S+)");

    private final FailureGuard mGuard = FailureGuard.logging();
    private final ScenarioCluster mCluster;
    private final History mHistory;
    private final RunClock mClock;
    private final Map<RequestKey, String> mRunsAt = new ConcurrentHashMap<>();
    private final ScheduledExecutorService mSampler =
            Executors.newSingleThreadScheduledExecutor(Thread.ofVirtual().factory());

    RunObserver(ScenarioCluster cluster, History history, RunClock clock) {
        mCluster = cluster;
        mHistory = history;
        mClock = clock;
    }

    void start() {
        for (EngineStandin engine : mCluster.engines()) {
            engine.faults().onStart(prompt -> started(engine.options().id(), prompt));
        }
        for (String id : mCluster.instances()) {
            mHistory.append(new HistoryEvent.InstanceReachable(mClock.nanos(), id));
        }
        mSampler.scheduleAtFixedRate(
                mGuard.guarded("samples of a run", this::sample),
                0,
                SAMPLE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Records the loss of an engine for every request that it was producing output for. */
    void engineLost(String engine) {
        long now = mClock.nanos();
        Map<RequestKey, Boolean> inOutput = new HashMap<>();
        for (HistoryEvent event : mHistory.events()) {
            switch (event) {
                case HistoryEvent.TokenDelivered token -> inOutput.put(token.key(), true);
                case HistoryEvent.Completed end -> inOutput.remove(end.key());
                default -> {}
            }
        }
        mRunsAt.forEach(
                (key, place) -> {
                    if (place.equals(engine) && inOutput.containsKey(key)) {
                        mHistory.append(new HistoryEvent.EngineLost(now, engine, key));
                    }
                });
    }

    void recordExecutions(List<RequestKey> calls) {
        for (RequestKey key : calls) {
            int executions = mCluster.ledger().executions(key.key());
            for (int i = 0; i < executions; i++) {
                mHistory.append(
                        new HistoryEvent.CallExecuted(
                                mClock.nanos(), ScenarioSettings.SERVICE, key));
            }
        }
    }

    @Override
    public void close() {
        mSampler.shutdownNow();
    }

    private void started(String engine, String prompt) {
        Matcher matcher = REQUEST.matcher(prompt);
        if (matcher.find()) {
            RequestKey key = new RequestKey(matcher.group(1), matcher.group(2));
            mRunsAt.put(key, engine);
            mHistory.append(new HistoryEvent.WorkStarted(mClock.nanos(), engine, key));
        }
    }

    private void sample() {
        for (String id : mCluster.instances()) {
            ServingNode node = mCluster.find(id);
            if (node == null) {
                continue;
            }
            ConfigState state = node.config().state();
            if (state.version() > 0) {
                mHistory.append(
                        new HistoryEvent.ConfigInForce(
                                mClock.nanos(),
                                id + "@" + System.identityHashCode(node),
                                state.version(),
                                HexFormat.of().formatHex(state.folder().digest())));
            }
        }
    }
}
