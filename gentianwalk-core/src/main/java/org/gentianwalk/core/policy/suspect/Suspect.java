package org.gentianwalk.core.policy.suspect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.model.Fingerprint;
import org.jspecify.annotations.Nullable;

/** Evidence against one request or one prompt part: the engines lost since it last succeeded. */
final class Suspect {
    /** Time within which two losses of the same engine are the same loss, nanoseconds. */
    private static final long SAME_LOSS_NANOS = 5_000_000_000L;

    /** Losses kept; further ones do not change a verdict. */
    private static final int MAX_LOSSES = 32;

    /**
     * Time for which a loss that only silence shows holds the request after another loss. A process
     * that has ended refuses the next connection, and checks are made several times a second.
     */
    private static final long HOLD_NANOS = 2_000_000_000L;

    private static final int ENGINE_SHIFT = 32;
    private static final int SEQUENCE_MASK = 0x7fff_ffff;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Marks the identifier of a loss that a later sign of life of the engine refutes. */
    private static final long REVOCABLE_BIT = 0x8000_0000L;

    private final Fingerprint mFingerprint;
    private final boolean mPart;
    private final List<Loss> mLosses = new ArrayList<>(2);

    /** Losses that are neither confirmed nor refuted yet. */
    private final List<Loss> mUnsettled = new ArrayList<>(0);

    /**
     * Hashes of the engines that may have been lost under it, of which some may not be known yet.
     */
    private final Set<Integer> mPossiblyLost = new HashSet<>(0);

    private @Nullable Long mClearedAt;
    private boolean mConvicted;
    private long mChangedAt;
    private @Nullable Long mObservedAt;

    Suspect(Fingerprint fingerprint, boolean part, long nowNanos) {
        mFingerprint = fingerprint;
        mPart = part;
        mChangedAt = nowNanos;
    }

    /**
     * A loss of an engine.
     *
     * @param id identifier of the loss; the upper 32 bits are the hash of the engine's identifier
     * @param request hash of the request that was running there
     * @param atNanos time of the loss
     */
    record Loss(long id, int request, long atNanos) {
        int engine() {
            return (int) (id >> ENGINE_SHIFT);
        }

        boolean isRevocable() {
            return (id & REVOCABLE_BIT) != 0;
        }

        boolean isSameEvent(Loss other) {
            return id == other.id
                    || engine() == other.engine()
                            && request == other.request
                            && Math.abs(atNanos - other.atNanos) < SAME_LOSS_NANOS;
        }
    }

    static long lossId(int engine, int sequence, boolean revocable) {
        long id = ((long) engine << ENGINE_SHIFT) | (sequence & SEQUENCE_MASK);
        return revocable ? id | REVOCABLE_BIT : id;
    }

    Fingerprint fingerprint() {
        return mFingerprint;
    }

    boolean isPart() {
        return mPart;
    }

    List<Loss> losses() {
        return mLosses;
    }

    List<Loss> unsettled() {
        return mUnsettled;
    }

    @Nullable Long clearedAt() {
        return mClearedAt;
    }

    long changedAt() {
        return mChangedAt;
    }

    /** Records that the latest change was observed by this instance itself. */
    void recordObservation(long nowNanos) {
        mObservedAt = nowNanos;
    }

    /** Returns whether this instance has observed any of the evidence itself. */
    boolean isObserved() {
        return mObservedAt != null;
    }

    boolean isObservedSince(long nanos) {
        return mObservedAt != null && mObservedAt - nanos >= 0;
    }

    /** Returns the time of the last observation of this instance, or else of the last change. */
    long reportedFrom() {
        return mObservedAt == null ? mChangedAt : mObservedAt;
    }

    boolean isConvicted() {
        return mConvicted;
    }

    /** Convicts the suspect. The conviction is as old as the last loss, at all instances. */
    void convict() {
        mConvicted = true;
    }

    /** Adds a loss and returns whether the evidence has changed. */
    boolean addLoss(Loss loss) {
        if (!loss.isRevocable()) {
            mLosses.removeIf(known -> known.isRevocable() && loss.isSameEvent(known));
        }
        mUnsettled.removeIf(loss::isSameEvent);
        if (isObsolete(loss)
                || mLosses.size() >= MAX_LOSSES
                || mLosses.stream().anyMatch(loss::isSameEvent)) {
            return false;
        }
        mLosses.add(loss);
        mLosses.sort(Comparator.comparingLong(Loss::atNanos));
        recordChange(loss.atNanos());
        return true;
    }

    /** Adds an engine that may have been lost under it. */
    void addPossiblyLost(int engine) {
        if (mPossiblyLost.size() < MAX_LOSSES) {
            mPossiblyLost.add(engine);
        }
    }

    /** Returns the engines that were or may have been lost under it since its last success. */
    Set<Integer> engines() {
        Set<Integer> engines = new HashSet<>(mPossiblyLost);
        mLosses.forEach(loss -> engines.add(loss.engine()));
        return engines;
    }

