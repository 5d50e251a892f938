package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.bench.clock.VirtualClock;
import org.jspecify.annotations.Nullable;

/**
 * One process of a model engine with continuous batching. Each step decodes one token of every
 * running generation and prefills a chunk of one prompt. Running generations share the memory with
 * KV cache copies of other engines' generations.
 */
final class EngineModel {
    private static final double PAUSE_BETWEEN_COPIES_MILLIS = 250;
    private static final long COPY_LIFETIME_NANOS = 4 * VirtualClock.SECOND;

    private final VirtualClock mClock;
    private final EngineTraits mTraits;
    private final String mId;
    private final String mZone;
    private final List<Job> mJobs = new ArrayList<>();
    private final Map<String, Integer> mCopies = new HashMap<>();
    private final Map<String, Long> mCopyUntil = new HashMap<>();
    private boolean mStepping;
    private boolean mDead;
    private double mSlowness = 1;
    private long mTokensRead;

    EngineModel(VirtualClock clock, EngineTraits traits, String id, String zone) {
        mClock = clock;
        mTraits = traits;
        mId = id;
        mZone = zone;
    }

    /** Receives the output of a generation on behalf of its instance. */
    interface Listener {
        /** Receives an output event, numbered from 1 across all attempts. */
        void event(int number);

        /** Called after the last event. */
        void finished();
    }

    String id() {
        return mId;
    }

    String zone() {
        return mZone;
    }

    boolean isDead() {
        return mDead;
    }

    /** Multiplies the duration of each step by a factor. */
    void slowness(double factor) {
        mSlowness = factor;
    }

    /** Returns the number of tokens prefilled so far. */
    long tokensRead() {
        return mTokensRead;
    }

    /** Returns the memory in use, in tokens. */
    int memory() {
        int memory = 0;
        for (Job job : mJobs) {
            memory += job.memory();
        }
        for (int copy : mCopies.values()) {
            memory += copy;
        }
        return memory;
    }

    /** Returns the number of generations that are waiting, in prefill or decoding. */
    int jobs() {
        return mJobs.size();
    }

    /** Stops the process without notifying any instance. */
    void die() {
        mDead = true;
        mJobs.clear();
        mCopies.clear();
    }

    /**
     * Starts a generation.
     *
     * @return false if the engine is full, or {@code fromCopy} is set and it holds no copy
     */
    boolean submit(Job job, boolean fromCopy) {
        if (mDead || mJobs.size() >= mTraits.slots() + mTraits.queue()) {
            return false;
        }
        if (fromCopy) {
            Integer copied = mCopies.remove(job.mName);
            if (copied == null) {
                return false;
            }
            job.mToRead = Math.max(0, job.mPrompt + job.mTokens - copied);
        } else {
            job.mToRead = job.mPrompt + job.mTokens;
        }
        mJobs.add(job);
        if (job.mKeeper != null) {
            mClock.after(copyPause(), () -> copy(job));
        }
        step();
        return true;
    }

    /** Cancels a generation; its copy stays until it expires. */
    void cancel(Job job) {
        mJobs.remove(job);
    }

    private static long copyPause() {
        return Math.round(PAUSE_BETWEEN_COPIES_MILLIS * VirtualClock.MILLI);
    }

    private void copy(Job job) {
        EngineModel keeper = job.mKeeper;
        if (mDead || keeper == null || keeper.mDead || !mJobs.contains(job)) {
            return;
        }
        int known = keeper.mCopies.getOrDefault(job.mName, 0);
        int held = job.mPrompt + job.mTokens - job.mToRead;
        if (keeper.memory() + held - known <= mTraits.memoryTokens()) {
            keeper.mCopies.put(job.mName, held);
            long until = mClock.now() + COPY_LIFETIME_NANOS;
            keeper.mCopyUntil.put(job.mName, until);
            mClock.at(until, () -> keeper.expire(job.mName));
        }
        mClock.after(copyPause(), () -> copy(job));
    }

    private void expire(String name) {
        Long until = mCopyUntil.get(name);
        if (until != null && mClock.now() - until >= 0) {
            mCopyUntil.remove(name);
            mCopies.remove(name);
        }
    }

    private void step() {
        if (mStepping || mDead || mJobs.isEmpty()) {
            return;
        }
        mStepping = true;
        preempt();
        List<Job> admitted = admitted();
        Job reading = null;
        int running = 0;
        for (Job job : admitted) {
            if (job.mToRead > 0) {
                reading = reading == null ? job : reading;
            } else {
                running++;
            }
        }
        Job read = reading;
        double millis = mTraits.stepMillis() + mTraits.stepMillisPerJob() * running;
        if (read != null) {
            millis += Math.min(mTraits.chunkTokens(), read.mToRead) / mTraits.readTokensPerMilli();
        }
        mClock.after(
                Math.round(millis * mSlowness * VirtualClock.MILLI), () -> stepped(admitted, read));
    }

    private void stepped(List<Job> admitted, @Nullable Job read) {
        mStepping = false;
        if (mDead) {
            return;
        }
        if (read != null) {
            int tokens = Math.min(mTraits.chunkTokens(), read.mToRead);
            mTokensRead += tokens;
            read.mToRead -= tokens;
        }
        for (Job job : admitted) {
            if (job != read && job.mToRead == 0 && mJobs.contains(job)) {
                token(job);
            }
        }
        step();
    }

    private void token(Job job) {
        job.mTokens++;
        boolean whole = job.mTokens >= job.mOutput;
        if (job.mTokens % mTraits.tokensPerEvent() == 0 || whole) {
            job.mListener.event(
                    (job.mTokens + mTraits.tokensPerEvent() - 1) / mTraits.tokensPerEvent());
        }
        if (whole) {
            mJobs.remove(job);
            job.dropCopy();
            job.mListener.finished();
        }
    }

    /** Returns the jobs of the batch, by urgency and then by arrival. */
    private List<Job> admitted() {
        List<Job> order = new ArrayList<>(mJobs);
        order.sort(Comparator.comparingInt(job -> job.mUrgency));
        return List.copyOf(order.subList(0, Math.min(order.size(), mTraits.slots())));
    }

    /** Preempts the newest of the least urgent jobs until the others fit into memory. */
    private void preempt() {
        while (memory() > mTraits.memoryTokens() && mJobs.size() > 1) {
            Job victim = mJobs.getFirst();
            for (Job job : mJobs) {
                if (job.mUrgency >= victim.mUrgency && job.memory() > 0) {
                    victim = job;
                }
            }
            if (victim.memory() == 0) {
                return;
            }
            victim.mToRead = victim.mPrompt + victim.mTokens;
            mJobs.remove(victim);
            mJobs.add(victim);
        }
    }

    /** A generation that runs on an engine. */
    static final class Job {
        private final String mName;
        private final int mPrompt;
        private final int mOutput;
        private final int mUrgency;
        private final @Nullable EngineModel mKeeper;
        private final Listener mListener;
        private int mTokens;
        private int mToRead;

        Job(
                String name,
                int prompt,
                int output,
                int tokensMade,
                int urgency,
                @Nullable EngineModel keeper,
                Listener listener) {
            mName = name;
            mPrompt = prompt;
            mOutput = output;
            mTokens = tokensMade;
            mUrgency = urgency;
            mKeeper = keeper;
            mListener = listener;
        }

        private int memory() {
            return mPrompt + mTokens - mToRead;
        }

        private void dropCopy() {
            if (mKeeper != null) {
                mKeeper.mCopies.remove(mName);
            }
        }
    }
}
