package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.Set;

/** A scheduler whose decisions depend on the latency targets that the routes of a service state. */
public interface TargetAware {
    /**
     * Replaces the targets. Called when a configuration is applied, before its requests arrive.
     *
     * @param targets the different targets of the routes that lead to the service
     */
    void updateTargets(Set<Duration> targets);
}
