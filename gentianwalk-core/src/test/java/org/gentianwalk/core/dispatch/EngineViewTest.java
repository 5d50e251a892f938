package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.suspect.SuspectTable;
import org.junit.jupiter.api.Test;

/** Guards against loads of other instances that stay at engines after they have ended. */
class EngineViewTest {
    private static final int ENGINES = 6;
    private static final int PEERS = 4;
    private static final int STEPS = 2_000;

    private final EngineView mView =
            new EngineView(new SuspectTable(PolicyOptions.defaults().retry()));
    private final Map<String, InstanceLoad> mLatest = new HashMap<>();
    private final Random mRandom = new Random(20261206);

    @Test
    void aLoadEndsWithTheNextReportWithoutIt() {
        list(2);
        report("peer", 1, List.of(generation("engine-0", "engine-1")));
        report("peer", 2, List.of());

        assertThat(mView.engines()).allSatisfy(engine -> assertThat(engine.memory()).isZero());
    }

    /** The engine is not listed when the report arrives that no longer has its load. */
    @Test
    void aLoadEndsThoughItsEngineWasNotListedForAMoment() {
        list(2);
        report("peer", 1, List.of(generation("engine-1", "")));
        list(1);
        report("peer", 2, List.of());
        list(2);

        assertThat(mView.engines()).allSatisfy(engine -> assertThat(engine.running()).isZero());
    }

    /** The report before is no longer known, since the instance was not live for a moment. */
    @Test
    void aLoadEndsThoughItsInstanceWasNotLiveForAMoment() {
        list(2);
        report("peer", 1, List.of(generation("engine-1", "")));
        list(1);
        mView.retainPeers(List.of());
        list(2);
        report("peer", 2, List.of());

        assertThat(mView.engines()).allSatisfy(engine -> assertThat(engine.running()).isZero());
    }

    /** Seed 20261206. */
    @Test
    void theLoadsOfEnginesAreThoseOfTheLatestReports() {
        int listed = ENGINES;
        list(listed);
        for (int step = 1; step <= STEPS; step++) {
            if (mRandom.nextInt(10) == 0) {
                listed = 1 + mRandom.nextInt(ENGINES);
                list(listed);
            }
            report("peer-" + mRandom.nextInt(PEERS), step, randomRuns());

            for (EngineState engine : mView.engines()) {
                String id = engine.upstream().id();
                assertThat(engine.running()).as(id + ", step " + step).isEqualTo(running(id));
                assertThat(engine.memory()).as(id + ", step " + step).isEqualTo(memory(id));
            }
        }
    }

    private int running(String engine) {
        return (int)
                mLatest.values().stream()
                        .flatMap(load -> load.runs().stream())
                        .filter(run -> run.engine().equals(engine))
                        .count();
    }

    private int memory(String engine) {
        return mLatest.values().stream()
                .flatMap(load -> load.runs().stream())
                .mapToInt(
                        run ->
                                (run.engine().equals(engine) ? run.memory() : 0)
                                        + (run.copyHolder().equals(engine) ? run.memory() : 0))
                .sum();
    }

    private List<GenerationLoad> randomRuns() {
        List<GenerationLoad> runs = new ArrayList<>();
        for (int i = mRandom.nextInt(4); i > 0; i--) {
            String holder = mRandom.nextBoolean() ? "" : "engine-" + mRandom.nextInt(ENGINES);
            runs.add(generation("engine-" + mRandom.nextInt(ENGINES), holder));
        }
        return runs;
    }

    private void list(int engines) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            upstreams.add(Samples.upstream("engine-" + i, "a"));
        }
        mView.replaceEngines(upstreams, SECOND);
    }

    private void report(String peer, long number, List<GenerationLoad> runs) {
        InstanceLoad load =
                new InstanceLoad("service", number, runs, 0, List.of(), Samples.USAGE, List.of());
        mLatest.put(peer, load);
        mView.recordPeerLoad(peer, load, SECOND);
    }

    private static GenerationLoad generation(String engine, String copyHolder) {
        return new GenerationLoad(engine, 7, 100, 200, 50, false, copyHolder, false);
    }
}
