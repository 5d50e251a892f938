package org.gentianwalk.history.check;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.history.History;

/** All checkers together. */
public final class HistoryChecks {
    private HistoryChecks() {}

    /**
     * Runs every checker.
     *
     * @param history the history
     * @param oracle knows the answers
     * @return the violations of all checkers
     */
    public static List<Violation> run(History history, AnswerOracle oracle) {
        List<Violation> violations = new ArrayList<>();
        for (HistoryCheck check : all(oracle)) {
            violations.addAll(check.check(history));
        }
        return violations;
    }

    /**
     * Creates one checker of each kind.
     *
     * @param oracle knows the answers
     * @return the checkers
     */
    public static List<HistoryCheck> all(AnswerOracle oracle) {
        return List.of(
                new WholeAnswerCheck(oracle),
                new SingleGenerationCheck(),
                new NotRunCheck(),
                new AtMostOnceCheck(),
                new DrainCheck(),
                new GracefulStopCheck(),
                new ConfigCheck(),
                new FencingCheck(),
                new ResumeCheck());
    }
}
