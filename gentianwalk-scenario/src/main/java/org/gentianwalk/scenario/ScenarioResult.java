package org.gentianwalk.scenario;

import java.time.Duration;
import java.util.List;
import org.gentianwalk.history.History;
import org.gentianwalk.history.check.Violation;

/**
 * The outcome of a scenario.
 *
 * @param history everything that was observed
 * @param violations broken guarantees
 * @param unmet expectations of the file that were not met
 * @param figures what was measured
 */
public record ScenarioResult(
        History history, List<Violation> violations, List<String> unmet, Figures figures) {
    public ScenarioResult {
        violations = List.copyOf(violations);
        unmet = List.copyOf(unmet);
    }

    /**
     * Figures of a run.
     *
     * @param generations generations of the workload
     * @param completed of these, with a whole answer
     * @param calls calls that may not be repeated
     * @param answered of these, with an answer
     * @param unknown of these, whose last outcome was unknown
     * @param losses engine losses during output
     * @param slowestResume longest time from a loss to the next output
     */
    public record Figures(
            int generations,
            int completed,
            int calls,
            int answered,
            int unknown,
            int losses,
            Duration slowestResume) {}

    /**
     * Tells whether everything held.
     *
     * @return true without violations and unmet expectations
     */
    public boolean isSuccess() {
        return violations.isEmpty() && unmet.isEmpty();
    }
}
