package org.gentianwalk.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** State of one process of an engine: its load from all instances and its liveness. */
final class EngineState implements LossEvidence.ObservedProcess {
    static final long NANOS_PER_MILLI = 1_000_000L;

    private static final Comparator<Prefill> BY_START =
            Comparator.comparingLong(Prefill::startedNanos);

    /** Remaining prefill time assumed for a prompt that is past its expected time. */
    private static final long OVERDUE_NANOS = 300_000_000L;

    private Upstream mUpstream;
    private final long mListedAt;
    private final LaterStart mLaterStart;
    private final Reachability mReachability = new Reachability();
    private final Map<Long, Load> mLoads = new HashMap<>();
    private final Map<String, List<Load>> mPeerLoads = new HashMap<>();
    private long mLastOutput;
    private boolean mHasOutput;
    private long mLastSign;
    private boolean mHasSign;
    private boolean mEnded;
    private @Nullable Long mUnlistedAt;
    private boolean mNotListening;
    private long mNotListeningAt;
    private boolean mSilent;
    private long mSilentAt;
    private boolean mReportedSilent;
    private long mReportedSilentAt;
    private boolean mChecking;
    private boolean mHasCheck;
    private long mCheckedAt;

    EngineState(Upstream upstream, long nowNanos) {
        mUpstream = upstream;
        mListedAt = nowNanos;
        mLaterStart = new LaterStart(nowNanos);
    }

    /**
     * Load of one generation.
     *
     * @param startedNanos when it was sent to the engine
     * @param prompt tokens to prefill before the first output; 0 for a copy
     * @param memory KV cache memory, tokens
     * @param prefilling true until the first output
     * @param copy true for a copy of a generation that runs elsewhere
     * @param suspect true until the first output of a generation that has lost an engine before
     */
    record Load(
            long startedNanos,
            int prompt,
            int memory,
            boolean prefilling,
            boolean copy,
            boolean suspect) {
        static Load copy(long startedNanos, int memory) {
            return new Load(startedNanos, 0, memory, false, true, false);
        }
    }

    private record Prefill(long startedNanos, int prompt) {}

    @Override
    public Upstream upstream() {
        return mUpstream;
    }

    void upstream(Upstream upstream) {
        mUpstream = upstream;
    }

    /** Returns when the process was first seen on the list. */
    long listedAt() {
        return mListedAt;
    }

    /** Records that the entry of the process has left the list. */
    void markUnlisted(long nowNanos) {
        mUnlistedAt = nowNanos;
    }

    /** Records that the entry of the process is listed again. */
    void markListed() {
        mUnlistedAt = null;
    }

    /** Returns whether the entry of the process has been away from the list since a time. */
    boolean isUnlistedSince(long nanos) {
        return mUnlistedAt != null && mUnlistedAt - nanos <= 0;
    }

    /** Records that a check by this instance found that the engine is silent. */
    void recordSilence(long atNanos) {
        if (!mSilent || atNanos - mSilentAt > 0) {
            mSilent = true;
            mSilentAt = atNanos;
        }
    }

    /** Records that another instance found that the engine is silent. */
    void recordReportedSilence(long atNanos) {
        if (!mReportedSilent || atNanos - mReportedSilentAt > 0) {
            mReportedSilent = true;
            mReportedSilentAt = atNanos;
        }
    }

    /**
     * Returns whether a check by this instance found the engine silent after a time, and it has
     * shown no sign of life since.
     */
    boolean isSilentAfter(long nanos) {
        return mSilent && mSilentAt - nanos > 0 && !isAliveSince(mSilentAt);
    }

    /**
     * Returns whether another instance found the engine silent after a time, and it has shown no
     * sign of life to this one since. The other instance may have been paused itself.
     */
    boolean isReportedSilentAfter(long nanos) {
        return mReportedSilent && mReportedSilentAt - nanos > 0 && !isAliveSince(mReportedSilentAt);
    }

    /**
     * Returns whether this or another instance found the engine silent, and it has shown no sign of
     * life since.
     */
    boolean isSilent() {
        return mSilent && !isAliveSince(mSilentAt)
                || mReportedSilent && !isAliveSince(mReportedSilentAt);
    }

    /** Returns when a check by this instance last found the engine silent. */
    long silentAt() {
        return mSilentAt;
    }

    /**
     * Starts a liveness check.
     *
     * @param minIntervalNanos minimum time between the start of two checks
     * @return false when a check is in progress or the last one is too recent
     */
    boolean startCheck(long nowNanos, long minIntervalNanos) {
        if (mChecking || mHasCheck && nowNanos - mCheckedAt < minIntervalNanos) {
            return false;
        }
        mChecking = true;
        mHasCheck = true;
        mCheckedAt = nowNanos;
        return true;
    }

