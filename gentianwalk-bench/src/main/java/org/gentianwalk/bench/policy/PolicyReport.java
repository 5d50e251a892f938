package org.gentianwalk.bench.policy;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * Results of the policy experiments.
 *
 * @param firstSeed the first seed
 * @param seeds number of seeds
 * @param seconds duration of the run
 * @param rows one row per scenario, deployment, policy and measure
 */
public record PolicyReport(long firstSeed, int seeds, double seconds, List<Row> rows) {
    public PolicyReport {
        rows = List.copyOf(rows);
    }

    /**
     * Prints the table.
     *
     * @param out stream to print to
     */
    public void print(PrintStream out) {
        String heading = "";
        for (Row row : rows) {
            String current = row.scenario() + ", " + row.deployment();
            if (!current.equals(heading)) {
                heading = current;
                out.println();
                out.println(heading);
                out.printf(
                        "  %-20s %-44s %12s %12s %10s%n",
                        "policy", "measure", "worst seed", "median", "target");
            }
            out.printf(
                    Locale.ROOT,
                    "  %-20s %-44s %12.3f %12.3f %10s%n",
                    row.policy(),
                    row.measure(),
                    row.worst(),
                    row.median(),
                    row.verdict());
        }
        out.printf(
                Locale.ROOT,
                "%n%d seeds from %d, worst seed shown; the run took %.1f s%n",
                seeds,
                firstSeed,
                seconds);
    }

    /**
     * One measure of one policy.
     *
     * @param scenario the scenario
     * @param deployment the deployment
     * @param policy the policy
     * @param measure name with unit
     * @param worst the worst seed's value
     * @param median the median over all seeds
     * @param target the bound, or null without a target
     * @param most true if the bound is an upper one
     * @param values the value for each seed
     */
    public record Row(
            String scenario,
            String deployment,
            String policy,
            String measure,
            double worst,
            double median,
            @Nullable Double target,
            boolean most,
            double[] values) {
        /**
         * Returns whether the worst seed meets the target.
         *
         * @return true without a target
         */
        public boolean isMet() {
            return target == null || (most ? worst <= target : worst >= target);
        }

        String verdict() {
            if (target == null) {
                return "";
            }
            String bound = String.format(Locale.ROOT, "%s %.4g", most ? "<=" : ">=", target);
            return isMet() ? bound : bound + " MISSED";
        }
    }
}
