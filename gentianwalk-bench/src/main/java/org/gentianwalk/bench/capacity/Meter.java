package org.gentianwalk.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * Measures the CPU time of the calling thread and the retained heap of objects. The CPU time of the
 * garbage collector's threads is not included.
 */
final class Meter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int ROUNDS = 5;

    private final long mWarmUpNanos;
    private final long mRoundNanos;

    Meter(boolean quick) {
        mWarmUpNanos = quick ? 5_000_000 : 100_000_000;
        mRoundNanos = quick ? 2_000_000 : 20_000_000;
    }

    /** Returns the CPU time that the calling thread has used so far, nanoseconds. */
    static long cpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Returns the median CPU time of one call over several rounds, nanoseconds. */
    double nanosPerCall(Runnable operation) {
        measureRound(operation, mWarmUpNanos);
        double[] rounds = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            rounds[i] = measureRound(operation, mRoundNanos);
        }
        Arrays.sort(rounds);
        return rounds[ROUNDS / 2];
    }

    private static double measureRound(Runnable operation, long nanos) {
        long started = cpuNanos();
        long calls = 0;
        long used = 0;
        // Reads the clock only after batches of doubling size, so that reading it costs little.
        for (long batch = 1; used < nanos; batch *= 2) {
            for (long i = 0; i < batch; i++) {
                operation.run();
            }
            calls += batch;
            used = cpuNanos() - started;
        }
        return (double) used / calls;
    }

    /** Returns the retained heap size of one object, bytes. */
    static double heapBytes(int copies, Supplier<Object> object) {
        object.get();
        List<Object> kept = new ArrayList<>(copies);
        long before = usedHeapBytes();
        for (int i = 0; i < copies; i++) {
            kept.add(object.get());
        }
        long after = usedHeapBytes();
        if (kept.size() != copies) {
            throw new IllegalStateException(
                    "the objects must stay reachable until the second measurement");
        }
        return (double) (after - before) / copies;
    }

    private static long usedHeapBytes() {
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
