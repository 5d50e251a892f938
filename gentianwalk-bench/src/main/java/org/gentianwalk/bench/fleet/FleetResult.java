package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Results of a simulated fleet as seen by its callers. */
public final class FleetResult {
    private final List<KindResult> mKinds = new ArrayList<>();
    private long mPrefilledTokens;
    private long mRequestedTokens;
    private int mLivenessChecks;
    private int mMostAttempts;

    /** Creates an empty result. */
    FleetResult(FleetTraits traits) {
        for (FleetTraits.Kind kind : traits.kinds()) {
            mKinds.add(new KindResult(kind));
        }
    }

    /**
     * Returns the result of one kind of request.
     *
     * @param index index of the kind
     * @return the result
     */
    public KindResult kind(int index) {
        return mKinds.get(index);
    }

    /**
     * Returns the delivered fraction of the value of all requests.
     *
     * @return from 0 to 1
     */
    public double worth() {
        double requested = 0;
        double delivered = 0;
        for (KindResult kind : mKinds) {
            requested += kind.mRequests * kind.mKind.worth();
            delivered += kind.mOnTime * kind.mKind.worth() + kind.mLate * kind.mKind.lateWorth();
        }
        return requested == 0 ? 1 : delivered / requested;
    }

    /**
     * Returns the number of repeatedly prefilled tokens relative to the requested prompt tokens.
     *
     * @return 0 if every prompt was prefilled once
     */
    public double readAgain() {
        return mRequestedTokens == 0 ? 0 : (double) mPrefilledTokens / mRequestedTokens - 1;
    }

    /**
     * Returns the number of liveness checks of all instances.
     *
     * @return the number of checks
     */
    public int livenessChecks() {
        return mLivenessChecks;
    }

    /**
     * Returns the largest number of attempts that one instance made for a request.
     *
     * @return the number of attempts
     */
    public int mostAttempts() {
        return mMostAttempts;
    }

    void countLivenessCheck() {
        mLivenessChecks++;
    }

    void recordAttempt(int attempt) {
        mMostAttempts = Math.max(mMostAttempts, attempt);
    }

    void recordTokens(long prefilled, long requested) {
        mPrefilledTokens = prefilled;
        mRequestedTokens = requested;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "worth %.3f, read again %.3f, %d liveness checks, at most %d attempts",
                        worth(),
                        readAgain(),
                        mLivenessChecks,
                        mMostAttempts));
        for (KindResult kind : mKinds) {
            text.append("; ").append(kind);
        }
        return text.toString();
    }

    /** Result of one kind of request. */
    public static final class KindResult {
        private final FleetTraits.Kind mKind;
        private final List<Long> mFirstEventMillis = new ArrayList<>();
        private final List<Long> mCompletionMillis = new ArrayList<>();
        private int mRequests;
        private int mOnTime;
        private int mLate;
        private int mRefused;
        private int mFailed;
        private final List<List<String>> mHistories = new ArrayList<>();

        KindResult(FleetTraits.Kind kind) {
            mKind = kind;
        }

        void countRequest() {
            mRequests++;
        }

        void recordAnswer(boolean onTime, long firstEventMillis, long completionMillis) {
            mFirstEventMillis.add(firstEventMillis);
            mCompletionMillis.add(completionMillis);
            if (onTime) {
                mOnTime++;
            } else {
                mLate++;
            }
        }

        void addHistory(List<String> notes) {
            mHistories.add(List.copyOf(notes));
        }

        /**
         * Returns the histories of the requests that were late or failed.
         *
         * @return one list of lines per request
         */
        public List<List<String>> histories() {
            return List.copyOf(mHistories);
        }

        void countRefusal() {
            mRefused++;
        }

        void countFailure() {
            mFailed++;
        }

        /**
         * Returns the fraction of requests that were answered completely and on time.
         *
         * @return from 0 to 1
         */
        public double onTime() {
            return mRequests == 0 ? 1 : (double) mOnTime / mRequests;
        }

        /**
         * Returns the fraction of requests that were answered completely.
         *
         * @return from 0 to 1
         */
        public double served() {
            return mRequests == 0 ? 1 : (double) (mOnTime + mLate) / mRequests;
        }

        /**
         * Returns a percentile of the time to the first event.
         *
         * @param fraction from 0 to 1
         * @return milliseconds
         */
        public long firstEventMillis(double fraction) {
            return percentile(mFirstEventMillis, fraction);
        }

        /**
         * Returns a percentile of the time to the complete answer.
         *
         * @param fraction from 0 to 1
         * @return milliseconds
         */
        public long completionMillis(double fraction) {
            return percentile(mCompletionMillis, fraction);
        }

        private static long percentile(List<Long> values, double fraction) {
            List<Long> sorted = values.stream().sorted().toList();
            if (sorted.isEmpty()) {
                return 0;
            }
            return sorted.get((int) Math.min(sorted.size() - 1L, sorted.size() * fraction));
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%s: %d asked, %d on time, %d late, %d refused, %d failed, first %d/%d ms,"
                            + " whole %d/%d ms",
                    mKind.name(),
                    mRequests,
                    mOnTime,
                    mLate,
                    mRefused,
                    mFailed,
                    firstEventMillis(0.5),
                    firstEventMillis(0.95),
                    completionMillis(0.5),
                    completionMillis(0.95));
        }
    }
}
