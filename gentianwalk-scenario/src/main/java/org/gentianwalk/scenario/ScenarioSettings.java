package org.gentianwalk.scenario;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.gentianwalk.core.config.InstanceFile;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.server.admin.AdminToken;
import org.gentianwalk.standin.engine.EngineStandin;
import org.gentianwalk.standin.service.ServiceStandin;

/** Writes the settings that a scenario's instances run with. */
final class ScenarioSettings {
    static final String MODEL = "writer";
    static final String SERVICE = "workshop";
    static final String URGENT_KIND = "quote";
    static final String STANDARD_KIND = "summary";
    static final List<String> TEAMS = List.of("team-a", "team-b");

    private static final String ADMIN_TOKEN = "scenario-admin";
    private static final String MESH_SECRET = "0123456789abcdef0123456789abcdef";

    private ScenarioSettings() {}

    static String apiKey(String team) {
        return "key-of-" + team;
    }

    static InstanceFile instance(String id, Location location, URI platform) {
        return new InstanceFile(
                id,
                "127.0.0.1",
                0,
                0,
                location,
                new InstanceFile.Platform(platform, platform, platform, platform),
                List.of(new InstanceFile.MeshKey("k1", MESH_SECRET)),
                AdminToken.hash(ADMIN_TOKEN),
                "info");
    }

    /** Returns the folder's files by name. */
    static Map<String, byte[]> folder(
            Map<EngineStandin, Location> engines, Map<ServiceStandin, Location> services) {
        Map<String, String> regions = new TreeMap<>();
        engines.values().forEach(place -> regions.put(place.availabilityZone(), place.region()));
        services.values().forEach(place -> regions.put(place.availabilityZone(), place.region()));
        StringBuilder network = new StringBuilder("zones:\n");
        regions.forEach((zone, region) -> network.append(line("  %s: {region: %s}", zone, region)));
        network.append(line("models:\n  %s: {context: 32ktokens}", MODEL));
        network.append(engineTypes(engines));
        network.append("engines:\n");
        engines.forEach(
                (engine, place) ->
                        network.append(
                                line(
                                        "  %s: {type: %s, address: \"%s\", zone: %s}",
                                        engine.options().id(),
                                        MODEL,
                                        engine.uri().getAuthority(),
                                        place.availabilityZone())));
        network.append(serviceSection(services));
        StringBuilder rules = new StringBuilder("kinds:\n");
        rules.append(line("  %s: {rank: urgent, max-tokens: 2ktokens}", URGENT_KIND));
        rules.append(line("  %s: {rank: standard, max-tokens: 2ktokens}", STANDARD_KIND));
        rules.append("teams:\n");
        for (String team : TEAMS) {
            rules.append(
                    line(
                            "  %s: {branch: head-office, keys: [%s], kinds: [%s, %s],"
                                    + " default-kind: %s}",
                            team,
                            AdminToken.hash(apiKey(team)),
                            URGENT_KIND,
                            STANDARD_KIND,
                            URGENT_KIND));
        }
        Map<String, byte[]> files = new LinkedHashMap<>();
        files.put("00-network.yaml", bytes(network));
        files.put("10-rules.yaml", bytes(rules));
        return files;
    }

    /** Returns a file that changes one value, so that each version has a content of its own. */
    static byte[] change(int number) {
        return bytes(
                new StringBuilder("kinds:\n")
                        .append(
                                line(
                                        "  %s: {max-tokens: %dtokens}",
                                        STANDARD_KIND, 1_000 + number)));
    }

    private static String engineTypes(Map<EngineStandin, Location> engines) {
        var sample = engines.entrySet().iterator().next();
        var info = sample.getKey().info(sample.getValue());
        TreeSet<String> capabilities = new TreeSet<>();
        info.capabilities().forEach(each -> capabilities.add(each.name().toLowerCase()));
        return line(
                "engine-types:\n  %s:\n    models: [%s]\n    slots: %d\n    output-rate:"
                        + " %dtokens/s\n    prefill-rate: %dtokens/s\n    capabilities: [%s]",
                MODEL,
                MODEL,
                info.slots(),
                Math.round(info.tokensPerSecond()),
                Math.round(info.prefillTokensPerSecond()),
                String.join(", ", capabilities));
    }

    private static String serviceSection(Map<ServiceStandin, Location> services) {
        StringBuilder text = new StringBuilder();
        text.append(line("services:\n  %s:\n    upstreams:", SERVICE));
        int number = 1;
        for (Map.Entry<ServiceStandin, Location> service : services.entrySet()) {
            text.append(
                    line(
                            "      %s-%d: {address: \"%s\", zone: %s}",
                            SERVICE,
                            number++,
                            service.getKey().uri().getAuthority(),
                            service.getValue().availabilityZone()));
        }
        text.append("    operations:\n");
        text.append(line("      - {method: POST, path: /orders, repeatable: false, timeout: 1s}"));
        text.append(line("    lookup-path: %s", ServiceStandin.LOOKUP_PATH));
        return text.toString();
    }

    private static String line(String format, Object... arguments) {
        return String.format(format, arguments) + "\n";
    }

    private static byte[] bytes(StringBuilder text) {
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
