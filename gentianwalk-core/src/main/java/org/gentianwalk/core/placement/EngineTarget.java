package org.gentianwalk.core.placement;

import java.util.List;

/**
 * Target state of an engine. An order carries the whole target and is therefore idempotent.
 *
 * @param models models to serve
 * @param adapters adapters to load
 * @param role the engine's role, empty for none
 */
public record EngineTarget(List<String> models, List<String> adapters, String role) {
    public EngineTarget {
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
    }

    /**
     * Returns a copy of this target with other models.
     *
     * @param newModels models to serve
     * @return the target
     */
    public EngineTarget withModels(List<String> newModels) {
        return new EngineTarget(newModels, adapters, role);
    }
}
