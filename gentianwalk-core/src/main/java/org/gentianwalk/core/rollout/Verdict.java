package org.gentianwalk.core.rollout;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** The results of all tests on the evidence of all instances. */
final class Verdict {
    /** Increases of the failure rate that are tested. The least one has to be detected. */
    private static final List<Double> INCREASES = List.of(0.02, 0.05, 0.1, 0.2, 0.4);

    private static final EvidenceTest OVERDUE = new FailureTest(0.2);

    /** While all traffic is new, a larger part of the attempts has just started. */
    private static final EvidenceTest OVERDUE_WHILE_MOVING = new FailureTest(0.4);

    private static final List<EvidenceTest> SLOW =
            List.of(new SlownessTest(2, true), new SlownessTest(2, false));
    private static final List<EvidenceTest> FAILURES =
            INCREASES.stream().<EvidenceTest>map(FailureTest::new).toList();

    private static final List<EvidenceTest> TESTS =
            Stream.concat(FAILURES.stream(), SLOW.stream()).toList();

    /**
     * Logarithm of the ratio from which the version is bad. It exceeds ln 200, the bound on wrongly
     * rejected versions, because several tests are made.
     */
    static final double REJECT_FROM = 8;

    /** A version with a ratio of this or more is not completed, though not yet rejected. */
    private static final double SUSPECT_FROM = 4;

    /** The same for failures where the old version fails rarely, so that few occur by chance. */
    private static final double SUSPECT_FAILURES_FROM = 2.5;

    private static final double RARE = 0.02;

    /** Fewer failures, or times, than this never reject a version. */
    private static final int MIN_OBSERVATIONS = 3;

    /**
     * Answers of the new version needed for moving, of which none fails in 1 of 450 runs when 40%
     * fail. More answers follow before completing.
     */
    private static final int ANSWERS_TO_MOVE = 12;

    /** Answers needed for completing, of which none fails in 1 of 200 runs when 24% fail. */
    private static final int ANSWERS_TO_COMPLETE = 20;

    /** Answers needed on each route, or a quarter of its attempts when it has few of them. */
    private static final int ANSWERS_PER_ROUTE = 4;

    private final EvidenceTable mTotal;
    private final EvidenceTable mConcurrent;
    private double mWorst = Double.NEGATIVE_INFINITY;
    private String mWorstTest = "none";
    private boolean mSuspect;
    private final double mSuspectFailuresFrom;

    /**
     * Tests the evidence.
     *
     * @param total observations of all instances
     * @param windows the same, without the new version's observations before some earlier times, in
     *     which a version that turns bad shows sooner
     * @param concurrent observations up to the last time at which both versions got attempts
     */
    Verdict(EvidenceTable total, List<EvidenceTable> windows, EvidenceTable concurrent) {
        mTotal = total;
        mConcurrent = concurrent;
        VersionCounters old = total.sum(false);
        boolean rare = old.failed() < RARE * old.answered();
        mSuspectFailuresFrom = rare ? SUSPECT_FAILURES_FROM : SUSPECT_FROM;
        apply(total, "");
        for (EvidenceTable window : windows) {
            apply(window, "late ");
        }
    }

    private void apply(EvidenceTable table, String prefix) {
        for (EvidenceTest test : TESTS) {
            long observations = test.observations(table.sum(true));
            if (observations < MIN_OBSERVATIONS) {
                continue;
            }
            double sum = 0;
            for (String route : table.routes()) {
                VersionCounters current = table.counters(route, true);
                double ratio = test.logRatio(mTotal.counters(route, false), current);
                note(test, ratio, test.observations(current), prefix + test + " on " + route);
                sum += ratio;
            }
            note(test, sum, observations, prefix + test + " on all routes");
        }
    }

    private void note(EvidenceTest test, double ratio, long observations, String name) {
        if (observations < MIN_OBSERVATIONS) {
            return;
        }
        mSuspect |= ratio >= (FAILURES.contains(test) ? mSuspectFailuresFrom : SUSPECT_FROM);
        if (ratio > mWorst) {
            mWorst = ratio;
            mWorstTest = name;
        }
    }

    /** Returns whether the new version is bad. */
    boolean isBad() {
        return mWorst >= REJECT_FROM;
    }

    /** Returns whether a fault is likely, but not shown. */
    boolean isSuspect() {
        return mSuspect;
    }

    /** Returns whether the evidence suffices for moving all traffic. */
    boolean permitsMoving() {
        return !isSuspect() && !isOverdue(OVERDUE) && hasAnswers(ANSWERS_TO_MOVE);
    }

    /** Returns whether the evidence suffices for completing, though small faults are possible. */
    boolean permitsCompleting() {
        return !isSuspect() && !isOverdue(OVERDUE_WHILE_MOVING) && hasAnswers(ANSWERS_TO_COMPLETE);
    }

    private boolean hasAnswers(int required) {
        VersionCounters all = mTotal.sum(true);
        if (all.answered() < required || all.timed() < required) {
            return false;
        }
        for (String route : mTotal.routes()) {
            VersionCounters current = mTotal.counters(route, true);
            long started = mTotal.counters(route, false).started() + current.started();
            // Few streams of a route have ended by the time of moving, but their output has begun.
            long known = required < ANSWERS_TO_COMPLETE ? current.timed() : current.answered();
            if (known < Math.min(ANSWERS_PER_ROUTE, started / 4)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether too many attempts on the new version have no output yet. The times that are
     * known are then those of the fast attempts, and hide a slow version. The old version is
     * counted while it still got attempts.
     */
    private boolean isOverdue(EvidenceTest test) {
        return test.logRatio(overdue(mConcurrent, false), overdue(mTotal, true)) >= SUSPECT_FROM;
    }

    /** Returns the attempts of a version, where those without an output count as failed. */
    private static VersionCounters overdue(EvidenceTable table, boolean newVersion) {
        VersionCounters all = table.sum(newVersion);
        long missing = Math.clamp(all.started() - all.timed() - all.failed(), 0, all.started());
        return new VersionCounters("*", newVersion, 0, all.started(), missing, 0, 0, 0, 0, 0);
    }

    /** Returns counts, failure rates and the largest ratio. */
    String explanation() {
        VersionCounters old = mTotal.sum(false);
        VersionCounters current = mTotal.sum(true);
        return String.format(
                Locale.ROOT,
                "old: %d failed of %d (%.2f%%), new: %d failed of %d (%.2f%%), %d started, "
                        + "log likelihood ratio %.2f (%s; rejected from %.1f)",
                old.failed(),
                old.answered(),
                percent(old),
                current.failed(),
                current.answered(),
                percent(current),
                current.started(),
                mWorst,
                mWorstTest,
                REJECT_FROM);
    }

    private static double percent(VersionCounters counters) {
        return counters.answered() == 0 ? 0 : 100.0 * counters.failed() / counters.answered();
    }
}
