package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.core.dispatch.LoadShare;
import org.gentianwalk.core.dispatch.LoadSharing;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.route.EngineSpec;
import org.jspecify.annotations.Nullable;

/** Simulates a fleet of instances and model engines in virtual time. */
public final class FleetModel {
    static final String SERVICE = "writer";

    /** Delay until instances receive a change of the engine list. */
    private static final long LIST_LAG_MILLIS = 400;

    private static final long COPY_LIFETIME_MILLIS = 4_000;
    private static final long DRAIN_MILLIS = 8_000;
    private static final double PROMPT_MEAN = 8_000;
    private static final double PROMPT_SPREAD = 0.3;
    private static final double PROMPT_MOST = 14_400;
    private static final double EVENTS_MEAN = 130;
    private static final double EVENTS_SPREAD = 0.2;
    private static final double EVENTS_MOST = 170;

    private final VirtualClock mClock = new VirtualClock();
    private final FleetTraits mTraits;
    private final Random mRandom;
    private final long mEndMillis;
    private final List<String> mZones;
    private final List<EngineModel> mSlots = new ArrayList<>();
    private final Map<String, Upstream> mListed = new TreeMap<>();
    private final List<InstanceModel> mInstances = new ArrayList<>();
    private final Map<Integer, double[]> mBursts = new HashMap<>();
    private final FleetResult mResult;
    private final List<EngineModel> mEver = new ArrayList<>();
    private long mTokensAsked;
    private int mNextRun;
    private long mNextRequest;

