package org.gentianwalk.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code gentianwalk status}: prints the state of an instance and what it knows of the others. */
@Command(
        name = "status",
        description = "Prints the state of an instance, and of all others as it sees them.")
public final class StatusCommand extends BaseCommand {
    @Mixin private InstanceOptions mInstance = new InstanceOptions();

    @Option(names = "--json", description = "Print JSON instead of a table.")
    private boolean mJson;

    @Override
    public Integer call() throws IOException, CliException {
        JsonNode status = mInstance.client().require("GET", "/admin/status");
        if (mJson) {
            out().println(
                            AdminClient.JSON
                                    .writerWithDefaultPrettyPrinter()
                                    .writeValueAsString(status));
            return DONE;
        }
        out().printf("instance       %s%n", status.path("instance").asText());
        out().printf(
                        "work           %d queued, %d running%n",
                        status.path("queued").asLong(), status.path("running").asLong());
        out().printf("leases held    %s%n", leases(status.path("leases")));
        out().printf("copies held    %d%n", status.path("copiesHeld").asLong());
        boolean reachable = status.path("storeReachable").asBoolean();
        out().printf("store          %s%n%n", reachable ? "reachable" : "not reachable");
        table(
                status.path("instances"),
                List.of("instance", "zone", "health", "ready", "leaving", "configVersion"));
        out().println();
        table(status.path("upstreams"), List.of("upstream", "zone", "state"));
        return DONE;
    }

    private static String leases(JsonNode leases) {
        List<String> texts = new ArrayList<>();
        leases.properties()
                .forEach(lease -> texts.add(lease.getKey() + " (token " + lease.getValue() + ")"));
        return texts.isEmpty() ? "none" : String.join(", ", texts);
    }

    private void table(JsonNode rows, List<String> columns) {
        List<Integer> widths = new ArrayList<>();
        for (String column : columns) {
            int width = column.length();
            for (JsonNode row : rows) {
                width = Math.max(width, row.path(column).asText().length());
            }
            widths.add(width);
        }
        line(columns, widths);
        for (JsonNode row : rows) {
            line(columns.stream().map(column -> row.path(column).asText()).toList(), widths);
        }
    }

    private void line(List<String> cells, List<Integer> widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < cells.size(); i++) {
            line.append(String.format("%-" + (widths.get(i) + 2) + "s", cells.get(i)));
        }
        out().println(line.toString().stripTrailing());
    }
}
