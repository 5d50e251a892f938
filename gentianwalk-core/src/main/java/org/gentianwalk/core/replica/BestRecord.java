package org.gentianwalk.core.replica;

import org.gentianwalk.core.membership.Member;
import org.gentianwalk.proto.LineageEntry;
import org.gentianwalk.proto.ReplicaOpen;
import org.jspecify.annotations.Nullable;

/** Keeps the best record that a takeover has received: the latest attempt, then most tokens. */
final class BestRecord {
    private @Nullable ReplicaOpen mRecord;
    private String mFinishReason = "";
    private int mAttempt;

    @Nullable ReplicaOpen record() {
        return mRecord;
    }

    int attempt() {
        return mAttempt;
    }

    boolean isPresent() {
        return mRecord != null;
    }

    void clear() {
        mRecord = null;
        mFinishReason = "";
        mAttempt = 0;
    }

    /** Keeps the record if it is the best so far; a later attempt beats a longer, earlier one. */
    void consider(ReplicaOpen record, String finishReason) {
        int attempt = record.getLineage(record.getLineageCount() - 1).getAttempt();
        ReplicaOpen best = mRecord;
        int extraTokens =
                best == null
                        ? 1
                        : record.getTokens().getTokenIdsCount()
                                - best.getTokens().getTokenIdsCount();
        if (best == null
                || attempt > mAttempt
                || (attempt == mAttempt
                        && (extraTokens > 0 || mFinishReason.isEmpty() && extraTokens == 0))) {
            mRecord = record;
            mAttempt = attempt;
            mFinishReason = finishReason;
        }
    }

    /** Returns the state to continue from; a finished generation gets no further attempt. */
    GenerationState toState(ReplicaOpen best, Member owner, int attempt) {
        GenerationRecord record = GenerationRecord.of(best);
        if (!mFinishReason.isEmpty()) {
            record.finish(mFinishReason);
        } else {
            record.addAttempt(
                    LineageEntry.newBuilder()
                            .setAttempt(attempt)
                            .setStart(record.size())
                            .setOwner(owner.id())
                            .setOwnerIncarnation(owner.incarnation())
                            .build());
        }
        return record.toState();
    }
}
