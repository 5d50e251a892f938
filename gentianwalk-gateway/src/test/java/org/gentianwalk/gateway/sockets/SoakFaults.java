package org.gentianwalk.gateway.sockets;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Causes the faults of one soak, in series and overlapping, as its seed draws them. */
final class SoakFaults implements AutoCloseable {
    /**
     * Time after a version that refuses all bodies within which the store is left alone, so that
     * the next version reaches the instances.
     */
    private static final long BODY_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_STOPPING = 2;

    private final Random mRandom;

    /**
     * Draws the times of garbage apart from the other faults, which stay those of earlier seeds.
     */
    private final Random mGarbleRandom;

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
    private int mStarted;
    private long mBodiesRefusedAt = System.nanoTime() - BODY_LIMIT_NANOS;

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

    void publish(boolean sound) {
        byte[] version = mConfiguration.next(sound, mStore.mode() == SoakStore.Mode.WELL);
        mStore.rows().put(PlainRows.CONFIG, PlainRows.CONFIG, version);
    }

    void list(SoakUpstream upstream, boolean draining) {
        mStore.rows()
                .put(
                        PlainRows.UPSTREAMS,
                        upstream.id(),
                        PlainRows.encode(upstream.entry(draining)));
    }

    /** Changes the configuration and causes a fault beside about every third change. */
    void run(long seconds) throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() - end < 0 || mConfiguration.isRefusingBodies()) {
            publish(false);
            garble();
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
                mUpstreams.forEach(u -> mStore.rows().remove(PlainRows.UPSTREAMS, u.id()));
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
