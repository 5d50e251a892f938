package org.gentianwalk.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gentianwalk.core.error.Result;
import org.gentianwalk.core.model.Location;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExamplesTest {
    private static final Path EXAMPLES = Path.of("../examples");

    /** Guards against examples that fail the checks or lack a part of their deployment. */
    @ParameterizedTest
    @CsvSource({
        "demo, catalogue-writer, 3, 0, 2, 3",
        "kvali, catalogue-writer, 25, 3, 10, 7",
        "van-daele, drafting, 17, 3, 10, 6"
    })
    void examplesAreValidAndComplete(
            String name, String model, int large, int others, int teams, int instances)
            throws IOException {
        LoadResult result = new ConfigLoader().load(ConfigFolder.read(EXAMPLES.resolve(name)), 0);
        assertThat(result).isInstanceOf(LoadResult.Loaded.class);
        MergedConfig config = ((LoadResult.Loaded) result).config();
        Map<Boolean, Long> engines =
                config.engines().stream()
                        .collect(
                                Collectors.partitioningBy(
                                        engine -> engine.models().contains(model),
                                        Collectors.counting()));
        assertThat(engines).isEqualTo(Map.of(true, (long) large, false, (long) others));
        assertThat(config.teams()).hasSize(teams);
        assertThat(config.services()).isNotEmpty();
        Set<Location> places =
                config.engines().stream().map(each -> each.location()).collect(Collectors.toSet());
        Set<String> ids = new HashSet<>();
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(name).resolve("instances"))) {
            for (Path file : files.toList()) {
                Result<InstanceFile, List<Problem>> read = InstanceFile.read(file);
                assertThat(read).as(file.toString()).isInstanceOf(Result.Ok.class);
                InstanceFile instance = ((Result.Ok<InstanceFile, List<Problem>>) read).value();
                assertThat(places).contains(instance.location());
                ids.add(instance.id());
            }
        }
        assertThat(ids).hasSize(instances);
    }
}
