package org.gentianwalk.core.placement;

/**
 * Demand for a model, summed over all instances.
 *
 * @param model the model
 * @param urgentTokensPerSecond demand of urgent work, output tokens per second
 * @param standardTokensPerSecond demand of standard work, output tokens per second
 */
public record ModelDemand(
        String model, double urgentTokensPerSecond, double standardTokensPerSecond) {}
