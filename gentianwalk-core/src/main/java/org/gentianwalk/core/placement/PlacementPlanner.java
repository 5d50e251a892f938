package org.gentianwalk.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Plans which models each engine loads as demand changes. A model gets more engines when its
 * averaged demand exceeds {@code highLoad} times its capacity, until its load is midway between the
 * two thresholds. Engines with free memory are used first, then engines of models that stay below
 * {@code lowLoad} without them. One change of a model may add several engines, limited by the load
 * rate of the weight store; a model changes again only after the interval.
 *
 * <p>Options are those of {@link PlacementRules}. Example: {@code planner.plan(demand, engines,
 * now)}
 */
public final class PlacementPlanner {
    private static final double NANOS_PER_MINUTE = 60e9;

    private final PlacementRules mRules;
    private final DemandAverage mDemand;
    private final Map<String, Long> mChangedNanos = new HashMap<>();
    private double mLoadTokens;
    private long mLoadsRefilledNanos;
    private boolean mStarted;

    /**
     * Creates a planner.
     *
     * @param rules the rules
     */
    public PlacementPlanner(PlacementRules rules) {
        mRules = rules;
        mDemand = new DemandAverage(rules.smoothing(), rules.urgentFactor());
    }

    /**
     * Plans one step.
     *
     * @param demand demand by model; a model without an entry has no demand
     * @param engines all engines that accept orders, with their last targets
     * @param nowNanos current time of a monotonic clock
     * @return changes to order now, at most one for each engine
     */
    public List<PlacementChange> plan(
            Collection<ModelDemand> demand, Collection<PlacementEngine> engines, long nowNanos) {
        mDemand.update(demand, nowNanos);
        refillLoads(nowNanos);
        PlacementState state = new PlacementState(engines);
        List<PlacementChange> changes = new ArrayList<>();
        Set<String> changedEngines = new HashSet<>();
        Set<String> changedModels = new HashSet<>();
        for (String model : modelsNeedingEngines(state, nowNanos)) {
            if (!canChange(model, nowNanos)) {
                continue;
            }
            int missingReplicas = missingReplicas(state, model);
            for (int index = 0; index < missingReplicas && mLoadTokens >= 1; index++) {
                PlacementChange change = assignEngine(state, model, changedEngines, nowNanos);
                if (change == null) {
                    break;
                }
                mLoadTokens -= 1;
                changes.add(change);
                changedEngines.add(change.engine());
                changedModels.add(model);
                change.removed().ifPresent(changedModels::add);
            }
            changedModels.forEach(changed -> mChangedNanos.put(changed, nowNanos));
        }
        return changes;
    }