    /** Adds a loss that is neither confirmed nor refuted yet. */
    void addUnsettled(Loss loss) {
        boolean known =
                mLosses.stream().anyMatch(loss::isSameEvent)
                        || mUnsettled.stream().anyMatch(loss::isSameEvent);
        if (!known && !isObsolete(loss) && mUnsettled.size() < MAX_LOSSES) {
            mUnsettled.add(loss);
            recordChange(loss.atNanos());
        }
    }

    private boolean isObsolete(Loss loss) {
        return mClearedAt != null && loss.atNanos() - mClearedAt <= 0;
    }

    /** Drops the losses before a success and returns whether the evidence has changed. */
    boolean clear(long atNanos) {
        if (mClearedAt != null && mClearedAt - atNanos >= 0) {
            return false;
        }
        mClearedAt = atNanos;
        mLosses.removeIf(loss -> loss.atNanos() - atNanos <= 0);
        mUnsettled.removeIf(loss -> loss.atNanos() - atNanos <= 0);
        mPossiblyLost.clear();
        mConvicted = false;
        recordChange(atNanos);
        return true;
    }

    private void recordChange(long atNanos) {
        if (atNanos - mChangedAt > 0) {
            mChangedAt = atNanos;
        }
    }

    /**
     * Counts the losses that are older than a time and separated from the previous counted one.
     * Engines that are lost together are a single event.
     */
    int countEvents(long gapNanos, long beforeNanos) {
        int events = 0;
        long last = 0;
        for (Loss loss : mLosses) {
            boolean separate = events == 0 || loss.atNanos() - last >= gapNanos;
            if (separate && loss.atNanos() - beforeNanos <= 0) {
                events++;
                last = loss.atNanos();
            }
        }
        return events;
    }

    /** Counts the losses of engines whose process has ended. */
    int countFinalLosses() {
        int count = 0;
        for (Loss loss : mLosses) {
            count += loss.isRevocable() ? 0 : 1;
        }
        return count;
    }

    /**
     * Returns whether the request has to wait: for its conviction, or for a sign of life of engines
     * that it may have stopped. With a loss of each kind it waits only for the time in which the
     * end of a process shows; after that they are more often a coincidence, and the request goes on
     * apart from other suspects.
     */
    boolean mustWait(int losses, long nowNanos) {
        int ended = countFinalLosses();
        int silent = mLosses.size() - ended + mUnsettled.size();
        if (ended >= losses || silent >= losses) {
            return true;
        }
        return ended + silent >= losses && nowNanos - lastSilenceNanos() < HOLD_NANOS;
    }

    private long lastSilenceNanos() {
        long last = Long.MIN_VALUE;
        for (Loss loss : mLosses) {
            last = loss.isRevocable() ? Math.max(last, loss.atNanos()) : last;
        }
        for (Loss loss : mUnsettled) {
            last = Math.max(last, loss.atNanos());
        }
        return last;
    }

    /** Returns whether nothing is known that another instance or a later check could need. */
    boolean isEmpty() {
        return mLosses.isEmpty()
                && mUnsettled.isEmpty()
                && mClearedAt == null
                && mObservedAt == null;
    }

    int countRequests() {
        Set<Integer> requests = new HashSet<>();
        mLosses.forEach(loss -> requests.add(loss.request()));
        return requests.size();
    }

    /** Returns whether the losses convict, so that the suspect expires like a conviction. */
    boolean suffices(int losses) {
        return mPart
                ? countRequests() >= SuspectTable.CONVICTING_REQUESTS
                        && countEvents(SuspectTable.EVENT_NANOS, mChangedAt) >= losses
                : countFinalLosses() >= losses;
    }

    /** Returns whether all losses of this suspect are also losses of another one. */
    boolean isExplainedBy(Suspect other) {
        for (Loss loss : mLosses) {
            if (other.mLosses.stream().noneMatch(loss::isSameEvent)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the state as instances exchange it. */
    SuspectEntry toEntry(long nowNanos) {
        List<SuspectEntry.LossEntry> losses = new ArrayList<>();
        for (Loss loss : mLosses) {
            losses.add(
                    new SuspectEntry.LossEntry(
                            loss.id(), loss.request(), ageMs(loss.atNanos(), nowNanos)));
        }
        // A single unsettled loss is usually refuted within a second, and holds nothing elsewhere.
        if (mLosses.size() + mUnsettled.size() >= SuspectTable.CONVICTING_LOSSES) {
            for (Loss loss : mUnsettled) {
                losses.add(
                        new SuspectEntry.LossEntry(
                                loss.id(), loss.request(), ageMs(loss.atNanos(), nowNanos)));
            }
        }
        Long cleared = mClearedAt;
        return new SuspectEntry(
                mFingerprint,
                mPart,
                losses,
                cleared == null ? SuspectEntry.NEVER : ageMs(cleared, nowNanos));
    }

    private static int ageMs(long atNanos, long nowNanos) {
        return (int) Math.max(0, (nowNanos - atNanos) / NANOS_PER_MILLI);
    }
}
