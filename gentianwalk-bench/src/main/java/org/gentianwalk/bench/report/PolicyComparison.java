package org.gentianwalk.bench.report;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.gentianwalk.bench.policy.PolicyKind;
import org.gentianwalk.bench.policy.PolicyReport;
import org.gentianwalk.bench.policy.PolicyReport.Row;

/**
 * Compares the daemon's policy in two reports, measure by measure. Values based on virtual time are
 * comparable between runs; CPU time measures aren't.
 */
public final class PolicyComparison {
    private final List<Change> mChanges = new ArrayList<>();

    /**
     * Compares two reports.
     *
     * @param before the earlier report
     * @param after the later report
     */
    public PolicyComparison(PolicyReport before, PolicyReport after) {
        Map<String, Row> earlierRows = new LinkedHashMap<>();
        before.rows().forEach(row -> earlierRows.put(key(row), row));
        for (Row row : after.rows()) {
            Row earlier = earlierRows.get(key(row));
            if (earlier != null && row.policy().equals(PolicyKind.FAIR.name())) {
                mChanges.add(new Change(earlier, row));
            }
        }
    }

    /**
     * Returns the measures that both reports contain.
     *
     * @return the changes in the order of the later report
     */
    public List<Change> changes() {
        return List.copyOf(mChanges);
    }

    /**
     * Prints the measures whose worst value over all seeds changed.
     *
     * @param out stream to print to
     */
    public void print(PrintStream out) {
        for (Change change : mChanges) {
            if (change.before().worst() != change.after().worst()) {
                out.printf(
                        Locale.ROOT,
                        "%-36s %-10s %-46s %12.3f -> %12.3f%s%n",
                        change.after().scenario(),
                        change.after().deployment(),
                        change.after().measure(),
                        change.before().worst(),
                        change.after().worst(),
                        change.verdict());
            }
        }
    }

    private static String key(Row row) {
        return row.scenario()
                + '\n'
                + row.deployment()
                + '\n'
                + row.policy()
                + '\n'
                + row.measure();
    }

    /**
     * A measure contained in both reports.
     *
     * @param before row of the earlier report
     * @param after row of the later report
     */
    public record Change(Row before, Row after) {
        /**
         * Returns whether a target that was met is now missed.
         *
         * @return true for a regression
         */
        public boolean isRegression() {
            return before.isMet() && !after.isMet();
        }

        String verdict() {
            if (isRegression()) {
                return "  now MISSED";
            }
            return !before.isMet() && after.isMet() ? "  now met" : "";
        }
    }
}
