package org.gentianwalk.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.gentianwalk.core.error.Result;
import org.junit.jupiter.api.Test;

class InstanceFileTest {
    private static final Path FILES = ConfigCases.RESOURCES.resolve("instance");

    /** Guards against settings read from the wrong key, and secrets in the output of toString. */
    @Test
    void completeFileIsRead() throws IOException {
        Result<InstanceFile, List<Problem>> result =
                InstanceFile.read(FILES.resolve("complete.yaml"));
        assertThat(result).isInstanceOf(Result.Ok.class);
        InstanceFile file = ((Result.Ok<InstanceFile, List<Problem>>) result).value();
        assertThat(file.id()).isEqualTo("kvali-1");
        assertThat(file.meshPort()).isEqualTo(7080);
        assertThat(file.location().availabilityZone()).isEqualTo("tbilisi-a");
        assertThat(file.platform().weights().getPort()).isEqualTo(8503);
        assertThat(file.meshKeys().getFirst().id()).isEqualTo("k2");
        assertThat(file.meshKeys().getFirst().secret()).hasSize(16);
        assertThat(file.logLevel()).isEqualTo("info");
        assertThat(file.toString()).doesNotContain("00112233");
    }

    /** Guards against an instance that starts with invalid settings. */
    @Test
    void invalidFileIsRefusedWithAllProblems() throws IOException {
        Path path = FILES.resolve("defective.yaml");
        Result<InstanceFile, List<Problem>> result = InstanceFile.read(path);
        assertThat(result).isInstanceOf(Result.Err.class);
        List<Problem> problems = ((Result.Err<InstanceFile, List<Problem>>) result).error();
        assertThat(ConfigCases.differences(path, problems)).isEmpty();
    }
}
