package org.gentianwalk.gateway.sockets;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.gateway.MemoryStore;

/** Causes the faults of one soak, in series and overlapping, as its seed draws them. */
final class SoakFaults implements AutoCloseable {
    /**
     * Time after a version that refuses all bodies within which the store is left alone, so that
     * the next version reaches the instances.
     */
    private static final long BODY_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long MAX_COPY_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final int MAX_STOPPING = 2;

    private final Random mRandom;

    /**
     * Draws the times of garbage apart from the other faults, which stay those of earlier seeds.
     */
    private final Random mGarbleRandom;

    /** Draws the restores of the store, apart for the same reason. */
    private final Random mRestoreRandom;

    private final SoakHistory mHistory;
    private final SoakStore mStore;
    private final SoakConfiguration mConfiguration;
    private final List<SoakUpstream> mUpstreams;
    private final List<SoakInstance> mInstances;
    private final List<SoakInstance> mEverStarted = new ArrayList<>();
    private final Path mFolder;
    private final boolean mPlanned;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final Queue<Future<?>> mPending = new ConcurrentLinkedQueue<>();
    private final Deque<OldCopy> mCopies = new ArrayDeque<>();

    /** Guards what operator and upstreams write, so that the latest of each is written last. */
    private final Object mWrites = new Object();

    private final Map<String, Boolean> mListed = new HashMap<>();
    private byte[] mLatestConfiguration = {};
    private SoakProbe mProbe;
    private boolean mRestoring;
    private long mNextPublish = System.nanoTime();
    private int mStarted;
    private long mBodiesRefusedAt = System.nanoTime() - BODY_LIMIT_NANOS;

    /** A copy of the store and when it was taken. */
    private record OldCopy(long takenAt, MemoryStore.Copy rows) {}

    /** A part of a fault that follows later. */
    private interface Step {
        void run() throws Exception;
    }

    /**
     * Creates the faults of a soak.
     *
     * @param seed draws them
     * @param history counts them
     * @param store the store
     * @param configuration the configuration
     * @param upstreams all upstreams
     * @param instances the instances that callers may choose
     * @param folder folder of the logs
     * @param planned whether there are planned work and silences only: no kill, reset or loss
     */
    SoakFaults(
            long seed,
            SoakHistory history,
            SoakStore store,
            SoakConfiguration configuration,
            List<SoakUpstream> upstreams,
            List<SoakInstance> instances,
            Path folder,
            boolean planned) {
        mRandom = new Random(seed);
        mGarbleRandom = new Random(~seed);
        mRestoreRandom = new Random(seed + 1);
        mHistory = history;
        mStore = store;
        mConfiguration = configuration;
        mUpstreams = upstreams;
        mInstances = instances;
        mFolder = folder;
        mPlanned = planned;
    }

    /** Starts an instance that callers may choose once it serves. */
    SoakInstance start() throws Exception {
        String name;
        synchronized (this) {
            name = "i" + mStarted++;
        }
        SoakInstance instance = SoakInstance.start(name, mStore.address(), mFolder);
        synchronized (this) {
            mEverStarted.add(instance);
        }
        return instance;
    }

    synchronized List<SoakInstance> everStarted() {
        return List.copyOf(mEverStarted);
    }

    /** Sets the probe that checks what is in force after a restore of the store. */
    void probe(SoakProbe probe) {
        mProbe = probe;
    }

    void publish(boolean sound) {
        synchronized (mWrites) {
            mLatestConfiguration = mConfiguration.next(sound, mStore.mode() == SoakStore.Mode.WELL);
            mStore.rows().put(PlainRows.CONFIG, PlainRows.CONFIG, mLatestConfiguration);
        }
    }

    void list(SoakUpstream upstream, boolean draining) {
        synchronized (mWrites) {
            mListed.put(upstream.id(), draining);
            mStore.rows()
                    .put(
                            PlainRows.UPSTREAMS,
                            upstream.id(),
                            PlainRows.encode(upstream.entry(draining)));
        }
    }

    private void removeFromList(SoakUpstream upstream) {
        synchronized (mWrites) {
            mListed.remove(upstream.id());
            mStore.rows().remove(PlainRows.UPSTREAMS, upstream.id());
        }
    }

    /** Writes the entry of an upstream again, as it is now, unless it was removed. */
    private void listAgain(SoakUpstream upstream) {
        synchronized (mWrites) {
            Boolean draining = mListed.get(upstream.id());
            if (draining != null) {
                list(upstream, draining);
            }
        }
    }

    /** Writes the latest configuration again; it has to be in force as any other one. */
    private void publishAgain() throws InterruptedException {
        long version;
        synchronized (mWrites) {
            mStore.rows().put(PlainRows.CONFIG, PlainRows.CONFIG, mLatestConfiguration);
            version = mConfiguration.version();
        }
        mProbe.checkInForceAfterRestore(version);
    }

