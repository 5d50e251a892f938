package org.gentianwalk.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measured costs with their linear fits.
 *
 * @param rows one row per probe
 */
public record CapacityReport(List<Row> rows) {
    public CapacityReport {
        rows = List.copyOf(rows);
    }

    /**
     * The result of one probe.
     *
     * @param role the role
     * @param quantity the measured quantity with its unit
     * @param variable the independent variable
     * @param points the measured points
     * @param fit the linear fit of the points
     * @param plannedSize the independent variable at the planned size
     * @param plannedValue the fitted cost at the planned size
     */
    public record Row(
            String role,
            String quantity,
            String variable,
            List<LinearFit.Point> points,
            LinearFit fit,
            double plannedSize,
            double plannedValue) {}

    /**
     * Runs probes sequentially.
     *
     * @param probes the probes
     * @return the report
     * @throws Exception if a measurement failed
     */
    public static CapacityReport measure(List<CapacityProbe> probes) throws Exception {
        List<Row> rows = new ArrayList<>();
        for (CapacityProbe probe : probes) {
            List<LinearFit.Point> points = new ArrayList<>();
            for (int size : probe.sizes()) {
                points.add(new LinearFit.Point(size, probe.measure(size)));
            }
            LinearFit fit = LinearFit.of(points);
            rows.add(
                    new Row(
                            probe.role(),
                            probe.quantity(),
                            probe.variable(),
                            List.copyOf(points),
                            fit,
                            probe.plannedSize(),
                            fit.at(probe.plannedSize())));
        }
        return new CapacityReport(rows);
    }

    /**
     * Formats the report.
     *
     * @return a Markdown table
     */
    public String markdown() {
        StringBuilder text = new StringBuilder();
        text.append("| role | quantity | by | measured | intercept | slope | R² | planned size |");
        text.append(
                " at planned size |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (Row row : rows) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "| %s | %s | %s | %s | %.4g | %.4g | %.3f | %.0f | %.4g |%n",
                            row.role(),
                            row.quantity(),
                            row.variable(),
                            pointsText(row.points()),
                            row.fit().intercept(),
                            row.fit().slope(),
                            row.fit().determination(),
                            row.plannedSize(),
                            row.plannedValue()));
        }
        return text.toString();
    }

    private static String pointsText(List<LinearFit.Point> points) {
        StringBuilder text = new StringBuilder();
        for (LinearFit.Point point : points) {
            text.append(text.isEmpty() ? "" : ", ")
                    .append(String.format(Locale.ROOT, "%.0f: %.4g", point.size(), point.value()));
        }
        return text.toString();
    }
}
