package org.gentianwalk.gateway.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.PeerView;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.VersionGate;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.rollout.ExposureLimits;
import org.gentianwalk.core.route.RequestKind;
import org.gentianwalk.gateway.ManualExecutor;
import org.gentianwalk.gateway.MemoryStore;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RolloutFormat;
import org.gentianwalk.gateway.store.UnreadableRowException;
import org.gentianwalk.server.guard.FailureGuard;

/** Instances with calls to one service of two versions, on the test's thread, clock and seed. */
final class RolloutFleet {
    static final String SERVICE = "service";
    static final Duration STEP = Duration.ofMillis(40);
    private static final int CALLS = 10;
    private static final String KEY = "rollout/" + SERVICE;

    final MemoryStore mStore = new MemoryStore();
    final Map<String, Instance> mInstances = new LinkedHashMap<>();
    final List<String> mStates = new ArrayList<>();

    /** Calls sent to the new version since the start and in the last step. */
    int mNewCalls;

    int mNewInStep;
    int mCalls;
    double mErrorRate;
    private final ManualExecutor mControl = new ManualExecutor();
    private final Random mRandom = new Random(7);
    private final List<Upstream> mUpstreams = new ArrayList<>();
    private int mIncarnation;
    private long mWork;

    RolloutFleet(int instances) {
        for (int i = 0; i < 8; i++) {
            mUpstreams.add(upstream("old" + i, 1, "v1"));
        }
        for (int i = 0; i < instances; i++) {
            start("i" + i);
        }
        run(Duration.ofSeconds(3));
        for (int i = 0; i < 8; i++) {
            mUpstreams.add(upstream("new" + i, 9, "v2"));
        }
    }

    private static Upstream upstream(String id, long incarnation, String version) {
        return new Upstream(id, incarnation, SERVICE, id, "zone", 9, false, version);
    }

    void start(String name) {
        mInstances.put(name, new Instance(name));
    }

    void restartAll() {
        List<String> names = List.copyOf(mInstances.keySet());
        names.forEach(this::start);
    }

    void order(String value) {
        mStore.put("op", KEY, value.getBytes(StandardCharsets.UTF_8));
    }

    void status(String value) {
        mStore.put("status", KEY, value.getBytes(StandardCharsets.UTF_8));
    }

    boolean isMoving() {
        return mInstances.values().stream()
                .anyMatch(
                        each ->
                                each.mRollouts
                                        .metrics()
                                        .lines()
                                        .anyMatch(
                                                line ->
                                                        line.contains("_phase")
                                                                && line.endsWith(" 1")));
    }

    void retireOld() {
        mUpstreams.removeIf(upstream -> upstream.version().equals("v1"));
    }

    String state() {
        return mStates.isEmpty() ? "" : mStates.getLast();
    }

    /** The instances in the order in which they write the status. */
    Instance decider() {
        return mInstances.values().stream()
                .min(java.util.Comparator.comparingInt(each -> each.rank()))
                .orElseThrow();
    }

    void run(Duration time) {
        runWhile(time, fleet -> true);
    }

    void runWhile(Duration time, Predicate<RolloutFleet> condition) {
        long end = mControl.nanos() + time.toNanos();
        while (mControl.nanos() < end && condition.test(this)) {
            step();
        }
    }

    private void step() {
        mNewInStep = 0;
        mControl.advance(STEP);
        for (Instance instance : mInstances.values()) {
            Set<String> peers = new HashSet<>();
            mInstances.values().forEach(other -> peers.add(other.mKey));
            peers.remove(instance.mKey);
            instance.mRollouts.updatePeers(new PeerView(peers, 0));
            if (!instance.mDisconnected) {
                instance.mRollouts.replaceOrders(mStore.rows("op"));
                instance.mRollouts.changeStatuses(mStore.rows("status"));
            } else {
                instance.mRollouts.recordOutage();
            }
            instance.mRollouts.updateUpstreams();
            mControl.runAll();
        }
        for (Instance instance : mInstances.values()) {
            var reports = instance.mRollouts.reports();
            for (Instance other : mInstances.values()) {
                if (other != instance) {
                    other.mRollouts.recordPeerReports(instance.mKey, reports);
                }
            }
        }
        mInstances.values().forEach(Instance::work);
        mControl.runAll();
        String state =
                mStore.rows("status").stream()
                        .map(row -> new String(row.value(), StandardCharsets.UTF_8))
                        .findFirst()
                        .orElse("");
        if (!state.isEmpty() && !state.equals(state())) {
            mStates.add(state);
        }
    }

