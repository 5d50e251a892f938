package org.gentianwalk.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Results of a simulated fleet as seen by its callers. */
public final class FleetResult {
    private final List<KindResult> mKinds = new ArrayList<>();
    private long mTokensRead;
    private long mTokensAsked;

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
        double asked = 0;
        double earned = 0;
        for (KindResult kind : mKinds) {
            asked += kind.mAsked * kind.mKind.worth();
            earned += kind.mOnTime * kind.mKind.worth() + kind.mLate * kind.mKind.lateWorth();
        }
        return asked == 0 ? 1 : earned / asked;
    }

    /**
     * Returns the number of repeatedly prefilled tokens relative to the requested prompt tokens.
     *
     * @return 0 if every prompt was prefilled once
     */
    public double readAgain() {
        return mTokensAsked == 0 ? 0 : (double) mTokensRead / mTokensAsked - 1;
    }

    void tokens(long read, long asked) {
        mTokensRead = read;
        mTokensAsked = asked;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(Locale.ROOT, "worth %.3f, read again %.3f", worth(), readAgain()));
        for (KindResult kind : mKinds) {
            text.append("; ").append(kind);
        }
        return text.toString();
    }

    /** Result of one kind of request. */
    public static final class KindResult {
        private final FleetTraits.Kind mKind;
        private final List<Long> mFirst = new ArrayList<>();
        private final List<Long> mWhole = new ArrayList<>();
        private int mAsked;
        private int mOnTime;
        private int mLate;
        private int mRefused;
        private int mFailed;
        private final List<List<String>> mHistories = new ArrayList<>();

        KindResult(FleetTraits.Kind kind) {
            mKind = kind;
        }

        void asked() {
            mAsked++;
        }

        void whole(boolean onTime, long firstMillis, long wholeMillis) {
            mFirst.add(firstMillis);
            mWhole.add(wholeMillis);
            if (onTime) {
                mOnTime++;
            } else {
                mLate++;
            }
        }

        void history(List<String> notes) {
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

        void refused() {
            mRefused++;
        }

        void failed() {
            mFailed++;
        }

        /**
         * Returns the fraction of requests that were answered completely and on time.
         *
         * @return from 0 to 1
         */
        public double onTime() {
            return mAsked == 0 ? 1 : (double) mOnTime / mAsked;
        }

        /**
         * Returns the fraction of requests that were answered completely.
         *
         * @return from 0 to 1
         */
        public double served() {
            return mAsked == 0 ? 1 : (double) (mOnTime + mLate) / mAsked;
        }

        /**
         * Returns a percentile of the time to the first event.
         *
         * @param part from 0 to 1
         * @return milliseconds
         */
        public long firstMillis(double part) {
            return percentile(mFirst, part);
        }

        /**
         * Returns a percentile of the time to the complete answer.
         *
         * @param part from 0 to 1
         * @return milliseconds
         */
        public long wholeMillis(double part) {
            return percentile(mWhole, part);
        }

        private static long percentile(List<Long> values, double part) {
            List<Long> sorted = values.stream().sorted().toList();
            if (sorted.isEmpty()) {
                return 0;
            }
            return sorted.get((int) Math.min(sorted.size() - 1L, sorted.size() * part));
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%s: %d asked, %d on time, %d late, %d refused, %d failed, first %d/%d ms,"
                            + " whole %d/%d ms",
                    mKind.name(),
                    mAsked,
                    mOnTime,
                    mLate,
                    mRefused,
                    mFailed,
                    firstMillis(0.5),
                    firstMillis(0.95),
                    wholeMillis(0.5),
                    wholeMillis(0.95));
        }
    }
}
