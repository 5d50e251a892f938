package org.gentianwalk.core.config;

import java.time.Duration;

/**
 * Policy for overload, retries and suspected engines.
 *
 * @param standardShare share of the capacity reserved for standard work, 0 to 0.9
 * @param retryBudget limit of extra attempts as a share of traffic, 0 to 0.5
 * @param queueTokens maximum work queued per model at one instance, tokens; more is refused
 * @param maxAttempts maximum number of engines tried for one generation
 * @param stallTimeout maximum time between two tokens before an engine is suspected
 * @param maxEjected maximum share of a pool that may be ejected as suspected at once, 0 to 0.5
 * @param regionLinkBytesPerSecond budget for traffic to each other region, bytes per second
 */
public record PolicyRules(
        double standardShare,
        double retryBudget,
        long queueTokens,
        int maxAttempts,
        Duration stallTimeout,
        double maxEjected,
        long regionLinkBytesPerSecond) {
    /** The default policy; equals the defaults of the schema. */
    public static final PolicyRules DEFAULT =
            new PolicyRules(0.10, 0.10, 200_000, 4, Duration.ofSeconds(2), 0.33, 2_500_000);
}
