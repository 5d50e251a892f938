package org.gentianwalk.bench.capacity;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Random;
import org.gentianwalk.core.config.ConfigFolder;

/**
 * Generates configuration folders with given numbers of teams and engines, 21 models and 8 zones.
 */
final class SampleFolder {
    static final int MODELS = 21;
    private static final int ZONES = 8;
    private static final int REGIONS = 4;
    private static final int ENGINES_PER_FILE = 100;

    private SampleFolder() {}

    static ConfigFolder of(int teams, int engines, int teamsPerFile) {
        Map<String, String> files = new HashMap<>();
        files.put("00-network.yaml", networkFile());
        for (int first = 0; first < engines; first += ENGINES_PER_FILE) {
            files.put(
                    "20-engines-%05d.yaml".formatted(first),
                    enginesFile(first, Math.min(engines, first + ENGINES_PER_FILE)));
        }
        for (int first = 0; first < teams; first += teamsPerFile) {
            files.put(teamFile(first), teams(first, Math.min(teams, first + teamsPerFile), 1));
        }
        return ConfigFolder.ofTexts(files);
    }

    static String teamFile(int first) {
        return "40-teams-%05d.yaml".formatted(first);
    }

    static String teams(int first, int end, int weight) {
        StringBuilder text = new StringBuilder("teams:\n");
        for (int team = first; team < end; team++) {
            text.append("  team-%05d:%n".formatted(team))
                    .append("    branch: branch-%d%n".formatted(team % 100))
                    .append("    keys: [%s]%n".formatted(randomKeyHash(team)))
                    .append("    kinds: [quote, order, summary]\n")
                    .append("    default-kind: summary\n")
                    .append("    weight: %d%n".formatted(weight));
        }
        return text.toString();
    }

    /**
     * Returns random bytes, which are as incompressible as a real hash, since the folder is
     * compressed.
     */
    private static String randomKeyHash(int team) {
        byte[] hash = new byte[32];
        new Random(team).nextBytes(hash);
        return HexFormat.of().formatHex(hash);
    }

    private static String networkFile() {
        StringBuilder text = new StringBuilder("zones:\n");
        for (int zone = 0; zone < ZONES; zone++) {
            text.append("  zone-%d: {region: region-%d}%n".formatted(zone, zone % REGIONS));
        }
        text.append("models:\n");
        for (int model = 0; model < MODELS; model++) {
            text.append("  model-%d: {context: 65536tokens}%n".formatted(model));
        }
        text.append("engine-types:\n");
        for (int model = 0; model < MODELS; model++) {
            text.append("  type-%d:%n    models: [model-%d]%n".formatted(model, model))
                    .append("    slots: 16\n    output-rate: 400tokens/s\n")
                    .append("    prefill-rate: 9ktokens/s\n")
                    .append("    capabilities: [resume, cancel, priority, token_ids]\n");
        }
        text.append("kinds:\n  quote: {rank: urgent, max-tokens: 4ktokens}\n")
                .append("  order: {rank: urgent, max-tokens: 1ktokens, deadline: 60s}\n")
                .append("  summary: {rank: standard, max-tokens: 2ktokens}\n");
        return text.toString();
    }

    private static String enginesFile(int first, int end) {
        StringBuilder text = new StringBuilder("engines:\n");
        for (int engine = first; engine < end; engine++) {
            text.append(
                    "  engine-%05d: {type: type-%d, address: \"10.%d.%d.%d:9000\", zone: zone-%d}%n"
                            .formatted(
                                    engine,
                                    engine / ZONES % MODELS,
                                    engine >> 16,
                                    engine >> 8 & 0xff,
                                    engine & 0xff,
                                    engine % ZONES));
        }
        return text.toString();
    }
}
