package org.gentianwalk.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The engines and their targets during one planning step, with the capacity and the number of
 * replicas of each model.
 */
final class PlacementState {
    private final Map<String, PlacementEngine> mEngines = new LinkedHashMap<>();
    private final Map<String, Double> mCapacity = new HashMap<>();
    private final Map<String, Integer> mReplicas = new HashMap<>();

    PlacementState(Collection<PlacementEngine> engines) {
        engines.forEach(this::put);
    }

    Collection<PlacementEngine> engines() {
        return mEngines.values();
    }

    double capacity(String model) {
        return mCapacity.getOrDefault(model, 0.0);
    }

    int replicas(String model) {
        return mReplicas.getOrDefault(model, 0);
    }

    void replace(PlacementEngine engine) {
        PlacementEngine before = mEngines.get(engine.id());
        if (before != null) {
            updateTotals(before, -1);
        }
        put(engine);
    }

    private void put(PlacementEngine engine) {
        mEngines.put(engine.id(), engine);
        updateTotals(engine, 1);
    }

    private void updateTotals(PlacementEngine engine, int sign) {
        for (String model : engine.target().models()) {
            mCapacity.merge(model, sign * engine.capacityPerModel(), Double::sum);
            mReplicas.merge(model, sign, Integer::sum);
        }
    }
}
