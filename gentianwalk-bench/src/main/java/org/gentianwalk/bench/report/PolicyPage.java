package org.gentianwalk.bench.report;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.gentianwalk.bench.policy.PolicyReport;
import org.gentianwalk.bench.policy.PolicyReport.Row;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Writes a Markdown page with a table of the targets and a plot per measure with a target. Example:
 * {@code new PolicyPage(report).write(Path.of("target/policy"))}.
 */
public final class PolicyPage {
    private static final int WIDTH = 800;
    private static final int HEIGHT = 400;

    private final PolicyReport mReport;

    /**
     * Creates a page.
     *
     * @param report the report to render
     */
    public PolicyPage(PolicyReport report) {
        mReport = report;
    }

    /**
     * Reads a report.
     *
     * @param json JSON file written by the benchmark
     * @return the report
     * @throws IOException if the file can't be read or isn't a report
     */
    public static PolicyReport read(Path json) throws IOException {
        return new ObjectMapper()
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .readValue(json.toFile(), PolicyReport.class);
    }

    /**
     * Writes the page and its plots.
     *
     * @param directory output directory, created if missing
     * @return path of the page
     * @throws IOException if a file can't be written
     */
    public Path write(Path directory) throws IOException {
        Files.createDirectories(directory);
        StringBuilder text = new StringBuilder();
        text.append("# Decisions under load\n\n");
        text.append(
                String.format(
                        Locale.ROOT,
                        "%d seeds from %d; the worst seed of each measure counts. The run took"
                                + " %.0f s.%n%n",
                        mReport.seeds(),
                        mReport.firstSeed(),
                        mReport.seconds()));
        text.append("| scenario | deployment | measure | worst | median | target | |\n");
        text.append("| --- | --- | --- | --- | --- | --- | --- |\n");
        for (Row row : mReport.rows()) {
            if (row.target() != null) {
                text.append(tableRow(row));
            }
        }
        int number = 0;
        for (Map.Entry<String, List<Row>> measure : rowsToPlot().entrySet()) {
            String image = "policy-" + ++number + ".png";
            writePlot(measure.getKey(), measure.getValue(), directory.resolve(image));
            text.append("\n## ").append(measure.getKey()).append("\n\n![](");
            text.append(image).append(")\n");
        }
        Path page = directory.resolve("policy.md");
        Files.writeString(page, text);
        return page;
    }

    private static String tableRow(Row row) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.4g | %.4g | %s %.4g | %s |%n",
                row.scenario(),
                row.deployment(),
                row.measure(),
                row.worst(),
                row.median(),
                row.most() ? "≤" : "≥",
                row.target(),
                row.isMet() ? "met" : "**missed**");
    }

    /** Returns the rows of all policies for each measure with a target, grouped by deployment. */
    private Map<String, List<Row>> rowsToPlot() {
        Map<String, List<Row>> rowsByTitle = new LinkedHashMap<>();
        for (Row row : mReport.rows()) {
            if (row.target() != null) {
                rowsByTitle.putIfAbsent(title(row), new ArrayList<>());
            }
        }
        for (Row row : mReport.rows()) {
            List<Row> rows = rowsByTitle.get(title(row));
            if (rows != null) {
                rows.add(row);
            }
        }
        rowsByTitle.values().removeIf(rows -> rows.size() < 2);
        return rowsByTitle;
    }

    private static String title(Row row) {
        return row.scenario() + ", " + row.deployment() + ": " + row.measure();
    }

    private static void writePlot(String title, List<Row> rows, Path image) throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title).build();
        List<String> policies = rows.stream().map(Row::policy).toList();
        chart.addSeries("median", policies, rows.stream().map(Row::median).toList());
        chart.addSeries("worst seed", policies, rows.stream().map(Row::worst).toList());
        BitmapEncoder.saveBitmap(chart, image.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
