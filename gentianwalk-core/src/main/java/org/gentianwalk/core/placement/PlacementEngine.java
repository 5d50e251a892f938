package org.gentianwalk.core.placement;

/**
 * An engine as input of the planner.
 *
 * @param id the engine's id
 * @param maxModels maximum number of models that fit into its memory
 * @param tokensPerSecond output rate at a full batch, shared by its models, tokens per second
 * @param target the last ordered target
 */
public record PlacementEngine(
        String id, int maxModels, double tokensPerSecond, EngineTarget target) {
    public PlacementEngine {
        if (maxModels < 1 || tokensPerSecond <= 0) {
            throw new IllegalArgumentException(
                    "maxModels and tokensPerSecond of " + id + " must be positive");
        }
    }

    double capacityPerModel() {
        return tokensPerSecond / Math.max(1, target.models().size());
    }

    boolean serves(String model) {
        return target.models().contains(model);
    }
}
