package org.gentianwalk.bench.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.PolicyPeer;
import org.gentianwalk.core.policy.Scheduler;
import org.gentianwalk.core.policy.Scheduler.Loss;
import org.gentianwalk.core.policy.fairness.PolicyMessage.Addressed;

/** Simulates one run: the engines and instances of a deployment, its workload and its faults. */
final class Simulation {
    private static final long REPORT_PERIOD = 500 * VirtualClock.MILLI;
    private static final long REPORT_DELAY = 250 * VirtualClock.MILLI;
    private static final long CACHE_EVENT_PERIOD = 500 * VirtualClock.MILLI;
    private static final long CACHE_EVENT_DELAY = 500 * VirtualClock.MILLI;
    private static final double CACHE_EVENT_LOSS = 0.05;
    private static final long RESET_DELAY = 5 * VirtualClock.MILLI;
    private static final long RESTART_DELAY = 8 * VirtualClock.SECOND;
    private static final int MAX_TOKENS_FACTOR = 4;
    private static final double PROMPT_SIGMA = 0.4;
    private static final double OUTPUT_SIGMA = 0.7;

    final VirtualClock mClock = new VirtualClock();
    final Recorder mRecorder;
    private final Deployment mDeployment;
    private final Random mNetworkRandom;
    private final long mSeed;
    private final Map<String, FakeEngine> mEngines = new LinkedHashMap<>();
    private final Map<String, FakeInstance> mInstances = new TreeMap<>();
    private final Map<FakeEngine, Long> mFaultTimes = new LinkedHashMap<>();
    private final Set<String> mLostZones = new HashSet<>();
    private final Set<String> mPartitioned = new HashSet<>();
    private final long mEnd;
    private double mMessageLoss = 0.01;
    private long mMessageDelay;
    private int mStreams;
    private long mRequests;
    private long mMessages;
    private int mCrashes;

    Simulation(Deployment deployment, PolicyKind policy, long seed, double warmUp, double seconds) {
        mDeployment = deployment;
        mSeed = seed;
        mEnd = (long) (seconds * VirtualClock.SECOND);
        mNetworkRandom = new Random(seed * 31 + 7);
        mRecorder = new Recorder((long) (warmUp * VirtualClock.SECOND), mEnd);
        List<UpstreamInfo> infos = deployment.engines();
        for (UpstreamInfo info : infos) {
            mEngines.put(info.id(), new FakeEngine(info, mClock, mRecorder));
        }
        deployment
                .instances()
                .forEach(
                        (id, location) -> {
                            long schedulerSeed = seed * 1_000 + mInstances.size();
                            Scheduler scheduler = policy.create(id, location, schedulerSeed);
                            scheduler.replaceUpstreams(infos, 0);
                            mInstances.put(id, new FakeInstance(id, location, scheduler, this));
                        });
        updateMembers();
        mInstances.values().forEach(this::scheduleLoadReports);
        mEngines.values().forEach(this::scheduleCacheEvents);
    }

    Deployment deployment() {
        return mDeployment;
    }

    int crashes() {
        return mCrashes;
    }

    long messages() {
        return mMessages;
    }

    /** Sets the loss rate and the additional delay, nanoseconds, of messages between instances. */
    Simulation messageFaults(double loss, long delay) {
        mMessageLoss = loss;
        mMessageDelay = delay;
        return this;
    }

    /** Partitions a group of instances from the others: messages between the two are dropped. */
    Simulation partition(List<String> instances) {
        mPartitioned.addAll(instances);
        return this;
    }

    Simulation addStreams(List<Stream> streams) {
        for (Stream stream : streams) {
            Random random = new Random(mSeed * 1_000_003 + mStreams++);
            scheduleArrival(stream, random, (long) (stream.fromSeconds() * VirtualClock.SECOND));
        }
        return this;
    }

    Simulation at(double seconds, Runnable action) {
        mClock.at((long) (seconds * VirtualClock.SECOND), action);
        return this;
    }

    /**
     * Runs until all generations have ended after the arrivals, or for {@code extraSeconds} more.
     */
    Recorder run(double extraSeconds) {
        long deadline = mEnd + (long) (extraSeconds * VirtualClock.SECOND);
        for (long until = mEnd; until <= deadline; until += VirtualClock.SECOND) {
            mClock.runUntil(until);
            if (until > mEnd && mInstances.values().stream().allMatch(FakeInstance::isIdle)) {
                break;
            }
        }
        return mRecorder;
    }

