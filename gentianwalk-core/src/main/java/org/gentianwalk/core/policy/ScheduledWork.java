package org.gentianwalk.core.policy;

import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.fairness.UsageMeter.Account;
import org.gentianwalk.core.policy.routing.EngineState;
import org.gentianwalk.core.policy.routing.Router.Route;
import org.jspecify.annotations.Nullable;

/** A generation that is queued or running, with its attempts and charges. */
final class ScheduledWork {
    final WorkItem mItem;
    final Account mAccount;
    final ShareRules.Share mShare;
    int mAttempt;

    /**
     * Attempts that count towards the limit; those lost to silence count when the loss is
     * confirmed.
     */
    int mCountedAttempts;

    int mTokensDone;
    long mQueuedAt;
    double mEstimate;
    @Nullable String mAvoidedEngine;
    int mPreemptions;

    /**
     * Whether the next attempt follows a preemption, which is charged to its own budget instead of
     * the retry budget.
     */
    boolean mRetryBudgetExempt;

    // State of the running attempt.
    @Nullable EngineState mEngine;
    int mAttemptTokens;
    int mCachedTokens;
    double mPrefillTokens;
    double mCharged;
    double mLinkBytes;
    long mStartedAt;
    long mLastTokenAt;
    boolean mSuspect;

    ScheduledWork(
            WorkItem item, ShareRules.Share share, int attempt, int tokensDone, long nowNanos) {
        mItem = item;
        mAccount = new Account(item.team(), item.rank());
        mShare = share;
        mAttempt = attempt;
        mCountedAttempts = attempt - 1;
        mTokensDone = tokensDone;
        mQueuedAt = nowNanos;
    }

    boolean isContinuation() {
        return mAttempt > 1 || mTokensDone > 0;
    }

    /** Returns the tokens that a retry would have to prefill. */
    double repeatedPrefillTokens() {
        return mItem.promptTokens() - mCachedTokens + mTokensDone;
    }

    boolean isUrgent() {
        return mItem.rank() == Rank.URGENT;
    }

    void startAttempt(
            Route route, double prefillTokens, double charged, boolean suspect, long now) {
        mEngine = route.engine();
        mCachedTokens = route.cachedTokens();
        mPrefillTokens = prefillTokens;
        mCharged = charged;
        mLinkBytes = 0;
        mSuspect = suspect;
        mStartedAt = now;
        mLastTokenAt = now;
        mAttemptTokens = 0;
        route.engine().workStarted(prefillTokens, suspect, now);
    }

    void recordTokens(int tokens, long now) {
        EngineState engine = mEngine;
        if (engine == null || tokens <= 0) {
            return;
        }
        if (mAttemptTokens == 0) {
            engine.prefillFinished(mPrefillTokens);
            engine.health().updateDecoding(1);
            engine.health().recordToken(0, now);
        } else {
            engine.health().recordToken((now - mLastTokenAt) / tokens, now);
        }
        mAttemptTokens += tokens;
        mTokensDone += tokens;
        mLastTokenAt = now;
    }

    /** Removes the attempt from its engine's load. */
    void stopAttempt(long now) {
        EngineState engine = mEngine;
        if (engine == null) {
            return;
        }
        if (mAttemptTokens > 0) {
            engine.health().updateDecoding(-1);
        } else {
            engine.prefillFinished(mPrefillTokens);
        }
        engine.workEnded(mSuspect, now);
        mAvoidedEngine = engine.id();
        mEngine = null;
    }
}
