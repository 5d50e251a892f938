package org.gentianwalk.gateway.control;

import java.util.Random;
import org.gentianwalk.core.dispatch.CallScheduler;
import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.LocationMap;
import org.gentianwalk.core.dispatch.PlacementPolicy;
import org.gentianwalk.core.dispatch.StreamScheduler;
import org.gentianwalk.core.dispatch.UpstreamLimits;
import org.gentianwalk.core.dispatch.WorkScheduler;
import org.gentianwalk.core.route.ServiceSpec;

/**
 * Creates a {@link StreamScheduler} for a service with engines, and a {@link CallScheduler} for any
 * other one.
 */
public final class DispatchSchedulers implements SchedulerFactory {
    private final LocationMap mLocations;
    private final boolean mOrdersByTarget;
    private final PlacementPolicy.Kind mPlacement;

    /**
     * Creates a factory with the default order of generations and placement policy.
     *
     * @param locations location of this instance and of the zones
     */
    public DispatchSchedulers(LocationMap locations) {
        this(locations, false, PlacementPolicy.Kind.LOWEST_COST);
    }

    /**
     * Creates a factory.
     *
     * @param locations location of this instance and of the zones
     * @param ordersByTarget whether generations are ordered by their targets for every service
     * @param placement how the upstreams of requests are selected
     */
    public DispatchSchedulers(
            LocationMap locations, boolean ordersByTarget, PlacementPolicy.Kind placement) {
        mLocations = locations;
        mOrdersByTarget = ordersByTarget;
        mPlacement = placement;
    }

    @Override
    public WorkScheduler create(
            ServiceSpec service, FleetRetryBudget retries, UpstreamLimits limits) {
        Random random = new Random();
        return service.engine() == null
                ? new CallScheduler(service.name(), mLocations, retries, limits, mPlacement, random)
                : new StreamScheduler(
                        service.name(),
                        service.engine(),
                        mLocations,
                        retries,
                        limits,
                        mOrdersByTarget,
                        random);
    }
}
