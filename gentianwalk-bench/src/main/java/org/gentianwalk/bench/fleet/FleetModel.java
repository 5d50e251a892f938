package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.PeerLoadAware;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.route.EngineSpec;
import org.jspecify.annotations.Nullable;

/** Simulates a fleet of instances and model engines in virtual time. */
public final class FleetModel {
    static final String SERVICE = "writer";

    /** Delay until instances receive a change of the engine list. */
    private static final long LIST_DELAY_MILLIS = 400;

    private static final long COPY_LIFETIME_MILLIS = 4_000;
    private static final long DRAIN_MILLIS = 8_000;
    private static final double PROMPT_MEAN = 8_000;
    private static final double PROMPT_SPREAD = 0.3;
    private static final double PROMPT_MAX = 14_400;
    private static final double EVENTS_MEAN = 130;
    private static final double EVENTS_SPREAD = 0.2;
    private static final double EVENTS_MAX = 170;

    private final VirtualClock mClock = new VirtualClock();
    private final FleetTraits mTraits;
    private final Random mRandom;
    private final long mEndMillis;
    private final List<String> mZones;
    private final List<EngineModel> mSlots = new ArrayList<>();
    private final Map<String, Upstream> mUpstreams = new TreeMap<>();
    private final List<InstanceModel> mInstances = new ArrayList<>();
    private final Map<Integer, double[]> mBursts = new HashMap<>();
    private final FleetResult mResult;
    private final List<EngineModel> mAllEngines = new ArrayList<>();
    private long mRequestedTokens;
    private int mNextEngine;
    private long mNextRequest;

    private FleetModel(FleetTraits traits, long seed, long endMillis) {
        mTraits = traits;
        mRandom = new Random(seed);
        mEndMillis = endMillis;
        mZones =
                traits.zones().keySet().stream()
                        .sorted(Comparator.comparing(traits::region).thenComparing(zone -> zone))
                        .toList();
        mResult = new FleetResult(traits);
    }

    /**
     * Runs a fleet.
     *
     * @param traits the deployment
     * @param seed seed of all random choices
     * @param endMillis duration of the arrivals, milliseconds
     * @param patterns load and failure patterns
     * @return the results for callers
     */
    public static FleetResult run(
            FleetTraits traits, long seed, long endMillis, List<Pattern> patterns) {
        FleetModel model = new FleetModel(traits, seed, endMillis);
        model.build();
        patterns.forEach(pattern -> pattern.schedule(model));
        model.scheduleArrivals();
        model.mClock.runUntil((endMillis + 30_000) * VirtualClock.MILLI);
        long prefilled = 0;
        for (EngineModel engine : model.mAllEngines) {
            prefilled += engine.prefilledTokens();
        }
        model.mResult.recordTokens(prefilled, model.mRequestedTokens);
        return model.mResult;
    }

    VirtualClock clock() {
        return mClock;
    }

    long endMillis() {
        return mEndMillis;
    }

    FleetResult result() {
        return mResult;
    }

    FleetTraits traits() {
        return mTraits;
    }

    /** Returns the engine settings that the configuration would contain. */
    EngineSpec engineSpec() {
        EngineTraits engine = mTraits.engine();
        return new EngineSpec(
                engine.slots(),
                engine.memoryTokens(),
                engine.tokensPerEvent(),
                true,
                java.time.Duration.ofMillis(COPY_LIFETIME_MILLIS));
    }

    /** Returns the one-way network latency between two zones, nanoseconds. */
    long latency(String from, String to) {
        double millis = 0.1;
        if (!from.equals(to)) {
            boolean sameRegion = mTraits.region(from).equals(mTraits.region(to));
            millis = sameRegion ? mTraits.zoneMillis() : mTraits.regionMillis();
        }
        return Math.round(millis * VirtualClock.MILLI);
    }

    /** Returns the engine process that currently occupies an upstream's address. */
    EngineModel engineAt(Upstream upstream) {
        return mSlots.get(slotOf(upstream.address()));
    }

    /** Returns the running engine process at an address, or null. */
    @Nullable EngineModel runningEngineAt(String address) {
        EngineModel engine = mSlots.get(slotOf(address));
        return engine.isStopped() ? null : engine;
    }

    /** Returns whether connection attempts to the upstream get no reply at all. */
    boolean isUnresponsive(Upstream upstream) {
        return mUnresponsive.contains(slotOf(upstream.address()));
    }

    private final java.util.Set<Integer> mUnresponsive = new java.util.HashSet<>();

    /** Returns an instance other than the given one, for a caller that retries. */
    InstanceModel otherInstance(InstanceModel instance) {
        InstanceModel other = instance;
        while (other == instance && mInstances.size() > 1) {
            other = mInstances.get(mRandom.nextInt(mInstances.size()));
        }
        return other;
    }

    /**
     * Returns whether the fleet is so large that load is sent to other regions only periodically.
     */
    boolean isWideFleet() {
        return mInstances.size() - 1 >= PeerLoadAware.WIDE_FLEET;
    }

    /**
     * Sends a load share to the other instances; to other regions only if {@code remote} is set.
     */
    void sendShare(InstanceModel from, InstanceLoad share, boolean remote) {
        for (InstanceModel to : mInstances) {
            boolean sameRegion = mTraits.region(to.zone()).equals(mTraits.region(from.zone()));
            if (to != from && (sameRegion || remote)) {
                mClock.after(
                        latency(from.zone(), to.zone()), () -> to.receiveShare(from.name(), share));
            }
        }
    }

