package org.gentianwalk.core.replica;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.proto.GenerationKey;
import org.jspecify.annotations.Nullable;

/** Chooses the holder of one generation, the next candidate after each one that failed. */
final class HolderChoice {
    /** Backoff after which the candidates are tried again when all of them have failed. */
    private static final long BACKOFF_NANOS = 100_000_000L;

    private final boolean mAcrossRegions;
    private final Set<String> mFailed = new HashSet<>();
    private boolean mHasEarlierCopies;
    private boolean mHasNoCandidates;
    private long mRetryAt;

    /**
     * Creates a choice; {@code hasEarlierCopies} says that others may have a copy of an earlier
     * owner.
     */
    HolderChoice(boolean acrossRegions, boolean hasEarlierCopies) {
        mAcrossRegions = acrossRegions;
        mHasEarlierCopies = hasEarlierCopies;
    }

    @Nullable Member choose(long now, MemberView view, GenerationKey key) {
        if (isBackingOff(now)) {
            return null;
        }
        mRetryAt = 0;
        // An instance with an earlier copy may claim the generation. If the owner is the only
        // instance of its region, it needs a holder in another region to find out about such a
        // claim.
        List<Member> candidates = Candidates.forOwner(view, key, mAcrossRegions);
        if (candidates.isEmpty() && mHasEarlierCopies) {
            candidates = Candidates.forOwner(view, key, true);
        }
        mHasNoCandidates = candidates.isEmpty();
        for (Member candidate : candidates) {
            if (!mFailed.contains(candidate.id())) {
                mHasEarlierCopies = true;
                return candidate;
            }
        }
        if (!mHasNoCandidates) {
            mFailed.clear();
            mRetryAt = now + BACKOFF_NANOS;
        }
        return null;
    }

    /** Returns whether the last choice found no live candidate. */
    boolean hasNoCandidates() {
        return mHasNoCandidates;
    }

    boolean isBackingOff(long now) {
        return mRetryAt != 0 && now - mRetryAt < 0;
    }

    void markFailed(Member holder) {
        mFailed.add(holder.id());
    }

    void clearFailed() {
        mFailed.clear();
    }

    /** Ends the backoff, since a membership change may have added candidates. */
    void endBackoff() {
        mRetryAt = 0;
    }
}
