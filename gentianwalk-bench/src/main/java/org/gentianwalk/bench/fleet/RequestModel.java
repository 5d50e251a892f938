package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.bench.clock.VirtualClock;

/** A caller's request across all its attempts. */
final class RequestModel {
    private final long mId;
    private final FleetTraits.Kind mKind;
    private final FleetResult.KindResult mResult;
    private final int mPrompt;
    private final int mOutput;
    private final long mArrivedAt;
    private int mRefusals;
    private int mEvents;
    private long mFirstAt;
    private long mLastAt;
    private long mLongestPause;
    private final List<String> mHistory = new ArrayList<>();

    RequestModel(
            long id,
            FleetTraits.Kind kind,
            FleetResult.KindResult result,
            int prompt,
            int output,
            long arrivedAt) {
        mId = id;
        mKind = kind;
        mResult = result;
        mPrompt = prompt;
        mOutput = output;
        mArrivedAt = arrivedAt;
    }

    long id() {
        return mId;
    }

    FleetTraits.Kind kind() {
        return mKind;
    }

    int prompt() {
        return mPrompt;
    }

    int output() {
        return mOutput;
    }

    long arrivedAt() {
        return mArrivedAt;
    }

    /** Returns the number of the last event that the caller received. */
    int events() {
        return mEvents;
    }

    /** Adds a line to the request's history. */
    void addHistory(long now, String text) {
        mHistory.add(now / VirtualClock.MILLI + " ms: " + text);
    }

    void recordEvent(int number, long now) {
        if (number <= mEvents) {
            return;
        }
        if (mEvents == 0) {
            mFirstAt = now;
        } else {
            mLongestPause = Math.max(mLongestPause, now - mLastAt);
        }
        mEvents = number;
        mLastAt = now;
    }

    void recordCompletion() {
        long first = (mFirstAt - mArrivedAt) / VirtualClock.MILLI;
        boolean onTime =
                first <= mKind.targetMillis()
                        && mLongestPause <= mKind.pauseMillis() * VirtualClock.MILLI;
        mResult.recordAnswer(onTime, first, (mLastAt - mArrivedAt) / VirtualClock.MILLI);
        if (!onTime) {
            addHistory(
                    mLastAt, "late, longest pause " + mLongestPause / VirtualClock.MILLI + " ms");
            mResult.addHistory(mHistory);
        }
    }

    /** Records a refusal and returns whether the caller retries. */
    boolean recordRefusal() {
        mRefusals++;
        if (mRefusals > 1) {
            mResult.countRefusal();
            return false;
        }
        return true;
    }

    void recordFailure() {
        mResult.countFailure();
        mResult.addHistory(mHistory);
    }
}
