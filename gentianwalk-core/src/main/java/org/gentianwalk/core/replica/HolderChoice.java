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
    private static final long RETRY_NANOS = 100_000_000L;

    private final boolean mAcrossRegions;
    private final Set<String> mFailed = new HashSet<>();
    private boolean mCopied;
    private boolean mAlone;
    private long mRetryAt;

    /** Creates a choice; {@code copied} says that others may have a copy of an earlier owner. */
    HolderChoice(boolean acrossRegions, boolean copied) {
        mAcrossRegions = acrossRegions;
        mCopied = copied;
    }

    @Nullable Member choose(long now, MemberView view, GenerationKey key) {
        if (isPausing(now)) {
            return null;
        }
        mRetryAt = 0;
        // An instance with an earlier copy may claim the generation. If the owner is the only
        // instance of its region, it needs a holder in another region to find out about such a
        // claim.
        List<Member> candidates = Candidates.forOwner(view, key, mAcrossRegions);
        if (candidates.isEmpty() && mCopied) {
            candidates = Candidates.forOwner(view, key, true);
        }
        mAlone = candidates.isEmpty();
        for (Member candidate : candidates) {
            if (!mFailed.contains(candidate.id())) {
                mCopied = true;
                return candidate;
            }
        }
        if (!mAlone) {
            mFailed.clear();
            mRetryAt = now + RETRY_NANOS;
        }
        return null;
    }

    /** Returns whether the last choice found no live candidate. */
    boolean isAlone() {
        return mAlone;
    }

    boolean isPausing(long now) {
        return mRetryAt != 0 && now - mRetryAt < 0;
    }

    void failed(Member holder) {
        mFailed.add(holder.id());
    }

    void succeeded() {
        mFailed.clear();
    }

    /** Ends the backoff, since a membership change may have added candidates. */
    void retry() {
        mRetryAt = 0;
    }
}
