package org.gentianwalk.server.control;

import org.gentianwalk.core.config.PolicyRules;
import org.gentianwalk.core.policy.PolicyOptions;

/** Derives the scheduler's options from the configuration. */
public final class PolicySettings {
    private PolicySettings() {}

    /**
     * Returns the default options, overridden by the configured values.
     *
     * @param rules the configured values
     * @return the options
     */
    public static PolicyOptions options(PolicyRules rules) {
        PolicyOptions defaults = PolicyOptions.defaults();
        PolicyOptions.Admission admission = defaults.admission();
        PolicyOptions.Routing routing = defaults.routing();
        PolicyOptions.Health health = defaults.health();
        PolicyOptions.Retry retry = defaults.retry();
        return new PolicyOptions(
                new PolicyOptions.Admission(
                        rules.standardShare(),
                        admission.queueTimeout(),
                        admission.promptTokenCost(),
                        admission.cachedTokenCost(),
                        admission.engineQueue(),
                        admission.urgentReserve()),
                defaults.fairness(),
                new PolicyOptions.Routing(
                        routing.choices(),
                        routing.subset(),
                        routing.prefixEntries(),
                        routing.reportLag(),
                        rules.regionLinkBytesPerSecond(),
                        routing.bytesPerPromptToken(),
                        routing.bytesPerOutputToken(),
                        routing.urgentLinkShare()),
                new PolicyOptions.Health(
                        rules.stallTimeout(),
                        health.gapFactor(),
                        rules.maxEjected(),
                        health.ejection()),
                new PolicyOptions.Retry(
                        rules.retryBudget(),
                        retry.burst(),
                        retry.teamBurst(),
                        rules.maxAttempts(),
                        retry.suspectEntries(),
                        retry.suspectLifetime(),
                        retry.convictionLifetime()));
    }
}
