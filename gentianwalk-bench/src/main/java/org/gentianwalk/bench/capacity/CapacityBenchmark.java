package org.gentianwalk.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the resource costs of all roles and writes them as a Markdown table and as JSON.
 *
 * <p>Example: {@code new CapacityBenchmark().run(false).markdown()}.
 */
public final class CapacityBenchmark {
    /**
     * Measures all roles in the calling thread.
     *
     * @param quick true for small sizes and short rounds; these verify that the probes work, but
     *     the measured costs aren't meaningful
     * @return a report with one row per probe
     * @throws Exception if a measurement failed
     */
    public CapacityReport run(boolean quick) throws Exception {
        if (!quick) {
            // Warms up the JIT compiler with the code of all roles before the first real
            // measurement.
            CapacityReport.measure(probes(true));
        }
        return CapacityReport.measure(probes(quick));
    }

    private static List<CapacityProbe> probes(boolean quick) {
        List<CapacityProbe> probes = new ArrayList<>();
        probes.addAll(new MembershipProbes(quick).all());
        probes.addAll(new ReplicaProbes(quick).all());
        probes.addAll(new SuspectProbes(quick).all());
        probes.addAll(new JournalProbes(quick).all());
        probes.addAll(new LeaseProbes(quick).all());
        probes.addAll(new SchedulerProbes(quick).all());
        probes.addAll(new ConfigProbes(quick).all());
        probes.addAll(new PollingProbes(quick).all());
        probes.addAll(new MeshProbes(quick).all());
        return probes;
    }

    /**
     * Writes a report as {@code capacity.md} and {@code capacity.json}.
     *
     * @param report the report
     * @param folder an existing folder
     * @throws IOException if the files could not be written
     */
    public static void write(CapacityReport report, Path folder) throws IOException {
        Files.writeString(folder.resolve("capacity.md"), report.markdown());
        new ObjectMapper()
                .enable(SerializationFeature.INDENT_OUTPUT)
                .writeValue(folder.resolve("capacity.json").toFile(), report);
    }
}
