package org.gentianwalk.server.control;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.policy.fairness.PolicyMessage;
import org.gentianwalk.core.policy.fairness.PoolKey;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.proto.PoolId;
import org.gentianwalk.proto.PoolLevel;
import org.gentianwalk.proto.SuspectNotice;
import org.gentianwalk.proto.TeamDemand;
import org.gentianwalk.proto.TeamTotal;
import org.gentianwalk.proto.UsageReport;

/** Converts the schedulers' messages to protobuf and back. */
final class PolicyMessageCodec {
    private PolicyMessageCodec() {}

    static UsageReport toProto(PolicyMessage.UsageReport report) {
        UsageReport.Builder builder =
                UsageReport.newBuilder()
                        .setPool(toProto(report.pool()))
                        .setInstance(report.instance())
                        .setPeriod(report.period())
                        .setRestUrgentDemand((float) report.restUrgentDemand())
                        .setRestOtherDemand((float) report.restStandardDemand())
                        .setServed((float) report.served())
                        .setCapacityEstimate((float) report.capacity())
                        .setQueuedWork((float) report.queuedWork());
        for (org.gentianwalk.core.policy.fairness.TeamDemand team : report.heavy()) {
            builder.addHeavy(
                    TeamDemand.newBuilder()
                            .setTeam(team.team())
                            .setUrgent(team.rank() == Rank.URGENT)
                            .setDemand((float) team.demand())
                            .setServed((float) team.served())
                            .setWeight((float) team.weight()));
        }
        return builder.build();
    }

    static PolicyMessage.UsageReport fromProto(UsageReport report) {
        List<org.gentianwalk.core.policy.fairness.TeamDemand> heavy = new ArrayList<>();
        for (TeamDemand team : report.getHeavyList()) {
            heavy.add(
                    new org.gentianwalk.core.policy.fairness.TeamDemand(
                            team.getTeam(),
                            rank(team.getUrgent()),
                            team.getDemand(),
                            team.getServed(),
                            team.getWeight()));
        }
        return new PolicyMessage.UsageReport(
                fromProto(report.getPool()),
                report.getInstance(),
                report.getPeriod(),
                heavy,
                report.getRestUrgentDemand(),
                report.getRestOtherDemand(),
                report.getServed(),
                report.getCapacityEstimate(),
                report.getQueuedWork());
    }

    static PoolLevel toProto(PolicyMessage.PoolLevel level) {
        PoolLevel.Builder builder =
                PoolLevel.newBuilder()
                        .setPool(toProto(level.pool()))
                        .setPeriod(level.period())
                        .setUrgentLevel((float) level.urgentLevel())
                        .setOtherLevel((float) level.standardLevel())
                        .setReporters(level.reporters());
        for (PolicyMessage.TeamTotal total : level.totals()) {
            builder.addTotals(
                    TeamTotal.newBuilder()
                            .setTeam(total.team())
                            .setUrgent(total.rank() == Rank.URGENT)
                            .setDemand((float) total.demand()));
        }
        return builder.build();
    }

    static PolicyMessage.PoolLevel fromProto(PoolLevel level) {
        List<PolicyMessage.TeamTotal> totals = new ArrayList<>();
        for (TeamTotal total : level.getTotalsList()) {
            totals.add(
                    new PolicyMessage.TeamTotal(
                            total.getTeam(), rank(total.getUrgent()), total.getDemand()));
        }
        return new PolicyMessage.PoolLevel(
                fromProto(level.getPool()),
                level.getPeriod(),
                level.getUrgentLevel(),
                level.getOtherLevel(),
                totals,
                level.getReporters());
    }

    static SuspectNotice toProto(PolicyMessage.SuspectNotice notice) {
        SuspectNotice.Builder builder = SuspectNotice.newBuilder();
        for (SuspectEntry entry : notice.entries()) {
            builder.addEntries(SuspectCodec.encode(entry));
        }
        return builder.build();
    }

    static PolicyMessage.SuspectNotice fromProto(SuspectNotice notice) {
        List<SuspectEntry> entries = new ArrayList<>();
        for (org.gentianwalk.proto.SuspectEntry entry : notice.getEntriesList()) {
            entries.add(SuspectCodec.decode(entry));
        }
        return new PolicyMessage.SuspectNotice(entries);
    }

    private static PoolId toProto(PoolKey pool) {
        return PoolId.newBuilder().setModel(pool.model()).setRegion(pool.region()).build();
    }

    private static PoolKey fromProto(PoolId pool) {
        return new PoolKey(pool.getModel(), pool.getRegion());
    }

    private static Rank rank(boolean urgent) {
        return urgent ? Rank.URGENT : Rank.STANDARD;
    }
}
