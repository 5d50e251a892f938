package org.gentianwalk.bench.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a benchmark that loses tokens or records no measurements. */
class PathBenchmarkTest {
    @Test
    void smallLoadGivesExactOutputAndMeasurements() throws Exception {
        PathOptions options = new PathOptions(20, 400, Duration.ofSeconds(1), 1);
        PathResult result = new PathBenchmark(options).run();
        assertThat(result.direct().wrong()).isZero();
        assertThat(result.through().wrong()).isZero();
        assertThat(result.through().tokens()).isEqualTo(20L * options.tokensPerStream());
        assertThat(result.through().delays().getTotalCount()).isEqualTo(result.through().tokens());
        assertThat(result.text()).contains("added");
    }
}