    /** Returns the models that need more engines: those below their minimum first, then by load. */
    private List<String> modelsNeedingEngines(PlacementState state, long nowNanos) {
        Set<String> models = new HashSet<>(mDemand.models());
        models.addAll(mRules.minReplicas().keySet());
        Comparator<String> belowMinimumFirst =
                Comparator.comparing(model -> state.replicas(model) >= mRules.minReplicas(model));
        return models.stream()
                .filter(model -> canChange(model, nowNanos))
                .filter(model -> missingReplicas(state, model) > 0)
                .sorted(
                        belowMinimumFirst
                                .thenComparing(model -> -load(state, model, 0))
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private int missingReplicas(PlacementState state, String model) {
        int replicas = state.replicas(model);
        int belowMinimum = Math.max(0, mRules.minReplicas(model) - replicas);
        if (replicas == 0 || load(state, model, 0) <= mRules.highLoad()) {
            return belowMinimum;
        }
        double perEngine = state.capacity(model) / replicas;
        double wanted = mDemand.weightedDemand(model) / (targetLoad() * perEngine);
        return Math.max(belowMinimum, Math.max(1, (int) Math.ceil(wanted) - replicas));
    }

    private @Nullable PlacementChange assignEngine(
            PlacementState state, String model, Set<String> changedEngines, long nowNanos) {
        PlacementEngine best = null;
        String removed = null;
        double bestCost = Double.MAX_VALUE;
        for (PlacementEngine engine : state.engines()) {
            if (changedEngines.contains(engine.id()) || engine.serves(model)) {
                continue;
            }
            String victim = null;
            double cost = -1.0 / engine.tokensPerSecond();
            if (engine.target().models().size() >= engine.maxModels()) {
                victim = leastLoadedModel(state, engine, model, nowNanos);
                if (victim == null) {
                    continue;
                }
                cost = load(state, victim, engine.capacityPerModel());
            }
            if (cost < bestCost) {
                best = engine;
                removed = victim;
                bestCost = cost;
            }
        }
        return best == null ? null : createChange(state, best, model, removed);
    }

    /**
     * Returns the engine's model with the lowest load without the engine, or null when none may
     * give it up.
     */
    private @Nullable String leastLoadedModel(
            PlacementState state, PlacementEngine engine, String receivingModel, long nowNanos) {
        String best = null;
        double bestLoad = Double.MAX_VALUE;
        for (String model : engine.target().models()) {
            double load = load(state, model, engine.capacityPerModel());
            boolean aboveMinimum = state.replicas(model) > mRules.minReplicas(model);
            if (aboveMinimum
                    && canGiveUpEngine(load, receivingModel, state)
                    && canChange(model, nowNanos)
                    && load < bestLoad) {
                best = model;
                bestLoad = load;
            }
        }
        return best;
    }

    /**
     * Returns whether a model may give up an engine: it stays below the low threshold, or the other
     * model's load is higher by at least the distance between the thresholds.
     */
    private boolean canGiveUpEngine(double loadAfter, String receivingModel, PlacementState state) {
        double gap = mRules.highLoad() - mRules.lowLoad();
        return loadAfter < mRules.lowLoad() || loadAfter + gap < load(state, receivingModel, 0);
    }

    private PlacementChange createChange(
            PlacementState state, PlacementEngine engine, String model, @Nullable String removed) {
        List<String> models = new ArrayList<>(engine.target().models());
        if (removed != null) {
            models.remove(removed);
        }
        models.add(model);
        EngineTarget target = engine.target().withModels(models);
        String reason =
                "demand %.0f tokens/s, capacity %.0f tokens/s with %d engines"
                        .formatted(
                                mDemand.weightedDemand(model),
                                state.capacity(model),
                                state.replicas(model));
        state.replace(
                new PlacementEngine(
                        engine.id(), engine.maxModels(), engine.tokensPerSecond(), target));
        return new PlacementChange(
                engine.id(), target, model, Optional.ofNullable(removed), reason);
    }

    private double load(PlacementState state, String model, double removedCapacity) {
        double demand = mDemand.weightedDemand(model);
        double capacity = state.capacity(model) - removedCapacity;
        if (demand == 0) {
            return 0;
        }
        return capacity <= 0 ? Double.MAX_VALUE : demand / capacity;
    }

    private double targetLoad() {
        return (mRules.highLoad() + mRules.lowLoad()) / 2;
    }

    private boolean canChange(String model, long nowNanos) {
        Long changed = mChangedNanos.get(model);
        return changed == null || nowNanos - changed >= mRules.interval().toNanos();
    }

    /** Refills the token bucket of model loads. It holds at most the loads of one minute. */
    private void refillLoads(long nowNanos) {
        double perNano = mRules.loadsPerMinute() / NANOS_PER_MINUTE;
        double added =
                mStarted ? (nowNanos - mLoadsRefilledNanos) * perNano : mRules.loadsPerMinute();
        mLoadTokens = Math.min(Math.max(1, mRules.loadsPerMinute()), mLoadTokens + added);
        mLoadsRefilledNanos = nowNanos;
        mStarted = true;
    }
}
