package org.gentianwalk.scenario;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.node.ServingNode;
import org.gentianwalk.standin.engine.EngineStandin;

/** Carries out the faults of a scenario at their times. */
final class FaultRunner {
    private final ScenarioCluster mCluster;
    private final ScenarioCallers mCallers;
    private final ScenarioOracle mOracle;
    private final RunObserver mObserver;
    private final History mHistory;
    private final RunClock mClock;
    private final ExecutorService mThreads;
    private final AtomicInteger mChanges = new AtomicInteger();
    private volatile int mCrashed;

    FaultRunner(
            ScenarioCluster cluster,
            ScenarioCallers callers,
            ScenarioOracle oracle,
            RunObserver observer,
            History history,
            RunClock clock,
            ExecutorService threads) {
        mCluster = cluster;
        mCallers = callers;
        mOracle = oracle;
        mObserver = observer;
        mHistory = history;
        mClock = clock;
        mThreads = threads;
    }

    /** Carries out one fault; returns when it and its duration are over. */
    void run(Fault fault, Duration start) throws Exception {
        mClock.sleepUntil(start.plus(fault.at()));
        switch (fault) {
            case Fault.KillEngine kill -> {
                EngineStandin engine = mCluster.engine(kill.target());
                mObserver.engineLost(kill.target());
                engine.kill();
            }
            case Fault.PauseEngine pause -> {
                EngineStandin engine = mCluster.engine(pause.target());
                mObserver.engineLost(pause.target());
                engine.faults().pause();
                Thread.sleep(pause.duration());
                engine.faults().resume();
            }
            case Fault.DrainEngine drain -> {
                mCluster.drainEngine(drain.target());
                // The history counts from the time at which the lagging list shows it.
                Thread.sleep(ScenarioRunner.LIST_LAG);
                mHistory.append(new HistoryEvent.UpstreamLeaving(mClock.nanos(), drain.target()));
            }
            case Fault.KillInstance kill -> {
                unreachable(kill.target());
                mCluster.killInstance(kill.target());
            }
            case Fault.StopInstance stop -> {
                mHistory.append(new HistoryEvent.StopRequested(mClock.nanos(), stop.target()));
                mCluster.stopInstance(stop.target());
                unreachable(stop.target());
            }
            case Fault.StartInstance begin -> startInstance(begin.target());
            case Fault.IsolateInstance isolate -> {
                unreachable(isolate.target());
                mCluster.isolate(isolate.target(), true);
                Thread.sleep(isolate.duration());
                mCluster.isolate(isolate.target(), false);
                reachable(isolate.target());
            }
            case Fault.StoreDown down -> {
                mCluster.storeFaults().down(true);
                Thread.sleep(down.duration());
                mCluster.storeFaults().down(false);
            }
            case Fault.StoreSlow slow -> {
                mCluster.storeFaults().slow(slow.delay());
                Thread.sleep(slow.duration());
                mCluster.storeFaults().slow(Duration.ZERO);
            }
            case Fault.LoseWriteResponses lose -> {
                for (int i = 0; i < lose.count(); i++) {
                    mCluster.storeFaults()
                            .nextWrite(new org.gentianwalk.standin.platform.Fault.ResponseLost());
                }
            }
            case Fault.ApplyConfig apply -> applyConfig(apply.operators());
            case Fault.Flood flood -> flood(flood);
            case Fault.CrashingRequest crash -> crash(crash.sends());
        }
    }

    private void startInstance(String id) throws IOException, MeshException, InterruptedException {
        // A graceful stop that still runs has the instance's name.
        while (mCluster.find(id) != null) {
            Thread.sleep(20);
        }
        mCluster.startInstance(id);
        reachable(id);
    }

    private void applyConfig(int operators) throws InterruptedException {
        List<ServingNode> nodes = mCluster.ready();
        long base = nodes.getFirst().config().version();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < operators; i++) {
            int number = mChanges.incrementAndGet();
            ServingNode node = nodes.get(i % nodes.size());
            Map<String, byte[]> files = new TreeMap<>(mCluster.folder());
            files.put("90-change.yaml", ScenarioSettings.change(number));
            ConfigFolder folder = new ConfigFolder(files);
            threads.add(
                    Thread.ofVirtual()
                            .start(() -> apply(node, folder, base, "operator-" + number)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void apply(ServingNode node, ConfigFolder folder, long base, String author) {
        if (node.config().apply(folder, base, author) instanceof ApplyResult.Accepted accepted) {
            mHistory.append(
                    new HistoryEvent.ConfigAccepted(
                            mClock.nanos(),
                            accepted.version(),
                            HexFormat.of().formatHex(folder.digest())));
        }
    }

    private void flood(Fault.Flood flood) {
        for (int i = 0; i < flood.generations(); i++) {
            String name = "flood-" + flood.rank() + "-" + i;
            ScenarioCallers.Request request =
                    new ScenarioCallers.Request(
                            name,
                            new RequestKey(ScenarioSettings.TEAMS.get(1), name),
                            flood.rank(),
                            20,
                            i,
                            false);
            mOracle.add(request);
            mThreads.submit(() -> mCallers.generate(request));
        }
    }

    private void crash(int sends) throws InterruptedException {
        mCluster.engines().forEach(engine -> engine.faults().crashOn(ScenarioCallers.CRASH_MARKER));
        int alive = alive();
        for (int i = 0; i < sends; i++) {
            ScenarioCallers.Request request =
                    new ScenarioCallers.Request(
                            ScenarioCallers.CRASHING_CALLER,
                            new RequestKey(ScenarioSettings.TEAMS.get(0), "crash-" + i),
                            Rank.URGENT,
                            20,
                            1,
                            false);
            mOracle.add(request);
            mCallers.generate(request);
        }
        mCrashed = alive - alive();
    }

    /** Returns the number of engines that a crashing request has ended. */
    int crashed() {
        return mCrashed;
    }

    private int alive() {
        return (int) mCluster.engines().stream().filter(EngineStandin::isAlive).count();
    }

    private void unreachable(String id) {
        mHistory.append(new HistoryEvent.InstanceUnreachable(mClock.nanos(), id));
    }

    private void reachable(String id) {
        mHistory.append(new HistoryEvent.InstanceReachable(mClock.nanos(), id));
    }
}
