package org.gentianwalk.bench.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.gentianwalk.bench.policy.PolicyReport.Row;
import org.gentianwalk.bench.report.PolicyComparison;
import org.gentianwalk.bench.report.PolicyPage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PolicyBenchmarkTest {
    private static final Path KNOWN_RED = Path.of("..", "KNOWN-RED.txt");
    private static final String PREFIX = "PolicyBenchmarkTest: ";

    /** Returns the targets that the worst of 20 seeds misses, from the list of known failures. */
    private static Set<String> knownRed() throws IOException {
        Set<String> lines = new TreeSet<>();
        for (String line : Files.readAllLines(KNOWN_RED)) {
            if (line.startsWith(PREFIX)) {
                lines.add(line.substring(PREFIX.length()));
            }
        }
        return lines;
    }

    private static String name(Row row) {
        return row.scenario() + ", " + row.deployment() + ": " + row.measure();
    }

    /** Guards against policy changes that miss a target which was met before. */
    @Test
    void quickRunMeetsTheTargetsThatWereMet(@TempDir Path directory) throws Exception {
        ByteArrayOutputStream table = new ByteArrayOutputStream();
        Path json = directory.resolve("policy.json");
        PolicyReport report =
                new PolicyBenchmark(new PrintStream(table, true, StandardCharsets.UTF_8))
                        .run(new PolicyBenchmark.Options(2, 1, 4, "", 0, json));
        List<Row> bounded = report.rows().stream().filter(row -> row.target() != null).toList();
        assertThat(bounded).hasSizeGreaterThan(30);
        Set<String> knownRed = knownRed();
        assertThat(bounded.stream().map(PolicyBenchmarkTest::name)).containsAll(knownRed);
        for (Row row : bounded) {
            if (knownRed.contains(name(row))) {
                System.out.println("known red: " + name(row) + ", worst " + row.worst());
            } else {
                assertThat(row.isMet()).as(row.toString()).isTrue();
            }
        }
        assertThat(table.toString(StandardCharsets.UTF_8)).contains("LEAST_OUTSTANDING");

        PolicyReport read = PolicyPage.read(json);
        assertThat(read.rows()).hasSameSizeAs(report.rows());
        Path page = new PolicyPage(read).write(directory.resolve("page"));
        assertThat(Files.readString(page)).contains("policy-1.png");
        assertThat(Files.size(directory.resolve("page").resolve("policy-1.png"))).isPositive();
        assertThat(new PolicyComparison(report, read).changes())
                .isNotEmpty()
                .noneMatch(PolicyComparison.Change::isRegression);
    }

    /** Guards against results that depend on anything other than the seed. */
    @Test
    void sameSeedGivesTheSameValues() throws Exception {
        PolicyBenchmark.Options options =
                new PolicyBenchmark.Options(1, 5, 2, "engine losses", 0, null);
        PrintStream nowhere = new PrintStream(new ByteArrayOutputStream());
        PolicyReport first = new PolicyBenchmark(nowhere).run(options);
        PolicyReport second = new PolicyBenchmark(nowhere).run(options);
        assertThat(first.rows()).isNotEmpty();
        for (int i = 0; i < first.rows().size(); i++) {
            double[] values = first.rows().get(i).values();
            assertThat(Arrays.equals(values, second.rows().get(i).values()))
                    .as(first.rows().get(i).toString())
                    .isTrue();
        }
    }
}
