package org.gentianwalk.gateway.control;

import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.UpstreamLimits;
import org.gentianwalk.core.dispatch.WorkScheduler;
import org.gentianwalk.core.route.ServiceSpec;

/** Creates the schedulers of services. */
public interface SchedulerFactory {
    /**
     * Creates the scheduler of a service. Called on the control thread.
     *
     * @param service the service
     * @param retries retry budget of the service
     * @param limits limits that upstreams state
     * @return a scheduler without upstreams
     */
    WorkScheduler create(ServiceSpec service, FleetRetryBudget retries, UpstreamLimits limits);
}
