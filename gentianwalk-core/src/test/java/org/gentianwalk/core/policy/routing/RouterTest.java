package org.gentianwalk.core.policy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Fixtures;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.Scheduler.LoadReport;
import org.gentianwalk.core.policy.routing.Router.Request;
import org.gentianwalk.core.policy.routing.Router.Route;
import org.junit.jupiter.api.Test;

class RouterTest {
    private static final int SLOTS = 16;
    private static final PolicyOptions OPTIONS = PolicyOptions.defaults();
    private final PrefixIndex mPrefixes = new PrefixIndex(1_000);

    /**
     * Guards against herding: instances with equally old reports must not all choose the one idle
     * engine.
     */
    @Test
    void instancesDoNotAllChooseTheIdleEngine() {
        Map<String, Integer> chosen = new HashMap<>();
        for (int seed = 0; seed < 40; seed++) {
            List<EngineState> engines = engines(10, 12);
            engines.getFirst().recordReport(report("e0", 0), 0, 0);
            Route route = router(seed, 0).choose(request(Rank.URGENT, List.of()), engines, 0);
            assertThat(route).isNotNull();
            chosen.merge(route.engine().id(), 1, Integer::sum);
        }
        assertThat(chosen.get("e0")).isLessThan(24);
        assertThat(chosen.size()).isGreaterThan(4);
    }

    /**
     * Guards against repeating a prefill that an engine has cached, and against queueing at that
     * engine when the queue costs more than the prefill.
     */
    @Test
    void prefixHolderIsChosenUnlessItsQueueCostsMore() {
        List<Long> prompt = LongStream.range(0, 16).boxed().toList();
        mPrefixes.recordStored("e3", prompt);
        List<EngineState> engines = engines(8, 8);
        Request request = request(Rank.URGENT, prompt);
        for (int seed = 0; seed < 10; seed++) {
            Route route = router(seed, 0).choose(request, engines, 0);
            assertThat(route).isNotNull();
            assertThat(route.engine().id()).isEqualTo("e3");
            assertThat(route.cachedTokens()).isEqualTo(1_000);
        }
        engines.get(3).recordReport(report("e3", SLOTS), 0, 0);
        Route elsewhere = router(1, 0).choose(request, engines, 0);
        assertThat(elsewhere).isNotNull();
        assertThat(elsewhere.engine().id()).isNotEqualTo("e3");
    }

    /**
     * Guards against use of the region link beyond its budget, or while the own region has free
     * slots.
     */
    @Test
    void regionLinkIsUsedOnlyWithoutFreeSlotsAndWithinTheBudget() {
        List<EngineState> engines = engines(2, 4);
        Location far = new Location("r2", "r2-a");
        engines.add(new EngineState(Fixtures.engine("far", far, SLOTS), Distance.OTHER_REGION, 0));
        Request urgent = request(Rank.URGENT, List.of());
        Route home = router(1, 1_000_000).choose(urgent, engines, 0);
        assertThat(home).isNotNull();
        assertThat(home.engine().id()).startsWith("e");
        for (EngineState engine : engines.subList(0, 2)) {
            engine.recordReport(report(engine.id(), SLOTS), 0, 0);
        }
        Route away = router(1, 1_000_000).choose(urgent, engines, 0);
        assertThat(away).isNotNull();
        assertThat(away.engine().id()).isEqualTo("far");
        assertThat(router(1, 1_000).choose(urgent, engines, 0)).isNull();
    }

    /** Guards against ejecting most of a pool when the network, not the engines, has failed. */
    @Test
    void atMostAThirdOfAPoolIsEjectedAtOnce() {
        List<EngineState> engines = engines(9, 4);
        for (EngineState engine : engines) {
            engine.workStarted(0, false, 0);
            engine.health().updateDecoding(1);
            engine.health().recordToken(0, 0);
        }
        long late = OPTIONS.health().stallTimeout().toNanos() + 1;
        List<EngineState> silent = new HealthMonitor(OPTIONS.health()).check(engines, late);
        assertThat(silent).hasSize(9);
        assertThat(engines.stream().filter(e -> e.health().isEjected())).hasSize(3);
    }

    private Router router(long seed, double linkBytes) {
        RegionLinkBudget budget = new RegionLinkBudget(linkBytes, 0.5);
        return new Router(OPTIONS, mPrefixes, budget, new Random(seed));
    }

    private static Request request(Rank rank, List<Long> prefix) {
        WorkItem item = Fixtures.item("t", "k", rank, prefix, 0, WorkItem.NO_DEADLINE);
        return new Request(item, ServiceClass.URGENT, 200, false, null, null, true, false, 3);
    }

    private static List<EngineState> engines(int count, int load) {
        List<EngineState> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            EngineState engine =
                    new EngineState(
                            Fixtures.engine("e" + i, Fixtures.HOME, SLOTS), Distance.SAME_ZONE, 0);
            engine.recordReport(report("e" + i, load), 0, 0);
            engines.add(engine);
        }
        return engines;
    }

    private static LoadReport report(String engine, int running) {
        return new LoadReport(engine, running, 0, 400, 0, false);
    }
}
