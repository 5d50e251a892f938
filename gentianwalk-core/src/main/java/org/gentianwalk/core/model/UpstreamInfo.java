package org.gentianwalk.core.model;

import java.net.URI;
import java.util.Set;

/**
 * Configuration of an upstream.
 *
 * @param id unique identifier
 * @param uri base URI with an IP address
 * @param location region and availability zone
 * @param models models that it serves; empty for a plain service
 * @param slots maximum batch size, generations
 * @param tokensPerSecond output rate with a full batch, tokens per second
 * @param prefillTokensPerSecond prefill rate, tokens per second
 * @param capabilities optional features
 */
public record UpstreamInfo(
        String id,
        URI uri,
        Location location,
        Set<String> models,
        int slots,
        double tokensPerSecond,
        double prefillTokensPerSecond,
        Set<Capability> capabilities) {
    public UpstreamInfo {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("upstream id must not be empty");
        }
        if (slots <= 0 || tokensPerSecond <= 0 || prefillTokensPerSecond <= 0) {
            throw new IllegalArgumentException("slots and rates of " + id + " must be positive");
        }
        models = Set.copyOf(models);
        capabilities = Set.copyOf(capabilities);
    }

    /**
     * Returns whether the upstream has an optional feature.
     *
     * @param capability the feature
     * @return true when the settings list the feature
     */
    public boolean supports(Capability capability) {
        return capabilities.contains(capability);
    }
}