    /**
     * Records the result of the liveness check in progress.
     *
     * @return false when the check shows that the engine does not respond
     */
    boolean endCheck(boolean responded, long nowNanos) {
        mChecking = false;
        if (responded) {
            recordSign(nowNanos);
            mNotListening &= !isCheckedSince(mNotListeningAt);
        }
        return responded || isAliveSince(mCheckedAt);
    }

    /** Returns whether the last liveness check started at or after a time. */
    @Override
    public boolean isCheckedSince(long nanos) {
        return mHasCheck && mCheckedAt - nanos >= 0;
    }

    /**
     * Records that a process that was started later has answered a check at the address.
     *
     * @return a time by which it had started
     */
    long recordLaterStart(long incarnation, long nowNanos) {
        return mLaterStart.record(mUpstream, incarnation, nowNanos);
    }

    /** Records that the process has ended for good although it may still be listed. */
    void markEnded() {
        mEnded = true;
    }

    /** Returns whether the process is known to have ended for good. */
    boolean hasEnded() {
        return mEnded;
    }

    /**
     * Records that nothing listened at the address. The process may have been started again under
     * the same entry, or was listed too early, so a later check that it responds to ends this.
     */
    void markNotListening(long nowNanos) {
        mNotListening = true;
        mNotListeningAt = nowNanos;
    }

    /** Returns whether nothing listened at the address, and no check has shown otherwise since. */
    boolean isNotListening() {
        return mNotListening;
    }

    @Override
    public boolean hasEndedAfter(long lossNanos) {
        return mEnded || mNotListening;
    }

    Reachability reachability() {
        return mReachability;
    }

    void putLoad(long key, Load load) {
        mLoads.put(key, load);
    }

    void removeLoad(long key) {
        mLoads.remove(key);
    }

    void replacePeerLoads(String instance, List<Load> loads) {
        if (loads.isEmpty()) {
            mPeerLoads.remove(instance);
        } else {
            mPeerLoads.put(instance, loads);
        }
    }

    /** Records output of any generation. */
    void recordOutput(long nowNanos) {
        mHasOutput = true;
        mLastOutput = nowNanos;
        recordSign(nowNanos);
    }

    private void recordSign(long nowNanos) {
        if (!mHasSign || nowNanos - mLastSign > 0) {
            mHasSign = true;
            mLastSign = nowNanos;
        }
    }

    /** Returns whether the engine has produced output or responded to a check since a time. */
    @Override
    public boolean isAliveSince(long nanos) {
        return mHasSign && mLastSign - nanos >= 0;
    }

    /** Returns whether the engine has produced output since a time. */
    boolean hasOutputSince(long nanos) {
        return mHasOutput && mLastOutput - nanos >= 0;
    }

    /** Returns the number of running generations, without copies. */
    int running() {
        int running = 0;
        for (Load load : allLoads()) {
            if (!load.copy()) {
                running++;
            }
        }
        return running;
    }

    /** Returns whether a generation may be about to crash the engine. */
    boolean hasSuspect() {
        return allLoads().stream().anyMatch(Load::suspect);
    }

    /** Returns the number of generations in the decoding phase. */
    int decoding() {
        int decoding = 0;
        for (Load load : allLoads()) {
            if (!load.copy() && !load.prefilling()) {
                decoding++;
            }
        }
        return decoding;
    }

    /** Returns the KV cache memory of generations and copies, tokens. */
    int memory() {
        int memory = 0;
        for (Load load : allLoads()) {
            memory += load.memory();
        }
        return memory;
    }

    /**
     * Returns the remaining prefill time of all prompts, nanoseconds. An engine prefills one prompt
     * at a time, in the order of their start.
     */
    long backlog(double prefillTokensPerNano, long nowNanos) {
        List<Prefill> prefills = new ArrayList<>();
        for (Load load : allLoads()) {
            if (load.prefilling() && !load.copy()) {
                prefills.add(new Prefill(load.startedNanos(), load.prompt()));
            }
        }
        if (prefills.isEmpty()) {
            return 0;
        }
        prefills.sort(BY_START);
        long end = prefills.getFirst().startedNanos();
        for (Prefill prefill : prefills) {
            end = Math.max(end, prefill.startedNanos());
            end += Math.round(prefill.prompt() / prefillTokensPerNano);
            // A prompt past its expected time is still in prefill until its first output.
            end = Math.max(end, nowNanos + OVERDUE_NANOS);
        }
        return end - nowNanos;
    }

    private List<Load> allLoads() {
        List<Load> all = new ArrayList<>(mLoads.values());
        mPeerLoads.values().forEach(all::addAll);
        return all;
    }
}