    private FleetModel(FleetTraits traits, long seed, long endMillis) {
        mTraits = traits;
        mRandom = new Random(seed);
        mEndMillis = endMillis;
        mZones = traits.zones().keySet().stream().sorted().toList();
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
        model.arrivals();
        model.mClock.runUntil((endMillis + 30_000) * VirtualClock.MILLI);
        long read = 0;
        for (EngineModel engine : model.mEver) {
            read += engine.tokensRead();
        }
        model.mResult.tokens(read, model.mTokensAsked);
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
    EngineSpec spec() {
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
    EngineModel at(Upstream upstream) {
        return mSlots.get(slotOf(upstream.address()));
    }

    /** Returns the running engine process at an address, or null. */
    @Nullable EngineModel alive(String address) {
        EngineModel engine = mSlots.get(slotOf(address));
        return engine.isDead() ? null : engine;
    }

    /** Returns whether connection attempts to the upstream get no reply at all. */
    boolean isSilent(Upstream upstream) {
        return mSilent.contains(slotOf(upstream.address()));
    }

    private final java.util.Set<Integer> mSilent = new java.util.HashSet<>();

    /** Returns an instance other than the given one, for a caller that retries. */
    InstanceModel otherThan(InstanceModel instance) {
        InstanceModel other = instance;
        while (other == instance && mInstances.size() > 1) {
            other = mInstances.get(mRandom.nextInt(mInstances.size()));
        }
        return other;
    }

    /**
     * Returns whether the fleet is so large that load is sent to other regions only periodically.
     */
    boolean isWide() {
        return mInstances.size() - 1 >= LoadSharing.WIDE_FLEET;
    }

    /** Sends a load share to the other instances; to other regions only if {@code far} is set. */
    void share(InstanceModel from, LoadShare share, boolean far) {
        for (InstanceModel to : mInstances) {
            boolean near = mTraits.region(to.zone()).equals(mTraits.region(from.zone()));
            if (to != from && (near || far)) {
                mClock.after(
                        latency(from.zone(), to.zone()), () -> to.received(from.name(), share));
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
            engine.die();
            int index = slot;
            if (silent) {
                mSilent.add(index);
            } else {
                mInstances.forEach(instance -> instance.connectionsBroke(engine));
            }
            mClock.after(
                    downMillis * VirtualClock.MILLI,
                    () -> {
                        mSilent.remove(index);
                        mListed.remove(engine.id());
                        place(index, zone);
                    });
        }
    }

    void slowness(double share, double factor) {
        for (EngineModel engine : mSlots) {
            if (mRandom.nextDouble() < share) {
                engine.slowness(factor);
            }
        }
    }

    void replace(int slot) {
        EngineModel old = mSlots.get(slot);
        Upstream entry = mListed.get(old.id());
        if (entry == null) {
            return;
        }
        mListed.put(
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
        place(mSlots.size() - 1, old.zone());
        mClock.after(
                DRAIN_MILLIS * VirtualClock.MILLI,
                () -> {
                    mListed.remove(old.id());
                    old.die();
                    mInstances.forEach(instance -> instance.connectionsBroke(old));
                    announce();
                });
    }

    /** Stops all instances at once, which breaks their callers' connections. */
    void killInstances() {
        mInstances.forEach(InstanceModel::die);
    }

    void burst(int kind, double factor, long fromMillis, long toMillis) {
        mBursts.put(kind, new double[] {factor, fromMillis, toMillis});
    }

    private void build() {
        for (String zone : mZones) {
            for (int i = 0; i < mTraits.engines(); i++) {
                mSlots.add(null);
                place(mSlots.size() - 1, zone);
            }
        }
        for (String zone : mZones) {
            for (int i = 0; i < mTraits.instances(); i++) {
                mInstances.add(new InstanceModel(this, zone + i, zone, mRandom.nextLong()));
            }
        }
        List<String> names = mInstances.stream().map(InstanceModel::name).toList();
        mInstances.forEach(instance -> instance.peers(names));
        mInstances.forEach(instance -> instance.listed(List.copyOf(mListed.values())));
    }

    private void place(int slot, String zone) {
        EngineModel engine =
                new EngineModel(mClock, mTraits.engine(), "e" + slot + "-" + mNextRun++, zone);
        mEver.add(engine);
        mSlots.set(slot, engine);
        mListed.put(
                engine.id(),
                new Upstream(
                        engine.id(),
                        mClock.now(),
                        SERVICE,
                        "10.0.0.1:" + slot,
                        zone,
                        mTraits.engine().slots(),
                        false));
        announce();
    }

    private void announce() {
        mClock.after(
                LIST_LAG_MILLIS * VirtualClock.MILLI,
                () -> {
                    List<Upstream> listed = List.copyOf(mListed.values());
                    mInstances.forEach(instance -> instance.listed(listed));
                });
    }

    private static int slotOf(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private void arrivals() {
        for (int kind = 0; kind < mTraits.kinds().size(); kind++) {
            int index = kind;
            double at = 0;
            while (at < mEndMillis) {
                double rate = mTraits.kinds().get(kind).perSecond();
                double[] burst = mBursts.get(kind);
                if (burst != null && at >= burst[1] && at < burst[2]) {
                    rate *= burst[0];
                }
                at += -Math.log(1 - mRandom.nextDouble()) / rate * 1000;
                if (at < mEndMillis) {
                    mClock.at(Math.round(at * VirtualClock.MILLI), () -> arrive(index));
                }
            }
        }
    }

    private void arrive(int kind) {
        FleetTraits.Kind traits = mTraits.kinds().get(kind);
        int prompt = (int) drawn(PROMPT_MEAN, PROMPT_SPREAD, PROMPT_MOST);
        int events = (int) drawn(EVENTS_MEAN, EVENTS_SPREAD, EVENTS_MOST);
        RequestModel request =
                new RequestModel(
                        ++mNextRequest,
                        traits,
                        mResult.kind(kind),
                        prompt,
                        events * mTraits.engine().tokensPerEvent(),
                        mClock.now());
        mTokensAsked += prompt;
        mResult.kind(kind).asked();
        mInstances.get(mRandom.nextInt(mInstances.size())).arrive(request);
    }

    private double drawn(double mean, double spread, double most) {
        double value = mean * (1 + spread * mRandom.nextGaussian());
        return Math.max(mean / 4, Math.min(most, value));
    }
}
