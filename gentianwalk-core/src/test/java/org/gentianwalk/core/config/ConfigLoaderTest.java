package org.gentianwalk.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.UpstreamInfo;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

class ConfigLoaderTest {
    private static final Path CASES = ConfigCases.RESOURCES.resolve("cases");

    private static String base() throws IOException {
        return Files.readString(ConfigCases.RESOURCES.resolve("base.yaml"));
    }

    private static MergedConfig loaded(Map<String, String> files) {
        LoadResult result = new ConfigLoader().load(ConfigFolder.ofTexts(files), 7);
        assertThat(result).isInstanceOf(LoadResult.Loaded.class);
        return ((LoadResult.Loaded) result).config();
    }

    /** Guards against problems that are not reported, or reported for the wrong line or key. */
    @TestFactory
    Stream<DynamicTest> invalidFilesAreRefusedWithExpectedProblems() throws IOException {
        String base = base();
        List<Path> cases;
        try (Stream<Path> files = Files.list(CASES)) {
            cases = files.sorted().toList();
        }
        assertThat(cases).hasSizeGreaterThan(30);
        return cases.stream()
                .map(
                        file ->
                                DynamicTest.dynamicTest(
                                        file.getFileName().toString(),
                                        () -> assertRefused(base, file)));
    }

    private static void assertRefused(String base, Path file) throws IOException {
        assertThat(ConfigCases.expected(file)).isNotEmpty();
        Map<String, String> files =
                Map.of("00-base.yaml", base, file.getFileName().toString(), Files.readString(file));
        LoadResult result = new ConfigLoader().load(ConfigFolder.ofTexts(files), 0);
        assertThat(result).isInstanceOf(LoadResult.Refused.class);
        List<Problem> problems = ((LoadResult.Refused) result).problems();
        assertThat(ConfigCases.differences(file, problems)).isEmpty();
    }

    /** Guards against values that are read from the wrong key or in the wrong unit. */
    @Test
    void validFolderIsReadCompletely() throws IOException {
        MergedConfig config = loaded(Map.of("base.yaml", base()));
        assertThat(config.version()).isEqualTo(7);
        assertThat(config.teamOfKey("a".repeat(64))).contains("vera");
        assertThat(config.teamOfKey("c".repeat(64))).isEmpty();
        ServingRules.WorkRule quote = config.workRule("vera", "quote").orElseThrow();
        assertThat(quote.rank()).isEqualTo(Rank.URGENT);
        assertThat(quote.weight()).isEqualTo(2);
        assertThat(quote.maxTokens()).isEqualTo(500);
        assertThat(quote.deadline()).isEqualTo(Duration.ofSeconds(60));
        assertThat(config.workRule("vera", null).orElseThrow().kind()).isEqualTo("refresh");
        assertThat(config.workRule("zaza", "quote")).isEmpty();
        assertThat(config.workRule("zaza", null).orElseThrow().tokensPerSecondCap())
                .isEqualTo(400.0);
        UpstreamInfo second =
                config.engines().stream().filter(e -> e.id().equals("e-2")).findFirst().get();
        assertThat(second.slots()).isEqualTo(4);
        assertThat(second.location().region()).isEqualTo("south");
        assertThat(second.prefillTokensPerSecond()).isEqualTo(8000);
        assertThat(second.supports(Capability.RESUME)).isTrue();
        ServingRules.ServiceRule stock = config.service("stock").orElseThrow();
        assertThat(stock.operations().get(1).repeatable()).isFalse();
        assertThat(stock.operations().getFirst().timeout()).isEqualTo(Duration.ofMillis(250));
        assertThat(stock.lookupPath()).isEqualTo("/calls");
        assertThat(config.limits()).isEqualTo(ServingRules.Limits.DEFAULT);
        assertThat(config.policy()).isEqualTo(PolicyRules.DEFAULT);
        assertThat(config.replication()).isEqualTo(ReplicationRules.DEFAULT);
        assertThat(config.contextTokens()).containsEntry("writer", 8192);
    }

    /** Guards against exceptions that do not override, or whose source is reported wrongly. */
    @Test
    void exceptionsOverrideByFileOrderAndSpecificity() throws IOException {
        MergedConfig config =
                loaded(
                        Map.of(
                                "10-base.yaml",
                                base(),
                                "20-hill.yaml",
                                "branches:\n  hill:\n    weight: 3\n    deadline: 40s\n",
                                "30-quote.yaml",
                                "kinds:\n  quote: {deadline: 90s, models: [writer]}\n",
                                "40-vera.yaml",
                                "teams:\n  vera:\n    max-rank: standard\n"));
        EffectiveRule rule = config.effectiveRule("vera", "quote").orElseThrow();
        assertThat(rule.rule().rank()).isEqualTo(Rank.STANDARD);
        assertThat(rule.rule().weight()).isEqualTo(3);
        assertThat(rule.rule().deadline()).isEqualTo(Duration.ofSeconds(40));
        assertThat(rule.settings().get("rank").source().toString()).isEqualTo("40-vera.yaml:3");
        assertThat(rule.settings().get("weight").source().toString()).isEqualTo("20-hill.yaml:3");
        assertThat(rule.settings().get("models").source().toString()).isEqualTo("30-quote.yaml:2");
        assertThat(rule.settings().get("max-tokens").value()).isEqualTo("500tokens");
        assertThat(rule.settings().get("tokens-per-second").source().line()).isZero();
    }

