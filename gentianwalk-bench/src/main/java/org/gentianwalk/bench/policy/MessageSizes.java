package org.gentianwalk.bench.policy;

import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.policy.fairness.PolicyMessage;
import org.gentianwalk.core.policy.fairness.PoolKey;
import org.gentianwalk.core.policy.fairness.TeamDemand;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.proto.PoolId;
import org.gentianwalk.proto.PoolLevel;
import org.gentianwalk.proto.SuspectNotice;
import org.gentianwalk.proto.TeamTotal;
import org.gentianwalk.proto.UsageReport;
import org.gentianwalk.server.control.SuspectCodec;

/** Computes the wire size of policy messages from their protobuf encoding. */
final class MessageSizes {
    /**
     * Envelope (sender, incarnation, sequence, key, MAC of 32 bytes) and frame length, in bytes.
     */
    private static final int ENVELOPE_BYTES = 80;

    private MessageSizes() {}

    static int of(PolicyMessage message) {
        return ENVELOPE_BYTES
                + switch (message) {
                    case PolicyMessage.UsageReport report -> report(report);
                    case PolicyMessage.PoolLevel level -> level(level);
                    case PolicyMessage.SuspectNotice notice -> notice(notice);
                };
    }

    private static int report(PolicyMessage.UsageReport report) {
        UsageReport.Builder builder =
                UsageReport.newBuilder()
                        .setPool(pool(report.pool()))
                        .setInstance(report.instance())
                        .setPeriod(report.period())
                        .setRestUrgentDemand((float) report.restUrgentDemand())
                        .setRestOtherDemand((float) report.restStandardDemand())
                        .setServed((float) report.served())
                        .setCapacityEstimate((float) report.capacity())
                        .setQueuedWork((float) report.queuedWork());
        for (TeamDemand team : report.heavy()) {
            builder.addHeavy(
                    org.gentianwalk.proto.TeamDemand.newBuilder()
                            .setTeam(team.team())
                            .setUrgent(team.rank() == Rank.URGENT)
                            .setDemand((float) team.demand())
                            .setServed((float) team.served())
                            .setWeight((float) team.weight()));
        }
        return builder.build().getSerializedSize();
    }

    private static int level(PolicyMessage.PoolLevel level) {
        PoolLevel.Builder builder =
                PoolLevel.newBuilder()
                        .setPool(pool(level.pool()))
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
        return builder.build().getSerializedSize();
    }

    private static int notice(PolicyMessage.SuspectNotice notice) {
        SuspectNotice.Builder builder = SuspectNotice.newBuilder();
        for (SuspectEntry entry : notice.entries()) {
            builder.addEntries(SuspectCodec.encode(entry));
        }
        return builder.build().getSerializedSize();
    }

    private static PoolId pool(PoolKey pool) {
        return PoolId.newBuilder().setModel(pool.model()).setRegion(pool.region()).build();
    }
}
