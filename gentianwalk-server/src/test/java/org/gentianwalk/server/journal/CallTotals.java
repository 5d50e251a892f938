package org.gentianwalk.server.journal;

/** Counters of a call simulation. */
final class CallTotals {
    int mExecutedTwice;
    int mExecutedDespiteNotRun;
    int mWrongAnswers;
    int mAnswered;
    int mNotRun;
    int mUnknown;
    int mKeyReused;
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
                        + " (twice %d, while the store was down %d), executed despite not"
                        + " run %d, wrong answers %d, intents left %d; reads %d, writes %d, ended"
                        + " at %d s")
                .formatted(
                        mAnswered,
                        mNotRun,
                        mUnknown,
                        mKeyReused,
                        mNoReply,
                        mExecuted,
                        mExecutedTwice,
                        mExecutedWhileDown,
                        mExecutedDespiteNotRun,
                        mWrongAnswers,
                        mOpenIntents,
                        mReads,
                        mWrites,
                        mEndSeconds);
    }
}