    /** Guards against stale trees when the loader reuses files of the previous load. */
    @Test
    void reloadAppliesChangedAndRemovedFiles() throws IOException {
        ConfigLoader loader = new ConfigLoader();
        String limits = "limits: {max-body: 8MiB}\n";
        Map<String, String> with = Map.of("a.yaml", base(), "b.yaml", limits);
        Map<String, String> bad = Map.of("a.yaml", base(), "b.yaml", "limits: {max-body: 8}\n");
        assertThat(loader.load(ConfigFolder.ofTexts(with), 1))
                .isInstanceOfSatisfying(
                        LoadResult.Loaded.class,
                        r -> assertThat(r.config().limits().maxBodyBytes()).isEqualTo(8 << 20));
        assertThat(loader.load(ConfigFolder.ofTexts(bad), 2))
                .isInstanceOf(LoadResult.Refused.class);
        assertThat(loader.load(ConfigFolder.ofTexts(Map.of("a.yaml", base())), 3))
                .isInstanceOfSatisfying(
                        LoadResult.Loaded.class,
                        r -> assertThat(r.config().limits().maxBodyBytes()).isEqualTo(4 << 20));
    }

    /** Guards against cached rules that are reused although a value they depend on has changed. */
    @Test
    void incrementalLoadMatchesFullLoad() throws IOException {
        String[] changes = {
            "kinds: {quote: {rank: standard}}",
            "kinds: {quote: {deadline: 5s}, refresh: {models: [writer]}}",
            "branches: {hill: {weight: 5}}",
            "branches: {hill: {exceptions: {quote: {weight: 7}}}}",
            "engine-types: {large: {slots: 9}}",
            "zones: {z-a: {region: west}}",
            "engines: {e-1: {slots: 3}, e-3: {zone: z-c}}",
            "teams: {vera: {weight: 6}, zaza: {max-rank: standard}}",
            "teams: {nino: {branch: hill, keys: ["
                    + "c".repeat(64)
                    + "], kinds: [quote],"
                    + " default-kind: quote}}",
            "limits: {max-body: 9MiB}",
        };
        Random random = new Random(20261204);
        ConfigLoader kept = new ConfigLoader();
        Map<String, String> files = new TreeMap<>(Map.of("00-base.yaml", base()));
        for (int version = 1; version <= 200; version++) {
            String name = "5" + random.nextInt(4) + "-change.yaml";
            if (random.nextInt(3) == 0) {
                files.remove(name);
            } else {
                files.put(name, changes[random.nextInt(changes.length)]);
            }
            ConfigFolder folder = ConfigFolder.ofTexts(files);
            MergedConfig incremental =
                    ((LoadResult.Loaded) kept.loadAccepted(folder, version)).config();
            MergedConfig fresh =
                    ((LoadResult.Loaded) new ConfigLoader().load(folder, version)).config();
            assertThat(describe(incremental)).isEqualTo(describe(fresh));
        }
    }

    private static List<Object> describe(MergedConfig config) {
        List<Object> parts = new ArrayList<>();
        parts.add(config.version());
        parts.add(config.engines());
        parts.add(config.limits());
        parts.add(config.services());
        for (String team : new TreeSet<>(config.teams())) {
            parts.add(config.branchOf(team));
            parts.add(config.effectiveRule(team, null));
            for (String kind : List.of("quote", "refresh")) {
                parts.add(config.workRule(team, kind));
            }
        }
        for (String key : List.of("a", "b", "c")) {
            parts.add(config.teamOfKey(key.repeat(64)));
        }
        return parts;
    }

    /** Guards against accepting an empty folder, which would remove every team. */
    @Test
    void emptyFolderAndInvalidFileNameAreRefused() throws IOException {
        assertThat(new ConfigLoader().load(ConfigFolder.EMPTY, 0).toString())
                .contains("holds no .yaml file");
        Map<String, String> files = Map.of("base.yaml", base(), "my rules.yaml", "limits: {}");
        assertThat(new ConfigLoader().load(ConfigFolder.ofTexts(files), 0).toString())
                .isEqualTo(
                        "my rules.yaml:1: The name my rules.yaml is not accepted. Use letters,"
                                + " digits, \".\", \"_\" or \"-\" and the ending .yaml.");
    }
}
