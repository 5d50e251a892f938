package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.gentianwalk.bench.clock.VirtualClock;
import org.jspecify.annotations.Nullable;

/**
 * One process of a model engine with continuous batching. Each step decodes one token of every
 * running generation and prefills a chunk of one prompt. Running generations share the memory with
 * KV cache copies of other engines' generations.
 */
final class EngineModel {
    private static final double COPY_INTERVAL_MILLIS = 250;
    private static final long COPY_LIFETIME_NANOS = 4 * VirtualClock.SECOND;

    private final VirtualClock mClock;
    private final EngineTraits mTraits;
    private final String mId;
    private final String mZone;
    private final List<Job> mJobs = new ArrayList<>();
    private final Map<String, Integer> mCopies = new HashMap<>();
    private final Map<String, Long> mCopyExpiresAt = new HashMap<>();
    private boolean mStepping;
    private boolean mStopped;
    private final Random mRandom;
    private double mStepTimeFactor = 1;
    private double mNoiseFactor = 1;
    private long mPrefilledTokens;

    EngineModel(VirtualClock clock, EngineTraits traits, String id, String zone, long seed) {
        mRandom = new Random(seed);
        mClock = clock;
        mTraits = traits;
        mId = id;
        mZone = zone;
        if (traits.noise().share() > 0) {
            changeNoise();
        }
    }

    private void changeNoise() {
        EngineTraits.Noise noise = mTraits.noise();
        mNoiseFactor = mRandom.nextDouble() < noise.share() ? noise.factor() : 1;
        mClock.after(noise.intervalMillis() * VirtualClock.MILLI, this::changeNoise);
    }

    /** Receives the output of a generation on behalf of its instance. */
    interface Listener {
        /** Receives an output event, numbered from 1 across all attempts. */
        void onEvent(int number);

        /** Called after the last event. */
        void onFinished();
    }

    String id() {
        return mId;
    }

    String zone() {
        return mZone;
    }

    boolean isStopped() {
        return mStopped;
    }

    /** Multiplies the duration of each step by a factor. */
    void scaleStepTime(double factor) {
        mStepTimeFactor = factor;
    }

    /** Returns the number of tokens prefilled so far. */
    long prefilledTokens() {
        return mPrefilledTokens;
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
    void stop() {
        mStopped = true;
        mJobs.clear();
        mCopies.clear();
    }

    /**
     * Starts a generation.
     *
     * @return false if the engine is full, or {@code fromCopy} is set and it holds no copy
     */
    boolean submit(Job job, boolean fromCopy) {
        if (mStopped || mJobs.size() >= mTraits.slots() + mTraits.queue()) {
            return false;
        }
        if (fromCopy) {
            Integer copied = mCopies.remove(job.mName);
            if (copied == null) {
                return false;
            }
            job.mPrefillLeft = Math.max(0, job.mPrompt + job.mTokens - copied);
        } else {
            job.mPrefillLeft = job.mPrompt + job.mTokens;
        }
        mJobs.add(job);
        if (job.mKeeper != null) {
            mClock.after(copyIntervalNanos(), () -> copyToKeeper(job));
        }
        startStep();
        return true;
    }

    /** Cancels a generation; its copy stays until it expires. */
    void cancel(Job job) {
        mJobs.remove(job);
    }

    private static long copyIntervalNanos() {
        return Math.round(COPY_INTERVAL_MILLIS * VirtualClock.MILLI);
    }

    private void copyToKeeper(Job job) {
        EngineModel keeper = job.mKeeper;
        if (mStopped || keeper == null || keeper.mStopped || !mJobs.contains(job)) {
            return;
        }
        int copied = keeper.mCopies.getOrDefault(job.mName, 0);
        int held = job.mPrompt + job.mTokens - job.mPrefillLeft;
        if (keeper.memory() + held - copied <= mTraits.memoryTokens()) {
            keeper.mCopies.put(job.mName, held);
            long until = mClock.now() + COPY_LIFETIME_NANOS;
            keeper.mCopyExpiresAt.put(job.mName, until);
            mClock.at(until, () -> keeper.expireCopy(job.mName));
        }
        mClock.after(copyIntervalNanos(), () -> copyToKeeper(job));
    }

    private void expireCopy(String name) {
        Long until = mCopyExpiresAt.get(name);
        if (until != null && mClock.now() - until >= 0) {
            mCopyExpiresAt.remove(name);
            mCopies.remove(name);
        }
    }

    private void startStep() {
        if (mStepping || mStopped || mJobs.isEmpty()) {
            return;
        }
        mStepping = true;
        preemptJobs();
        List<Job> batch = selectBatch();
        Job nextPrefill = null;
        int running = 0;
        for (Job job : batch) {
            if (job.mPrefillLeft > 0) {
                nextPrefill = nextPrefill == null ? job : nextPrefill;
            } else {
                running++;
            }
        }
        Job prefill = nextPrefill;
        double millis = mTraits.stepMillis() + mTraits.stepMillisPerJob() * running;
        if (prefill != null) {
            millis +=
                    Math.min(mTraits.chunkTokens(), prefill.mPrefillLeft)
                            / mTraits.prefillTokensPerMilli();
        }
        mClock.after(
                Math.round(millis * mStepTimeFactor * mNoiseFactor * VirtualClock.MILLI),
                () -> finishStep(batch, prefill));
    }

    private void finishStep(List<Job> batch, @Nullable Job prefill) {
        mStepping = false;
        if (mStopped) {
            return;
        }
        if (prefill != null) {
            int tokens = Math.min(mTraits.chunkTokens(), prefill.mPrefillLeft);
            mPrefilledTokens += tokens;
            prefill.mPrefillLeft -= tokens;
        }
        for (Job job : batch) {
            if (job != prefill && job.mPrefillLeft == 0 && mJobs.contains(job)) {
                generateToken(job);
            }
        }
        startStep();
    }

    private void generateToken(Job job) {
        job.mTokens++;
        boolean complete = job.mTokens >= job.mOutput;
        if (job.mTokens % mTraits.tokensPerEvent() == 0 || complete) {
            job.mListener.onEvent(
                    (job.mTokens + mTraits.tokensPerEvent() - 1) / mTraits.tokensPerEvent());
        }
        if (complete) {
            mJobs.remove(job);
            job.dropCopy();
            job.mListener.onFinished();
        }
    }

    /** Returns the jobs of the batch, by urgency and then by arrival. */
    private List<Job> selectBatch() {
        List<Job> order = new ArrayList<>(mJobs);
        order.sort(Comparator.comparingInt(job -> job.mUrgency));
        return List.copyOf(order.subList(0, Math.min(order.size(), mTraits.slots())));
    }

    /** Preempts the newest of the least urgent jobs until the others fit into memory. */
    private void preemptJobs() {
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
            victim.mPrefillLeft = victim.mPrompt + victim.mTokens;
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
        private int mPrefillLeft;

        Job(
                String name,
                int prompt,
                int output,
                int generatedTokens,
                int urgency,
                @Nullable EngineModel keeper,
                Listener listener) {
            mName = name;
            mPrompt = prompt;
            mOutput = output;
            mTokens = generatedTokens;
            mUrgency = urgency;
            mKeeper = keeper;
            mListener = listener;
        }

        private int memory() {
            return mPrompt + mTokens - mPrefillLeft;
        }

        private void dropCopy() {
            if (mKeeper != null) {
                mKeeper.mCopies.remove(mName);
            }
        }
    }
}