    /** Changes the configuration and causes a fault beside about every third change. */
    void run(long seconds) throws Exception {
        long start = System.nanoTime();
        long end = start + seconds * 1_000_000_000L;
        while (System.nanoTime() - end < 0 || mConfiguration.isRefusingBodies()) {
            if (System.nanoTime() - mNextPublish >= 0) {
                publish(false);
            }
            garble();
            boolean late = System.nanoTime() - start > (end - start) / 2;
            restoreStore(late && !mRestoring);
            Thread.sleep(50 + mRandom.nextInt(200));
            boolean faulty = mRandom.nextInt(mPlanned ? 2 : 3) == 0;
            if (mConfiguration.isRefusingBodies()) {
                mBodiesRefusedAt = System.nanoTime();
            } else if (faulty && mPlanned) {
                causePlanned();
            } else if (faulty) {
                cause();
            }
        }
    }

    /** Lets one upstream send garbage to each request for up to 1.3 s, about every second. */
    private void garble() {
        SoakUpstream upstream = mUpstreams.get(mGarbleRandom.nextInt(mUpstreams.size()));
        int millis = 300 + mGarbleRandom.nextInt(1_000);
        if (mGarbleRandom.nextInt(8) == 0) {
            mHistory.count("garbling upstream");
            upstream.garble(millis);
        }
    }

    /**
     * Lets the store come back from a copy in some rounds, once or twice in a row. The operator and
     * the upstreams write again what they wrote last; until then the store has only the copy.
     *
     * @param needed whether this has to happen, since each soak has to have it once
     */
    private void restoreStore(boolean needed) {
        long now = System.nanoTime();
        mCopies.addLast(new OldCopy(now, mStore.rows().copy()));
        while (now - mCopies.getFirst().takenAt() > MAX_COPY_AGE_NANOS) {
            mCopies.removeFirst();
        }
        boolean due = mRestoreRandom.nextInt(15) == 0;
        boolean twice = mRestoreRandom.nextInt(3) == 0;
        int pauseMillis = 100 + mRestoreRandom.nextInt(1_500);
        int readMillis = 50 + mRestoreRandom.nextInt(500);
        int againMillis = 100 + mRestoreRandom.nextInt(1_500);
        OldCopy first = drawCopy();
        OldCopy second = drawCopy();
        int otherWrites = mRestoreRandom.nextBoolean() ? mRestoreRandom.nextInt(200) : 0;
        if (!due && !needed) {
            return;
        }
        boolean bodiesRefused = now - mBodiesRefusedAt < BODY_LIMIT_NANOS;
        if (mStore.mode() != SoakStore.Mode.WELL || bodiesRefused && !needed) {
            mHistory.count("store left alone");
            return;
        }
        for (int i = 0; i < otherWrites; i++) {
            mStore.rows().put("other", "row", new byte[0]);
        }
        // A lost version of the configuration that is higher than those that follow the return.
        publish(needed);
        if (mConfiguration.isRefusingBodies()) {
            return;
        }
        mRestoring = true;
        long publishAfter = readMillis + againMillis;
        later(readMillis, () -> restore(first, againMillis));
        if (twice) {
            later(readMillis + pauseMillis, () -> restore(second, againMillis));
            publishAfter += pauseMillis;
        }
        mNextPublish = now + TimeUnit.MILLISECONDS.toNanos(publishAfter);
    }

    private OldCopy drawCopy() {
        int position = mRestoreRandom.nextInt(mCopies.size());
        return mCopies.stream().skip(position).findFirst().orElseThrow();
    }

    private void restore(OldCopy copy, long againMillis) {
        synchronized (mWrites) {
            mHistory.storeRestored(mInstances);
            mStore.restore(copy.rows());
        }
        later(againMillis, this::publishAgain);
        long delay = againMillis;
        for (SoakUpstream upstream : mUpstreams) {
            // Each upstream comes back at another time, within 2 s.
            delay = (delay * 7 + 311) % 1_700;
            later(delay, () -> listAgain(upstream));
        }
    }

    private void cause() throws Exception {
        SoakUpstream upstream = mUpstreams.get(mRandom.nextInt(mUpstreams.size()));
        int position = mRandom.nextInt(mInstances.size());
        SoakInstance instance = mInstances.get(position);
        int millis = mRandom.nextInt(1_000);
        int fault = mRandom.nextInt(16);
        mHistory.count("fault " + fault);
        switch (fault) {
            case 0 -> instance.reload();
            case 1 -> replaceInstance(position, instance, true);
            case 2 -> replaceInstance(position, instance, false);
            case 3 -> {
                pause(instance, 500 + millis);
            }
            case 4, 5 -> upstream.silence(1_000 + millis * 3 / 10);
            case 6 -> {
                upstream.silence(1_000 + millis * 3 / 10);
                mUpstreams.get(mRandom.nextInt(mUpstreams.size())).silence(1_300);
            }
            case 7 -> {
                upstream.replace();
                later(millis, () -> list(upstream, false));
            }
            case 8 -> {
                list(upstream, true);
                later(millis, () -> list(upstream, false));
            }
            case 9 -> {
                mUpstreams.forEach(this::removeFromList);
                later(100 + millis / 3, () -> mUpstreams.forEach(u -> list(u, false)));
            }
            case 10 -> storeFault(SoakStore.Mode.SILENT, 500 + millis);
            case 11 -> storeFault(SoakStore.Mode.SLOW, 500 + millis);
            case 12 -> storeFault(SoakStore.Mode.REFUSING, 500 + millis);
            case 13 -> {
                SoakRelay relay = upstream.relay();
                relay.delay(20 + millis / 4);
                later(millis, () -> relay.delay(0));
            }
            case 14 -> upstream.relay().reset();
            default -> {
                SoakRelay relay = upstream.relay();
                relay.hold(millis % 2 == 0, millis % 2 == 1);
                later(500 + millis, () -> relay.hold(false, false));
            }
        }
    }

