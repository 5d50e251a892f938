package org.gentianwalk.server;

import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.journal.CallService;
import org.gentianwalk.core.policy.FairScheduler;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.Scheduler;
import org.gentianwalk.core.policy.ShareRules;
import org.gentianwalk.core.replica.LocalReplicaService;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.http.ConnectionTable;
import org.gentianwalk.server.http.ProcConnectionTable;
import org.gentianwalk.server.pipeline.DecisionSink;
import org.gentianwalk.server.pipeline.LoggingDecisionSink;
import org.gentianwalk.server.service.RefusingCallService;

/**
 * The exchangeable components of an instance.
 *
 * @param schedulers creates the scheduler
 * @param replicas stores replicas of running generations
 * @param calls executes non-repeatable calls
 * @param sink receives each decision
 * @param connections reports which callers have disconnected
 * @param ticker monotonic clock
 */
public record InstanceParts(
        SchedulerFactory schedulers,
        ReplicaService replicas,
        CallService calls,
        DecisionSink sink,
        ConnectionTable connections,
        Ticker ticker) {
    /**
     * Returns the components of an instance without peers and without a platform.
     *
     * @return the fair scheduler, no replicas, and no non-repeatable calls
     */
    public static InstanceParts standalone() {
        return new InstanceParts(
                InstanceParts::fairScheduler,
                new LocalReplicaService(),
                new RefusingCallService(),
                new LoggingDecisionSink(),
                ProcConnectionTable.detect(),
                Ticker.system());
    }

    /**
     * Changes the scheduler.
     *
     * @param value creates the scheduler
     * @return changed parts
     */
    public InstanceParts withSchedulers(SchedulerFactory value) {
        return new InstanceParts(value, replicas, calls, sink, connections, ticker);
    }

    /**
     * Changes the replica service.
     *
     * @param value stores replicas of running generations
     * @return changed parts
     */
    public InstanceParts withReplicas(ReplicaService value) {
        return new InstanceParts(schedulers, value, calls, sink, connections, ticker);
    }

    /**
     * Changes the call service.
     *
     * @param value executes non-repeatable calls
     * @return changed parts
     */
    public InstanceParts withCalls(CallService value) {
        return new InstanceParts(schedulers, replicas, value, sink, connections, ticker);
    }

    /**
     * Changes the receiver of decisions.
     *
     * @param value receives each decision
     * @return changed parts
     */
    public InstanceParts withSink(DecisionSink value) {
        return new InstanceParts(schedulers, replicas, calls, value, connections, ticker);
    }

    /**
     * Changes the table of callers' connections.
     *
     * @param value reports which callers have disconnected
     * @return changed parts
     */
    public InstanceParts withConnections(ConnectionTable value) {
        return new InstanceParts(schedulers, replicas, calls, sink, value, ticker);
    }

    private static Scheduler fairScheduler(
            InstanceSettings settings, Supplier<ServingRules> rules) {
        return new FairScheduler(
                PolicyOptions.defaults(),
                ShareRules.of(rules),
                settings.id(),
                settings.location(),
                settings.id().hashCode());
    }
}
