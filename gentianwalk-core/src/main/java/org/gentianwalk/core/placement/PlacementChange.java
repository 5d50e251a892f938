package org.gentianwalk.core.placement;

import java.util.Optional;

/**
 * A change of one engine's target.
 *
 * @param engine the engine's id
 * @param target its new target
 * @param added the model to load
 * @param removed the model to unload, if any
 * @param reason reason of the change, for the log
 */
public record PlacementChange(
        String engine,
        EngineTarget target,
        String added,
        Optional<String> removed,
        String reason) {}