    /** One instance, which sends calls that take one to three steps. */
    final class Instance {
        final MemoryStore.Client mClient = mStore.client();
        final String mKey;
        final RolloutCoordinator mRollouts;
        boolean mDisconnected;
        int mNewCallsHere;
        private final String mName;
        private final Map<Long, Call> mActive = new LinkedHashMap<>();

        private record Call(int steps, boolean failed) {}

        Instance(String name) {
            mName = name;
            mKey = name + "@" + ++mIncarnation;
            mRollouts =
                    new RolloutCoordinator(
                            name,
                            new ExposureLimits(0.1, 50, Duration.ofSeconds(5).toNanos()),
                            new Format(),
                            mClient,
                            mControl,
                            mControl::nanos,
                            () -> 1_000_000 + mControl.nanos() / 1_000_000,
                            service -> mUpstreams,
                            new GatewayLog(),
                            FailureGuard.logging());
        }

        void disconnect(boolean disconnected) {
            mDisconnected = disconnected;
            mClient.rejecting(disconnected);
        }

        long changes() {
            return mRollouts.changes();
        }

        int rank() {
            return mRollouts.rank(SERVICE);
        }

        void work() {
            Map<Long, Call> ended = new LinkedHashMap<>(mActive);
            ended.values().removeIf(call -> call.steps() > 0);
            mActive.keySet().removeAll(ended.keySet());
            mActive.replaceAll((id, call) -> new Call(call.steps() - 1, call.failed()));
            ended.forEach(
                    (id, call) ->
                            mRollouts.recordEnd(
                                    id,
                                    1,
                                    call.failed()
                                            ? AttemptEnd.ANSWERED_ERROR
                                            : AttemptEnd.SUCCEEDED));
            for (int i = 0; i < CALLS; i++) {
                send();
            }
            mRollouts.advance(mActive::containsKey);
        }

        private void send() {
            long now = mControl.nanos();
            Work work =
                    new Work(
                            ++mWork,
                            "r" + mWork,
                            SERVICE,
                            "",
                            RequestKind.SINGLE_CALL,
                            0,
                            null,
                            now,
                            now,
                            now + Duration.ofSeconds(5).toNanos(),
                            0,
                            1,
                            0,
                            null,
                            mWork % 2 == 0 ? "one" : "two");
            mRollouts.recordRequest(work);
            Upstream upstream = choose(mRollouts.preferred(work, now), work, now);
            upstream = upstream == null ? choose(mRollouts, work, now) : upstream;
            if (upstream == null) {
                return;
            }
            mCalls++;
            boolean isNew = upstream.version().equals("v2");
            mNewCalls += isNew ? 1 : 0;
            mNewCallsHere += isNew ? 1 : 0;
            mNewInStep += isNew ? 1 : 0;
            mRollouts.recordStart(work, 1, upstream, now);
            boolean failed = mRandom.nextDouble() < (isNew ? mErrorRate : 0.02);
            mActive.put(work.id(), new Call(mRandom.nextInt(3), failed));
        }

        private Upstream choose(VersionGate gate, Work work, long now) {
            List<Upstream> permitted =
                    mUpstreams.stream().filter(u -> gate.isPermitted(work, u, now)).toList();
            return permitted.isEmpty() ? null : permitted.get(mRandom.nextInt(permitted.size()));
        }
    }

    /** An order is {@code VERSION SECONDS}, a status {@code STATE VERSION}. */
    private static final class Format implements RolloutFormat {
        @Override
        public String orderService(String key) {
            return key.equals(KEY) ? SERVICE : null;
        }

        @Override
        public Order parseOrder(String key, byte[] value) throws UnreadableRowException {
            String[] words = words(value);
            return new Order(SERVICE, words[0], Duration.ofSeconds(Long.parseLong(words[1])));
        }

        @Override
        public String statusTable() {
            return "status";
        }

        @Override
        public String statusKey(String service) {
            return "rollout/" + service;
        }

        @Override
        public String statusService(String key) {
            return orderService(key);
        }

        @Override
        public Status parseStatus(String key, byte[] value) throws UnreadableRowException {
            String[] words = words(value);
            return new Status(SERVICE, State.valueOf(words[0]), words[1]);
        }

        @Override
        public byte[] encodeStatus(Status status) {
            return (status.state() + " " + status.version()).getBytes(StandardCharsets.UTF_8);
        }

        private static String[] words(byte[] value) throws UnreadableRowException {
            String[] words = new String(value, StandardCharsets.UTF_8).split(" ");
            if (words.length != 2) {
                throw new UnreadableRowException("not two words");
            }
            return words;
        }
    }
}
