package org.gentianwalk.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What is known about one run of an engine: its work, by all instances, and how it behaves. */
final class EngineState {
    static final long NANOS_PER_MILLI = 1_000_000L;

    private static final Comparator<Reading> BY_START =
            Comparator.comparingLong(Reading::startedNanos);

    /** Remaining time assumed of a prompt that should have been read by now. */
    private static final long OVERDUE_NANOS = 300_000_000L;

    private Upstream mUpstream;
    private final long mListedAt;
    private final Reachability mReachability = new Reachability();
    private final Map<Long, Load> mOwn = new HashMap<>();
    private final Map<String, List<Load>> mOthers = new HashMap<>();
    private long mLastOutput;
    private boolean mHasOutput;
    private boolean mOver;
    private boolean mSilent;
    private long mSilentAt;

    EngineState(Upstream upstream, long nowNanos) {
        mUpstream = upstream;
        mListedAt = nowNanos;
    }

    /**
     * A generation's load.
     *
     * @param startedNanos when it was sent to the engine
     * @param prompt tokens that the engine reads before the first output; 0 for a copy
     * @param memory tokens of memory
     * @param reading true until the first output
     * @param copy true for a copy of a generation that runs elsewhere
     */
    record Load(long startedNanos, int prompt, int memory, boolean reading, boolean copy) {}

    private record Reading(long startedNanos, int prompt) {}

    Upstream upstream() {
        return mUpstream;
    }

    void upstream(Upstream upstream) {
        mUpstream = upstream;
    }

    /** Returns when the run was first seen on the list. */
    long listedAt() {
        return mListedAt;
    }

    /** Records that this or another instance has found the engine silent. */
    void silent(long atNanos) {
        if (!mSilent || atNanos - mSilentAt > 0) {
            mSilent = true;
            mSilentAt = atNanos;
        }
    }

    /** Tells whether the engine was silent after a time and has brought no output since. */
    boolean isSilentAfter(long nanos) {
        return mSilent && mSilentAt - nanos > 0 && !hasOutputSince(mSilentAt);
    }

    /** Records that the run has ended, although it is still listed. */
    void over() {
        mOver = true;
    }

    boolean isOver() {
        return mOver;
    }

    Reachability reachability() {
        return mReachability;
    }

    void own(long key, Load load) {
        mOwn.put(key, load);
    }

    void withoutOwn(long key) {
        mOwn.remove(key);
    }

    void others(String instance, List<Load> loads) {
        if (loads.isEmpty()) {
            mOthers.remove(instance);
        } else {
            mOthers.put(instance, loads);
        }
    }

    /** Records output of any generation of this instance. */
    void output(long nowNanos) {
        mHasOutput = true;
        mLastOutput = nowNanos;
    }

    /** Tells whether the engine has sent output to this instance since a time. */
    boolean hasOutputSince(long nanos) {
        return mHasOutput && mLastOutput - nanos >= 0;
    }

    /** Returns the generations that run here; copies do not count. */
    int running() {
        int running = 0;
        for (Load load : all()) {
            if (!load.copy()) {
                running++;
            }
        }
        return running;
    }

    /** Returns the generations that bring output here. */
    int decoding() {
        int decoding = 0;
        for (Load load : all()) {
            if (!load.copy() && !load.reading()) {
                decoding++;
            }
        }
        return decoding;
    }

    /** Returns the tokens of memory that generations and copies take up. */
    int memory() {
        int memory = 0;
        for (Load load : all()) {
            memory += load.memory();
        }
        return memory;
    }

    /**
     * Returns how long the engine still reads prompts, nanoseconds. It reads one prompt after the
     * other, so those that started later wait for those before them.
     */
    long backlog(double tokensPerNano, long nowNanos) {
        List<Reading> readings = new ArrayList<>();
        for (Load load : all()) {
            if (load.reading() && !load.copy()) {
                readings.add(new Reading(load.startedNanos(), load.prompt()));
            }
        }
        if (readings.isEmpty()) {
            return 0;
        }
        readings.sort(BY_START);
        long end = readings.getFirst().startedNanos();
        for (Reading reading : readings) {
            end = Math.max(end, reading.startedNanos());
            end += Math.round(reading.prompt() / tokensPerNano);
            // A prompt that takes longer than expected is not finished before its first output.
            end = Math.max(end, nowNanos + OVERDUE_NANOS);
        }
        return end - nowNanos;
    }

    private List<Load> all() {
        List<Load> all = new ArrayList<>(mOwn.values());
        mOthers.values().forEach(all::addAll);
        return all;
    }
}
