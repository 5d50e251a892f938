package org.gentianwalk.core.placement;

import java.time.Duration;
import java.util.Map;

/**
 * Rules of the placement planner.
 *
 * @param minReplicas minimum number of engines by model; 1 for a model without an entry
 * @param loadsPerMinute maximum model loads per minute that the weight store allows
 * @param highLoad demand relative to capacity above which a model gets more engines
 * @param lowLoad demand relative to the remaining capacity from which a model gives up no engine
 * @param urgentFactor weight of urgent demand; urgent work must not wait, so it needs more capacity
 * @param smoothing time constant of the moving average of demand
 * @param interval minimum time between two changes of a model
 */
public record PlacementRules(
        Map<String, Integer> minReplicas,
        double loadsPerMinute,
        double highLoad,
        double lowLoad,
        double urgentFactor,
        Duration smoothing,
        Duration interval) {
    public PlacementRules {
        minReplicas = Map.copyOf(minReplicas);
        if (lowLoad <= 0 || highLoad <= lowLoad) {
            throw new IllegalArgumentException("lowLoad must be positive and below highLoad");
        }
        if (loadsPerMinute <= 0 || urgentFactor < 1) {
            throw new IllegalArgumentException(
                    "loadsPerMinute must be positive and urgentFactor at least 1");
        }
    }

    /**
     * Returns the default rules. The interval is the one of the design, section 5.7; the load rate
     * assumes a weight store that grants one load every two seconds.
     *
     * @return the rules
     */
    public static PlacementRules defaults() {
        return new PlacementRules(
                Map.of(), 30, 0.85, 0.6, 1.3, Duration.ofSeconds(30), Duration.ofSeconds(60));
    }

    int minReplicas(String model) {
        return minReplicas.getOrDefault(model, 1);
    }
}