    FakeEngine engine(String id) {
        FakeEngine engine = mEngines.get(id);
        if (engine == null) {
            throw new IllegalArgumentException("unknown engine " + id);
        }
        return engine;
    }

    List<FakeEngine> engines() {
        return List.copyOf(mEngines.values());
    }

    FakeInstance instance(String id) {
        FakeInstance instance = mInstances.get(id);
        if (instance == null) {
            throw new IllegalArgumentException("unknown instance " + id);
        }
        return instance;
    }

    List<FakeInstance> instances() {
        return List.copyOf(mInstances.values());
    }

    long jitter(long max) {
        return (long) (mNetworkRandom.nextDouble() * max);
    }

    long latency(Location from, Location to) {
        double millis =
                switch (from.distanceTo(to)) {
                    case SAME_ZONE -> 0.25;
                    case SAME_REGION -> 1.5;
                    case OTHER_REGION -> 12;
                };
        return (long) (millis * VirtualClock.MILLI);
    }

    void deliver(FakeInstance sender, Addressed addressed) {
        mMessages++;
        FakeInstance receiver = mInstances.get(addressed.instance());
        if (receiver == null
                || mPartitioned.contains(receiver.mId) != mPartitioned.contains(sender.mId)
                || mNetworkRandom.nextDouble() < mMessageLoss) {
            return;
        }
        long delay = mMessageDelay + 2 * VirtualClock.MILLI + jitter(10 * VirtualClock.MILLI);
        mClock.after(
                delay,
                () -> {
                    if (receiver.isAlive() && receiver.mScheduler instanceof PolicyPeer peer) {
                        peer.receive(addressed.message(), mClock.now());
                    }
                });
    }

    /** Crashes an engine: its connections are reset, and it restarts after a delay. */
    void crash(FakeEngine engine) {
        if (!engine.isAlive()) {
            return;
        }
        mCrashes++;
        mFaultTimes.put(engine, mClock.now());
        for (Generation generation : engine.crash()) {
            int attempt = generation.mAttempt;
            mClock.after(
                    RESET_DELAY,
                    () ->
                            generation.mOwner.handleLostAttempt(
                                    generation, attempt, Loss.UPSTREAM_FAILED));
        }
        mClock.after(RESTART_DELAY, engine::restart);
    }

    /** Pauses an engine without closing its connections and resumes it later. */
    void pause(FakeEngine engine, double seconds) {
        mFaultTimes.put(engine, mClock.now());
        engine.pause();
        mClock.after((long) (seconds * VirtualClock.SECOND), engine::resume);
    }

    /** Makes a zone with its engines and instances unreachable without closing connections. */
    void loseZone(String zone) {
        mLostZones.add(zone);
        for (FakeEngine engine : mEngines.values()) {
            if (engine.mInfo.location().availabilityZone().equals(zone)) {
                mFaultTimes.put(engine, mClock.now());
                engine.pause();
                engine.crash();
            }
        }
        for (FakeInstance instance : mInstances.values()) {
            if (instance.mLocation.availabilityZone().equals(zone)) {
                List<Generation> open = instance.stop();
                mClock.after(VirtualClock.SECOND, () -> continueGenerations(open));
            }
        }
        mClock.after(VirtualClock.SECOND * 3, this::updateMembers);
    }

    boolean isZoneLost(FakeEngine engine) {
        return mLostZones.contains(engine.mInfo.location().availabilityZone());
    }

    long faultTime(@org.jspecify.annotations.Nullable FakeEngine engine) {
        return engine == null ? 0 : mFaultTimes.getOrDefault(engine, 0L);
    }

    private void continueGenerations(List<Generation> open) {
        List<FakeInstance> alive = aliveInstances(List.of());
        for (Generation generation : open) {
            if (generation.mGenerated > 0 && generation.mInterruptedAt < 0) {
                generation.mInterruptedAt = mClock.now() - VirtualClock.SECOND;
            }
            FakeEngine engine = generation.mEngine;
            if (engine != null) {
                engine.cancel(generation);
                generation.mEngine = null;
            }
            alive.get(mNetworkRandom.nextInt(alive.size())).offerContinuation(generation);
        }
    }

    private void updateMembers() {
        Map<String, Location> live = new TreeMap<>();
        mInstances.forEach(
                (id, instance) -> {
                    if (instance.isAlive()) {
                        live.put(id, instance.mLocation);
                    }
                });
        for (FakeInstance instance : mInstances.values()) {
            if (instance.mScheduler instanceof PolicyPeer peer) {
                peer.replaceMembers(live, mClock.now());
            }
        }
    }