    /** Causes planned work or silences, single, in series or overlapping. */
    private void causePlanned() throws Exception {
        SoakUpstream upstream = mUpstreams.get(mRandom.nextInt(mUpstreams.size()));
        SoakUpstream other = mUpstreams.get(mRandom.nextInt(mUpstreams.size()));
        int position = mRandom.nextInt(mInstances.size());
        SoakInstance instance = mInstances.get(position);
        int millis = 800 + mRandom.nextInt(500);
        int offset = mRandom.nextInt(600);
        int fault = mRandom.nextInt(11);
        mHistory.count("planned " + fault);
        switch (fault) {
            case 0 -> instance.reload();
            case 1 -> stopInstance(position, instance);
            case 2 -> pause(instance, millis);
            case 3 -> upstream.silence(millis);
            case 4 -> silenceService(upstream.service(), offset, millis);
            case 5 -> {
                upstream.silence(millis);
                later(millis + 50 + offset / 2, () -> upstream.silence(millis));
                later(2 * millis + 100 + offset, () -> upstream.silence(millis));
            }
            case 6 -> storeFault(SoakStore.Mode.SILENT, millis);
            case 7 -> {
                upstream.silence(millis);
                pauseLater(instance, offset, millis);
            }
            case 8 -> {
                upstream.silence(millis);
                storeFault(SoakStore.Mode.SILENT, millis);
                stopInstance(position, instance);
            }
            case 9 -> {
                storeFault(SoakStore.Mode.SILENT, millis);
                pauseLater(instance, offset, millis);
            }
            default -> {
                silenceService(upstream.service(), offset, millis);
                later(offset / 2, () -> other.silence(millis));
                instance.reload();
            }
        }
    }

    /** Silences the upstreams of a service one after the other, so that the times may overlap. */
    private void silenceService(String service, long offsetMillis, long millis) {
        long delay = 0;
        for (SoakUpstream upstream : mUpstreams) {
            if (upstream.service().equals(service)) {
                later(delay, () -> upstream.silence(millis));
                delay += offsetMillis;
            }
        }
    }

    private void pauseLater(SoakInstance instance, long delayMillis, long millis) {
        later(delayMillis, () -> pause(instance, millis));
    }

    private void pause(SoakInstance instance, long millis) throws Exception {
        if (instance.pauseIfRunning()) {
            later(millis, instance::resume);
        }
    }

    /** Stops an instance gracefully unless two others are stopping. */
    private void stopInstance(int position, SoakInstance instance) throws Exception {
        long stopping = everStarted().stream().filter(i -> i.isStopping() && i.isAlive()).count();
        if (stopping < MAX_STOPPING) {
            replaceInstance(position, instance, true);
        }
    }

    private void storeFault(SoakStore.Mode mode, long millis) {
        if (System.nanoTime() - mBodiesRefusedAt < BODY_LIMIT_NANOS) {
            mHistory.count("store left alone");
            return;
        }
        mStore.mode(mode);
        later(millis, () -> mStore.mode(SoakStore.Mode.WELL));
    }

    /** Ends an instance; another one takes its place once it serves. */
    private void replaceInstance(int position, SoakInstance instance, boolean gracefully)
            throws Exception {
        if (instance.isStopping() || !instance.isAlive()) {
            return;
        }
        if (gracefully) {
            instance.stop();
        } else {
            instance.kill();
        }
        later(0, () -> mInstances.set(position, start()));
    }

    private void later(long millis, Step step) {
        mPending.add(
                mThreads.submit(
                        () -> {
                            Thread.sleep(millis);
                            step.run();
                            return null;
                        }));
    }

    /** Waits until the last faults are over. */
    void heal() throws Exception {
        // A step may add another one.
        for (Future<?> step = mPending.poll(); step != null; step = mPending.poll()) {
            step.get();
        }
        mUpstreams.forEach(upstream -> list(upstream, false));
    }

    @Override
    public void close() {
        mThreads.shutdownNow();
        everStarted().forEach(SoakInstance::close);
    }
}
