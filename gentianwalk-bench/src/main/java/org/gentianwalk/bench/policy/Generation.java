package org.gentianwalk.bench.policy;

import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.WorkItem;
import org.jspecify.annotations.Nullable;

/** A request of the workload and its progress. */
final class Generation {
    final WorkItem mItem;
    final int mOutput;
    final boolean mCrashing;
    final long mArrival;
    FakeInstance mOwner;
    @Nullable FakeEngine mEngine;
    int mAttempt;
    int mGenerated;
    int mCachedTokens;
    long mLastToken;
    long mInterruptedAt = -1;
    boolean mEnded;

    Generation(WorkItem item, int output, boolean crashing, FakeInstance owner, long arrival) {
        mItem = item;
        mOutput = output;
        mCrashing = crashing;
        mOwner = owner;
        mArrival = arrival;
    }

    boolean isUrgent() {
        return mItem.rank() == Rank.URGENT;
    }
}
