package org.gentianwalk.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CapacityBenchmarkTest {
    /** Guards against a role of the capacity page without measurements. */
    @Test
    void everyRoleHasRowsWithPositiveCosts(@TempDir Path folder) throws Exception {
        CapacityReport report = new CapacityBenchmark().run(true);

        assertThat(report.rows())
                .extracting(CapacityReport.Row::role)
                .contains(
                        "membership",
                        "copies of generations",
                        "holder store",
                        "suspects",
                        "call journal",
                        "leases",
                        "placement",
                        "scheduler",
                        "usage reports",
                        "configuration",
                        "instance list",
                        "engine load reports",
                        "mesh");
        assertThat(report.rows())
                .allSatisfy(
                        row -> {
                            assertThat(row.points()).hasSizeGreaterThanOrEqualTo(3);
                            assertThat(row.points())
                                    .as(row.role() + ", " + row.quantity())
                                    .allMatch(point -> point.value() > 0);
                        });
        CapacityBenchmark.write(report, folder);
        JsonNode json = new ObjectMapper().readTree(folder.resolve("capacity.json").toFile());
        assertThat(json.path("rows")).hasSize(report.rows().size());
        assertThat(Files.readAllLines(folder.resolve("capacity.md")))
                .hasSize(report.rows().size() + 2);
    }

    /** Guards against a call that needs more store writes than the store's budget assumes. */
    @Test
    void callNeedsTwoStoreWrites() throws Exception {
        CapacityReport report = CapacityReport.measure(new JournalProbes(true).all());

        assertThat(report.rows().getFirst().quantity()).isEqualTo("store writes");
        assertThat(report.rows().getFirst().fit().slope()).isEqualTo(2);
    }
}