    private void scheduleLoadReports(FakeInstance instance) {
        for (FakeEngine engine : mEngines.values()) {
            mClock.every(
                    jitter(REPORT_PERIOD),
                    REPORT_PERIOD,
                    () -> {
                        if (engine.isResponsive() && instance.isAlive()) {
                            Scheduler.LoadReport report = engine.loadReport();
                            mClock.after(
                                    REPORT_DELAY,
                                    () -> instance.mScheduler.loadReport(report, mClock.now()));
                        }
                    });
        }
    }

    private void scheduleCacheEvents(FakeEngine engine) {
        mClock.every(
                jitter(CACHE_EVENT_PERIOD),
                CACHE_EVENT_PERIOD,
                () -> {
                    List<Long> stored = engine.drainStoredBlocks();
                    List<Long> evicted = engine.drainEvictedBlocks();
                    if (stored.isEmpty() && evicted.isEmpty()) {
                        return;
                    }
                    for (FakeInstance instance : mInstances.values()) {
                        if (mNetworkRandom.nextDouble() >= CACHE_EVENT_LOSS) {
                            mClock.after(
                                    CACHE_EVENT_DELAY,
                                    () ->
                                            instance.mScheduler.cacheEvents(
                                                    engine.mInfo.id(),
                                                    stored,
                                                    evicted,
                                                    mClock.now()));
                        }
                    }
                });
    }

    private void scheduleArrival(Stream stream, Random random, long from) {
        double rate = stream.tokensPerSecond() / stream.meanCost();
        long next = from + (long) (-Math.log(1 - random.nextDouble()) / rate * VirtualClock.SECOND);
        double until = Math.min(stream.toSeconds() * VirtualClock.SECOND, mEnd);
        if (next >= until) {
            return;
        }
        mClock.at(
                next,
                () -> {
                    Generation generation = createGeneration(stream, random, false);
                    mRecorder.recordArrival(generation, mClock.now());
                    generation.mOwner.offer(generation);
                    scheduleArrival(stream, random, next);
                });
    }

    /** Offers one request that crashes its engine halfway through the output. */
    Generation offerCrashing(Stream stream, Random random) {
        Generation generation = createGeneration(stream, random, true);
        generation.mOwner.offer(generation);
        return generation;
    }

    private Generation createGeneration(Stream stream, Random random, boolean crashing) {
        List<FakeInstance> choices = aliveInstances(stream.ingress());
        FakeInstance instance = choices.get(random.nextInt(choices.size()));
        int prompt = (int) logNormal(stream.prompt(), PROMPT_SIGMA, random);
        double mean = stream.output() / Math.exp(OUTPUT_SIGMA * OUTPUT_SIGMA / 2);
        int maxTokens = stream.output() * MAX_TOKENS_FACTOR;
        int output = (int) Math.min(maxTokens, 1 + logNormal(mean, OUTPUT_SIGMA, random));
        List<Long> blocks = drawPrefix(stream, random);
        long number = ++mRequests;
        WorkItem item =
                new WorkItem(
                        new RequestKey(stream.team(), "r" + number),
                        stream.model(),
                        stream.rank().name(),
                        stream.rank(),
                        prompt + blocks.size() * FakeEngine.blockTokens(),
                        maxTokens,
                        blocks,
                        new Fingerprint(mSeed, number),
                        mClock.now(),
                        WorkItem.NO_DEADLINE);
        return new Generation(item, output, crashing, instance, mClock.now());
    }

    /** Draws a shared prefix from a skewed distribution: few are frequent, most are rare. */
    private static List<Long> drawPrefix(Stream stream, Random random) {
        List<Long> blocks = new ArrayList<>();
        if (stream.prefixes() > 0) {
            double skewed = Math.pow(random.nextDouble(), 1.5);
            long chosen = (long) (skewed * stream.prefixes());
            long base = ((long) stream.team().hashCode() << 24) + (chosen << 12);
            for (int i = 0; i < stream.prefixTokens() / FakeEngine.blockTokens(); i++) {
                blocks.add(base + i);
            }
        }
        return blocks;
    }

    private List<FakeInstance> aliveInstances(List<String> wanted) {
        List<FakeInstance> alive = new ArrayList<>();
        for (FakeInstance instance : mInstances.values()) {
            if (instance.isAlive() && (wanted.isEmpty() || wanted.contains(instance.mId))) {
                alive.add(instance);
            }
        }
        return alive;
    }

    private static double logNormal(double median, double sigma, Random random) {
        return Math.max(1, median * Math.exp(sigma * random.nextGaussian()));
    }
}
