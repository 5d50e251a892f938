package org.gentianwalk.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against thrashing under noise, slow reaction to a step in demand, and models without an
 * engine.
 */
class PlacementPlannerTest {
    private static final long STEP = Duration.ofSeconds(5).toNanos();
    private static final int ENGINES = 40;
    private static final int MODELS = 8;
    private static final double RATE = 1000;
    private static final int SEEDS = 20;

    /** Simulates engines that execute every order at once, and generates the demand. */
    private static final class SimulatedFleet {
        final Map<String, PlacementEngine> mEngines = new LinkedHashMap<>();
        final Map<String, Double> mMean = new LinkedHashMap<>();
        final Map<String, Long> mLastChange = new HashMap<>();
        final PlacementPlanner mPlanner;
        final Random mRandom;
        long mNow;
        int mChanges;
        long mShortestInterval = Long.MAX_VALUE;

        SimulatedFleet(PlacementRules rules, long seed) {
            mPlanner = new PlacementPlanner(rules);
            mRandom = new Random(seed);
            for (int id = 0; id < ENGINES; id++) {
                EngineTarget target = new EngineTarget(List.of("m" + id % MODELS), List.of(), "");
                mEngines.put("e" + id, new PlacementEngine("e" + id, 1, RATE, target));
            }
            for (int model = 0; model < MODELS; model++) {
                double share = (0.4 + 0.9 * model / MODELS) * ENGINES / MODELS;
                mMean.put("m" + model, share * RATE * 0.7);
            }
        }

        List<PlacementChange> step(double noise) {
            mNow += STEP;
            List<ModelDemand> demand = new ArrayList<>();
            mMean.forEach(
                    (model, mean) -> {
                        double now = mean * Math.exp(noise * mRandom.nextGaussian());
                        demand.add(new ModelDemand(model, now / 4, now * 3 / 4));
                    });
            List<PlacementChange> changes =
                    mPlanner.plan(demand, List.copyOf(mEngines.values()), mNow);
            for (PlacementChange change : changes) {
                PlacementEngine engine = mEngines.get(change.engine());
                mEngines.put(
                        change.engine(),
                        new PlacementEngine(
                                engine.id(), engine.maxModels(), RATE, change.target()));
            }
            changes.stream().map(PlacementChange::added).distinct().forEach(this::recordChange);
            mChanges += changes.size();
            return changes;
        }

        void recordChange(String model) {
            Long before = mLastChange.put(model, mNow);
            if (before != null) {
                mShortestInterval = Math.min(mShortestInterval, mNow - before);
            }
        }

        long replicas(String model) {
            return mEngines.values().stream().filter(engine -> engine.serves(model)).count();
        }
    }

    @Test
    void noisyConstantDemandMovesFewEngines() {
        PlacementRules noHysteresis =
                new PlacementRules(
                        Map.of(), 1e6, 0.7, 0.699, 1.3, Duration.ofNanos(1), Duration.ZERO);
        int withDefaults = 0;
        int withoutHysteresis = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            withDefaults = Math.max(withDefaults, changesPerHour(PlacementRules.defaults(), seed));
            withoutHysteresis = Math.max(withoutHysteresis, changesPerHour(noHysteresis, seed));
        }
        System.out.printf(
                "placement, noise 30%%, worst of %d seeds: %d changes an hour, %d without"
                        + " hysteresis%n",
                SEEDS, withDefaults, withoutHysteresis);
        assertThat(withDefaults).isLessThan(ENGINES);
        assertThat(withoutHysteresis).as("changes without hysteresis").isGreaterThan(10 * ENGINES);
    }

    private static int changesPerHour(PlacementRules rules, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(rules, seed);
        for (long warmUp = 0; warmUp < Duration.ofMinutes(10).toNanos(); warmUp += STEP) {
            fleet.step(0.3);
        }
        fleet.mChanges = 0;
        for (long at = 0; at < Duration.ofHours(1).toNanos(); at += STEP) {
            fleet.step(0.3);
        }
        return fleet.mChanges;
    }

    @Test
    void demandStepIsFollowedWithinFourMinutes() {
        long worst = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(PlacementRules.defaults(), seed);
            for (int index = 0; index < 120; index++) {
                fleet.step(0.1);
            }
            double before = fleet.mMean.get("m0");
            fleet.mMean.put("m0", before * 4);
            fleet.mMean.put("m7", fleet.mMean.get("m7") / 4);
            double needed = before * 4 / RATE;
            long start = fleet.mNow;
            while (fleet.replicas("m0") < needed && fleet.mNow - start < 10 * 60e9) {
                fleet.step(0.1);
            }
            worst = Math.max(worst, fleet.mNow - start);
            assertThat(fleet.mShortestInterval)
                    .as("shortest interval between changes of a model")
                    .isGreaterThanOrEqualTo(Duration.ofSeconds(60).toNanos());
        }
        System.out.printf(
                "placement, demand of one model times 4, worst of %d seeds: followed in %d s%n",
                SEEDS, Duration.ofNanos(worst).toSeconds());
        assertThat(Duration.ofNanos(worst)).isLessThan(Duration.ofMinutes(4));
    }

    @Test
    void modelBelowItsMinimumGetsAnEngine() {
        SimulatedFleet fleet = new SimulatedFleet(PlacementRules.defaults(), 1);
        fleet.mMean.put("new", 10.0);
        for (int index = 0; index < 60; index++) {
            fleet.step(0.1);
        }
        assertThat(fleet.replicas("new")).isEqualTo(1);
        for (int model = 0; model < MODELS; model++) {
            assertThat(fleet.replicas("m" + model)).isPositive();
        }
    }

    @Test
    void modelLoadsStayWithinTheWeightStoreRate() {
        PlacementRules rules =
                new PlacementRules(
                        Map.of("a", ENGINES),
                        6,
                        0.85,
                        0.6,
                        1.3,
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(60));
        SimulatedFleet fleet = new SimulatedFleet(rules, 1);
        fleet.mMean.replaceAll((model, mean) -> 1.0);
        for (int index = 0; index < 12 * 5; index++) {
            fleet.step(0);
        }
        assertThat(fleet.mChanges)
                .as("loads in five minutes with an initially full bucket")
                .isBetween(20, 36);
        assertThat(fleet.replicas("m0")).isEqualTo(1);
    }
}
