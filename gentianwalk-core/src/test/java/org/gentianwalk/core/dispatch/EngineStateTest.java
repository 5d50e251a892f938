package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against wrong estimates of an engine's load. */
class EngineStateTest {
    /** 8 tokens per millisecond. */
    private static final double RATE = 8e-6;

    private final EngineState mEngine = new EngineState(Samples.upstream("e", "a"), 0);

    @Test
    void promptsArePrefilledSequentially() {
        mEngine.putLoad(1, new EngineState.Load(0, 8_000, 9_000, true, false, false));
        mEngine.replacePeerLoads(
                "peer", List.of(new EngineState.Load(100 * MS, 4_000, 5_000, true, false, false)));

        assertThat(mEngine.backlog(RATE, 200 * MS)).isEqualTo(1_300 * MS);
        assertThat(mEngine.running()).isEqualTo(2);
        assertThat(mEngine.memory()).isEqualTo(14_000);
    }

    @Test
    void anOverduePromptStillCountsAsBacklog() {
        mEngine.putLoad(1, new EngineState.Load(0, 8_000, 9_000, true, false, false));

        assertThat(mEngine.backlog(RATE, 5_000 * MS)).isPositive();
    }

    @Test
    void decodingGenerationsAreNotBacklog() {
        mEngine.putLoad(1, new EngineState.Load(0, 8_000, 9_000, false, false, false));

        assertThat(mEngine.backlog(RATE, 100 * MS)).isZero();
    }

    @Test
    void copiesUseMemoryButAreNotRunning() {
        mEngine.replacePeerLoads(
                "peer", List.of(new EngineState.Load(0, 0, 9_000, false, true, false)));

        assertThat(mEngine.running()).isZero();
        assertThat(mEngine.memory()).isEqualTo(9_000);
        assertThat(mEngine.backlog(RATE, 0)).isZero();
    }
}
