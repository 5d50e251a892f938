package org.gentianwalk.server.node;

import java.util.List;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.config.ConfigService;
import org.gentianwalk.server.control.DemandExchange;
import org.gentianwalk.server.control.DrainGossip;
import org.gentianwalk.server.control.InstanceListPoller;
import org.gentianwalk.server.mesh.MembershipDriver;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.pipeline.ControlThread;
import org.gentianwalk.server.pipeline.LoggingDecisionSink;

/**
 * Fleet-wide tasks of an instance: states of upstreams, exchange of demand, and tasks under leases.
 */
final class FleetTasks implements AutoCloseable {
    private final MembershipDriver mMembers;
    private final UpstreamStates mUpstreams;
    private final DrainGossip mDrains;
    private final WorkCounter mWork;
    private final DemandExchange mDemand;
    private final LeasedTasks mLeases;
    private final InstanceListPoller mPoller;

    FleetTasks(
            PlatformClients platform,
            MeshNode mesh,
            MembershipDriver members,
            ConfigService config,
            ControlThread control,
            Ticker ticker) {
        mMembers = members;
        mUpstreams = new UpstreamStates(config::currentRules, control.executor());
        mDrains = new DrainGossip(mesh, members, control.executor(), mUpstreams::drained);
        mWork = new WorkCounter(new LoggingDecisionSink(), ticker.nanos());
        mDemand = new DemandExchange(mesh, members, control.executor(), ticker);
        mLeases =
                new LeasedTasks(
                        new LeasedTasks.Dependencies(
                                platform,
                                members::view,
                                ticker,
                                mDemand::total,
                                config::currentRules,
                                mUpstreams));
        mPoller =
                new InstanceListPoller(
                        platform.instances(), InstanceListPoller.PERIOD, new ListListener());
    }

    void start(NodeTimes times) {
        mPoller.start();
        mDrains.start(times.marks());
        mDemand.start(
                mWork::takeDemand, view -> LeasedTasks.candidates(view, LeasedTasks.PLACEMENT));
        mLeases.start(times);
    }

    UpstreamStates upstreams() {
        return mUpstreams;
    }

    DrainGossip drains() {
        return mDrains;
    }

    WorkCounter work() {
        return mWork;
    }

    LeasedTasks leases() {
        return mLeases;
    }

    /** Stops polling the instance list; the first step of a shutdown. */
    void stopPolling() {
        mPoller.close();
    }

    /** Stops the leased tasks and releases their leases, which needs the platform's clients. */
    @Override
    public void close() {
        mLeases.close();
    }

    /** Forwards the entries of the platform's instance list. */
    private final class ListListener implements InstanceListPoller.Listener {
        @Override
        public void instances(List<InstanceList.Entry> entries) {
            mMembers.applyInstanceList(entries);
        }

        @Override
        public void upstream(String upstream, boolean leaving) {
            mUpstreams.leaving(upstream, leaving);
        }
    }
}
