package org.gentianwalk.server.journal;

/** Counters of a call simulation. */
final class CallTotals {
    int mExecutedTwice;
    int mNotRunBroken;
    int mWrongAnswer;
    int mAnswered;
    int mNotRun;
    int mUnknown;
    int mReused;
    int mNoReply;
    int mExecuted;
    int mExecutedWhileDown;
    int mOpenIntents;
    long mEndSeconds;
    long mReads;
    long mWrites;

    @Override
    public String toString() {
        return ("answered %d, not run %d, unknown %d, key reused %d, no reply %d; executed %d"
                        + " (twice %d, while the store was down %d), not run broken %d, wrong"
                        + " answers %d, intents left %d; reads %d, writes %d, ended at"
                        + " %d s")
                .formatted(
                        mAnswered,
                        mNotRun,
                        mUnknown,
                        mReused,
                        mNoReply,
                        mExecuted,
                        mExecutedTwice,
                        mExecutedWhileDown,
                        mNotRunBroken,
                        mWrongAnswer,
                        mOpenIntents,
                        mReads,
                        mWrites,
                        mEndSeconds);
    }
}
