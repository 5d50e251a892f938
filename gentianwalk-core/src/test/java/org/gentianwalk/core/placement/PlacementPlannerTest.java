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
    private static final class World {
        final Map<String, PlacementEngine> mEngines = new LinkedHashMap<>();
        final Map<String, Double> mMean = new LinkedHashMap<>();
        final Map<String, Long> mLastChange = new HashMap<>();
        final PlacementPlanner mPlanner;
        final Random mRandom;
        long mNow;
        int mChanges;
        long mShortestInterval = Long.MAX_VALUE;

        World(PlacementRules rules, long seed) {
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
            changes.stream().map(PlacementChange::added).distinct().forEach(this::changed);
            mChanges += changes.size();
            return changes;
        }

        void changed(String model) {
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
        PlacementRules eager =
                new PlacementRules(
                        Map.of(), 1e6, 0.7, 0.699, 1.3, Duration.ofNanos(1), Duration.ZERO);
        int usual = 0;
        int without = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            usual = Math.max(usual, changesPerHour(PlacementRules.usual(), seed));
            without = Math.max(without, changesPerHour(eager, seed));
        }
        System.out.printf(
                "placement, noise 30%%, worst of %d seeds: %d changes an hour, %d without"
                        + " hysteresis%n",
                SEEDS, usual, without);
        assertThat(usual).isLessThan(ENGINES);
        assertThat(without).as("changes without hysteresis").isGreaterThan(10 * ENGINES);
    }

    private static int changesPerHour(PlacementRules rules, long seed) {
        World world = new World(rules, seed);
        for (long warmUp = 0; warmUp < Duration.ofMinutes(10).toNanos(); warmUp += STEP) {
            world.step(0.3);
        }
        world.mChanges = 0;
        for (long at = 0; at < Duration.ofHours(1).toNanos(); at += STEP) {
            world.step(0.3);
        }
        return world.mChanges;
    }

    @Test
    void aStepInDemandIsFollowedWithinTheIntervalAndTheStoreRate() {
        long worst = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            World world = new World(PlacementRules.usual(), seed);
            for (int index = 0; index < 120; index++) {
                world.step(0.1);
            }
            double before = world.mMean.get("m0");
            world.mMean.put("m0", before * 4);
            world.mMean.put("m7", world.mMean.get("m7") / 4);
            double needed = before * 4 / RATE;
            long start = world.mNow;
            while (world.replicas("m0") < needed && world.mNow - start < 10 * 60e9) {
                world.step(0.1);
            }
            worst = Math.max(worst, world.mNow - start);
            assertThat(world.mShortestInterval)
                    .as("shortest interval between changes of a model")
                    .isGreaterThanOrEqualTo(Duration.ofSeconds(60).toNanos());
        }
        System.out.printf(
                "placement, demand of one model times 4, worst of %d seeds: followed in %d s%n",
                SEEDS, Duration.ofNanos(worst).toSeconds());
        assertThat(Duration.ofNanos(worst)).isLessThan(Duration.ofMinutes(4));
    }

    @Test
    void aModelBelowItsMinimumGetsAnEngineAndNoneIsLeftBelow() {
        World world = new World(PlacementRules.usual(), 1);
        world.mMean.put("new", 10.0);
        for (int index = 0; index < 60; index++) {
            world.step(0.1);
        }
        assertThat(world.replicas("new")).isEqualTo(1);
        for (int model = 0; model < MODELS; model++) {
            assertThat(world.replicas("m" + model)).isPositive();
        }
    }

    @Test
    void loadsStayWithinTheWeightStoresRate() {
        PlacementRules rules =
                new PlacementRules(
                        Map.of("a", ENGINES),
                        6,
                        0.85,
                        0.6,
                        1.3,
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(60));
        World world = new World(rules, 1);
        world.mMean.replaceAll((model, mean) -> 1.0);
        for (int index = 0; index < 12 * 5; index++) {
            world.step(0);
        }
        assertThat(world.mChanges)
                .as("loads in five minutes with an initially full bucket")
                .isBetween(20, 36);
        assertThat(world.replicas("m0")).isEqualTo(1);
    }
}
