package org.gentianwalk.gateway.sockets;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Asks the instances of a soak for the version of the configuration that is in force there. */
final class SoakProbe {
    /** Time within which a configuration must be in force (docs/platform.md). */
    static final Duration IN_FORCE = Duration.ofMillis(2_500);

    /** Time for which the upstream that answers probes may be silent or missing. */
    private static final long UNSEEN_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final SoakHistory mHistory;
    private final SoakStore mStore;
    private final List<SoakInstance> mInstances;

    /**
     * Creates a probe.
     *
     * @param history records what is shown
     * @param store the store
     * @param instances the instances that callers may choose
     */
    SoakProbe(SoakHistory history, SoakStore store, List<SoakInstance> instances) {
        mHistory = history;
        mStore = store;
        mInstances = instances;
    }

    /** Asks all instances for their configuration, which must not become older. */
    Void run(BooleanSupplier running) throws Exception {
        while (running.getAsBoolean()) {
            for (SoakInstance instance : mInstances) {
                shownVersion(instance);
            }
            Thread.sleep(50);
        }
        return null;
    }

    private long shownVersion(SoakInstance instance) {
        synchronized (instance) {
            try (RawCaller caller = instance.caller()) {
                long sentAt = System.nanoTime();
                RawCaller.Response response =
                        caller.call("/version/", "probe-" + System.nanoTime(), "x-key: probe");
                return response == null ? 0 : mHistory.shown(instance, response, sentAt);
            } catch (IOException e) {
                return 0;
            }
        }
    }

    /** Checks that a version that has just been confirmed is in force everywhere in time. */
    void checkInForce(long version) throws InterruptedException {
        long end = System.nanoTime() + IN_FORCE.toNanos();
        for (SoakInstance instance : mInstances) {
            long shown = shownVersion(instance);
            while (shown < version && System.nanoTime() - end < 0) {
                Thread.sleep(20);
                shown = shownVersion(instance);
            }
            if (shown < version) {
                mHistory.violation(
                        "%s shows configuration %d instead of %d after %s"
                                .formatted(instance.name(), shown, version, IN_FORCE));
            }
        }
    }

    /**
     * Checks, after the bound, that a version which was confirmed after the store came back is in
     * force at all instances, unless another fault of the store or of an instance came between.
     */
    void checkInForceAfterRestore(long version) throws InterruptedException {
        long confirmedAt = System.nanoTime();
        Thread.sleep(IN_FORCE.toMillis());
        for (SoakInstance instance : mInstances) {
            long shown = shownVersion(instance);
            long end = System.nanoTime() + UNSEEN_NANOS;
            while (shown == 0 && System.nanoTime() - end < 0) {
                Thread.sleep(20);
                shown = shownVersion(instance);
            }
            boolean excused =
                    !instance.isAlive()
                            || instance.isStopping()
                            || instance.isExcused(confirmedAt)
                            || !mStore.isWellSince(confirmedAt);
            if (shown >= version) {
                mHistory.count("restored, in force");
            } else if (shown == 0 || excused) {
                mHistory.count("restored, not judged");
            } else {
                mHistory.violation(
                        "%s shows configuration %d, but %d was confirmed %s before, after a restore"
                                .formatted(instance.name(), shown, version, IN_FORCE));
            }
        }
    }
}