    void crashZone(int zoneIndex, double share, long downMillis, boolean silent) {
        String zone = mZones.get(zoneIndex % mZones.size());
        for (int slot = 0; slot < mSlots.size(); slot++) {
            EngineModel engine = mSlots.get(slot);
            if (!engine.zone().equals(zone) || mRandom.nextDouble() >= share) {
                continue;
            }
            engine.stop();
            int index = slot;
            if (silent) {
                mUnresponsive.add(index);
            } else {
                mInstances.forEach(instance -> instance.resetConnections(engine));
            }
            mClock.after(
                    downMillis * VirtualClock.MILLI,
                    () -> {
                        mUnresponsive.remove(index);
                        mUpstreams.remove(engine.id());
                        startEngine(index, zone);
                    });
        }
    }

    void scaleStepTime(double share, double factor) {
        for (EngineModel engine : mSlots) {
            if (mRandom.nextDouble() < share) {
                engine.scaleStepTime(factor);
            }
        }
    }

    void replaceEngine(int slot) {
        EngineModel old = mSlots.get(slot);
        Upstream entry = mUpstreams.get(old.id());
        if (entry == null) {
            return;
        }
        mUpstreams.put(
                old.id(),
                new Upstream(
                        entry.id(),
                        entry.incarnation(),
                        entry.service(),
                        entry.address(),
                        entry.zone(),
                        entry.slots(),
                        true));
        mSlots.add(old);
        startEngine(mSlots.size() - 1, old.zone());
        mClock.after(
                DRAIN_MILLIS * VirtualClock.MILLI,
                () -> {
                    mUpstreams.remove(old.id());
                    old.stop();
                    mInstances.forEach(instance -> instance.resetConnections(old));
                    publishEngineList();
                });
    }

    /** Stops all instances at once, which breaks their callers' connections. */
    void killInstances() {
        mInstances.forEach(InstanceModel::stop);
    }

    void addBurst(int kind, double factor, long fromMillis, long toMillis) {
        mBursts.put(kind, new double[] {factor, fromMillis, toMillis});
    }

    private void build() {
        for (String zone : mZones) {
            for (int i = 0; i < mTraits.engines(); i++) {
                mSlots.add(null);
                startEngine(mSlots.size() - 1, zone);
            }
        }
        for (String zone : mZones) {
            for (int i = 0; i < mTraits.instances(); i++) {
                mInstances.add(new InstanceModel(this, zone + i, zone, mRandom.nextLong()));
            }
        }
        List<String> names = mInstances.stream().map(InstanceModel::name).toList();
        mInstances.forEach(instance -> instance.updatePeers(names));
        mInstances.forEach(instance -> instance.updateUpstreams(List.copyOf(mUpstreams.values())));
    }

    private void startEngine(int slot, String zone) {
        EngineModel engine =
                new EngineModel(
                        mClock,
                        mTraits.engine(),
                        "e" + slot + "-" + mNextEngine,
                        zone,
                        mNextEngine++);
        mAllEngines.add(engine);
        mSlots.set(slot, engine);
        mUpstreams.put(
                engine.id(),
                new Upstream(
                        engine.id(),
                        mClock.now(),
                        SERVICE,
                        "10.0.0.1:" + slot,
                        zone,
                        mTraits.engine().slots(),
                        false));
        publishEngineList();
    }

    private void publishEngineList() {
        mClock.after(
                LIST_DELAY_MILLIS * VirtualClock.MILLI,
                () -> {
                    List<Upstream> listed = List.copyOf(mUpstreams.values());
                    mInstances.forEach(instance -> instance.updateUpstreams(listed));
                });
    }

    private static int slotOf(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private void scheduleArrivals() {
        for (int kind = 0; kind < mTraits.kinds().size(); kind++) {
            int index = kind;
            double at = 0;
            while (at < mEndMillis) {
                double rate = mTraits.kinds().get(kind).perSecond();
                double[] burst = mBursts.get(kind);
                if (burst != null && at >= burst[1] && at < burst[2]) {
                    rate *= burst[0];
                }
                int group = drawGroupSize();
                at += -Math.log(1 - mRandom.nextDouble()) / rate * 1000 * mTraits.groupSize();
                if (at >= mEndMillis) {
                    break;
                }
                for (int i = 0; i < group; i++) {
                    mClock.at(Math.round(at * VirtualClock.MILLI), () -> createRequest(index));
                }
            }
        }
    }

    /** Draws the size of a group from a geometric distribution. */
    private int drawGroupSize() {
        int size = 1;
        while (mTraits.groupSize() > 1 && mRandom.nextDouble() < 1 - 1 / mTraits.groupSize()) {
            size++;
        }
        return size;
    }

    private void createRequest(int kind) {
        FleetTraits.Kind traits = mTraits.kinds().get(kind);
        int prompt = (int) drawLength(PROMPT_MEAN, PROMPT_SPREAD, PROMPT_MAX);
        int events = (int) drawLength(EVENTS_MEAN, EVENTS_SPREAD, EVENTS_MAX);
        RequestModel request =
                new RequestModel(
                        ++mNextRequest,
                        traits,
                        mResult.kind(kind),
                        prompt,
                        events * mTraits.engine().tokensPerEvent(),
                        mClock.now());
        mRequestedTokens += prompt;
        mResult.kind(kind).countRequest();
        mInstances.get(mRandom.nextInt(mInstances.size())).accept(request);
    }

    private double drawLength(double mean, double spread, double max) {
        double value = mean * (1 + spread * mRandom.nextGaussian());
        return Math.max(mean / 4, Math.min(max, value));
    }
}
