package org.gentianwalk.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.Scheduler.LoadReport;

/**
 * Simulates an engine with continuous batching on the virtual clock. A step decodes one token of
 * each running generation and prefills a chunk of the prompts. Its duration is half of a full
 * batch's step time, plus a part proportional to the batch size, plus the prefill time. Waiting
 * generations are admitted by priority. Prompt blocks are kept in an LRU cache.
 */
final class FakeEngine {
    /** Maximum number of tokens prefilled per step; a full step then takes 68 ms. */
    private static final int PREFILL_CHUNK = 224;

    private static final int BLOCK_TOKENS = 64;

    /** Cache size in blocks, 64,000 tokens. */
    private static final int CACHE_BLOCKS = 1_000;

    private static final double NANOS = 1e9;

    final UpstreamInfo mInfo;
    private final VirtualClock mClock;
    private final Recorder mRecorder;
    private final List<Job> mRunning = new ArrayList<>();
    private final PriorityQueue<Job> mWaiting =
            new PriorityQueue<>(
                    Comparator.comparingInt((Job job) -> job.mPriority)
                            .thenComparingLong(job -> job.mSequence));
    private final LinkedHashMap<Long, Boolean> mCache = new LinkedHashMap<>(64, 0.75f, true);
    private final List<Long> mStored = new ArrayList<>();
    private final List<Long> mEvicted = new ArrayList<>();
    private boolean mStepping;
    private boolean mAlive = true;
    private boolean mPaused;
    private long mSequence;
    private long mEpoch;

    FakeEngine(UpstreamInfo info, VirtualClock clock, Recorder recorder) {
        mInfo = info;
        mClock = clock;
        mRecorder = recorder;
    }

    boolean isAlive() {
        return mAlive;
    }

    boolean isResponsive() {
        return mAlive && !mPaused;
    }

    void submit(Generation generation, int attempt, int priority) {
        if (!mAlive) {
            return;
        }
        mWaiting.add(new Job(generation, attempt, priority, mSequence++));
        startStepIfIdle();
    }

    void cancel(Generation generation) {
        mRunning.removeIf(job -> job.mGeneration == generation);
        mWaiting.removeIf(job -> job.mGeneration == generation);
    }

    /** Crashes the engine, clears its cache and returns the running and waiting generations. */
    List<Generation> crash() {
        List<Generation> lost = new ArrayList<>();
        mRunning.forEach(job -> lost.add(job.mGeneration));
        mWaiting.forEach(job -> lost.add(job.mGeneration));
        mRunning.clear();
        mWaiting.clear();
        mCache.clear();
        mAlive = false;
        mStepping = false;
        mEpoch++;
        return lost;
    }

    void restart() {
        mAlive = true;
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        startStepIfIdle();
    }

    LoadReport loadReport() {
        double used = (double) mCache.size() / CACHE_BLOCKS;
        return new LoadReport(
                mInfo.id(), mRunning.size(), mWaiting.size(), mInfo.tokensPerSecond(), used, false);
    }

    List<Long> drainStoredBlocks() {
        List<Long> stored = List.copyOf(mStored);
        mStored.clear();
        return stored;
    }

    List<Long> drainEvictedBlocks() {
        List<Long> evicted = List.copyOf(mEvicted);
        mEvicted.clear();
        return evicted;
    }

    private void startStepIfIdle() {
        if (!mStepping && mAlive && !mPaused) {
            startStep();
        }
    }

    private void startStep() {
        while (mRunning.size() < mInfo.slots() && !mWaiting.isEmpty()) {
            admit(mWaiting.remove());
        }
        if (mRunning.isEmpty()) {
            mStepping = false;
            return;
        }
        mStepping = true;
        int chunk = PREFILL_CHUNK;
        int decoding = 0;
        for (Job job : mRunning) {
            int prefill = Math.min(chunk, job.mPrefillLeft);
            chunk -= prefill;
            job.mPrefillLeft -= prefill;
            job.mDecoding = job.mPrefillLeft == 0;
            decoding += job.mDecoding ? 1 : 0;
        }
        int prefilled = PREFILL_CHUNK - chunk;
        double fullStep = mInfo.slots() / mInfo.tokensPerSecond();
        double seconds =
                fullStep / 2
                        + fullStep / 2 * decoding / mInfo.slots()
                        + prefilled / mInfo.prefillTokensPerSecond();
        long epoch = mEpoch;
        mClock.after((long) (seconds * NANOS), () -> finishStep(epoch));
    }

    private void finishStep(long epoch) {
        if (epoch != mEpoch || !mAlive) {
            return;
        }
        if (mPaused) {
            mStepping = false;
            return;
        }
        for (Job job : List.copyOf(mRunning)) {
            if (!job.mDecoding || !mRunning.contains(job)) {
                continue;
            }
            Generation generation = job.mGeneration;
            if (!job.mPrefillDone) {
                job.mPrefillDone = true;
                storeBlocks(generation.mItem.prefixHashes());
            }
            if (generation.mEngine != this || generation.mAttempt != job.mAttempt) {
                mRunning.remove(job);
                continue;
            }
            generation.mOwner.receiveToken(generation, this);
            if (generation.mEnded) {
                mRunning.remove(job);
            }
            if (!mAlive) {
                return;
            }
        }
        startStep();
    }

    private void admit(Job job) {
        List<Long> blocks = job.mGeneration.mItem.prefixHashes();
        int cachedBlocks = 0;
        while (cachedBlocks < blocks.size() && mCache.get(blocks.get(cachedBlocks)) != null) {
            cachedBlocks++;
        }
        int prompt = job.mGeneration.mItem.promptTokens();
        int cached = Math.min(prompt, cachedBlocks * BLOCK_TOKENS);
        job.mGeneration.mCachedTokens = cached;
        job.mPrefillLeft = Math.max(1, prompt - cached + job.mGeneration.mGenerated);
        mRecorder.recordPrefill(job.mGeneration, job.mAttempt, job.mPrefillLeft, mClock.now());
        mRunning.add(job);
    }

    private void storeBlocks(List<Long> blocks) {
        for (Long block : blocks) {
            if (mCache.put(block, true) == null) {
                mStored.add(block);
            }
        }
        for (var eldest = mCache.entrySet().iterator(); mCache.size() > CACHE_BLOCKS; ) {
            Map.Entry<Long, Boolean> entry = eldest.next();
            mEvicted.add(entry.getKey());
            eldest.remove();
        }
    }

    static int blockTokens() {
        return BLOCK_TOKENS;
    }

    /** An attempt at the engine. */
    private static final class Job {
        final Generation mGeneration;
        final int mAttempt;
        final int mPriority;
        final long mSequence;
        int mPrefillLeft;
        boolean mDecoding;
        boolean mPrefillDone;

        Job(Generation generation, int attempt, int priority, long sequence) {
            mGeneration = generation;
            mAttempt = attempt;
            mPriority = priority;
            mSequence = sequence;
        }
    }
}
