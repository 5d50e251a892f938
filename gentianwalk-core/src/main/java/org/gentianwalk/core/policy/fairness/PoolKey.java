package org.gentianwalk.core.policy.fairness;

/**
 * A pool of engines.
 *
 * @param model the model that they serve
 * @param region the region that they run in
 */
public record PoolKey(String model, String region) {
    @Override
    public String toString() {
        return model + "@" + region;
    }
}
