package org.gentianwalk.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.rollout.RolloutReport;
import org.gentianwalk.core.rollout.VersionCounters;

/**
 * Converts between reports on rollouts and their messages. A report with a number that is negative
 * or not finite is dropped as a whole, since a part of it would be wrong evidence.
 */
public final class RolloutCodec {
    private RolloutCodec() {}

    /**
     * Encodes a report.
     *
     * @param report the report
     * @return its message
     */
    public static org.gentianwalk.proto.RolloutReport encode(RolloutReport report) {
        var message =
                org.gentianwalk.proto.RolloutReport.newBuilder()
                        .setService(report.service())
                        .setEra(report.era())
                        .setRevision(report.revision())
                        .setRequests(report.requests())
                        .setOldAttempts(report.oldAttempts())
                        .setRejected(report.rejected());
        for (VersionCounters counters : report.counters()) {
            message.addCounters(
                    org.gentianwalk.proto.VersionCounters.newBuilder()
                            .setRoute(counters.route())
                            .setNewVersion(counters.newVersion())
                            .setStarted(counters.started())
                            .setAnswered(counters.answered())
                            .setFailed(counters.failed())
                            .setTimed(counters.timed())
                            .setSumLogFirst(counters.sumLogFirst())
                            .setSumSquaredLogFirst(counters.sumSquaredLogFirst())
                            .setSumLogTotal(counters.sumLogTotal())
                            .setSumSquaredLogTotal(counters.sumSquaredLogTotal()));
        }
        return message.build();
    }

    /**
     * Decodes the reports of a message.
     *
     * @param messages the messages
     * @return the valid reports
     */
    public static List<RolloutReport> decode(List<org.gentianwalk.proto.RolloutReport> messages) {
        List<RolloutReport> reports = new ArrayList<>(messages.size());
        for (var message : messages) {
            if (isValid(message)) {
                reports.add(
                        new RolloutReport(
                                message.getService(),
                                message.getEra(),
                                message.getRevision(),
                                message.getRequests(),
                                message.getOldAttempts(),
                                message.getRejected(),
                                message.getCountersList().stream()
                                        .map(RolloutCodec::decode)
                                        .toList()));
            }
        }
        return reports;
    }

    private static VersionCounters decode(org.gentianwalk.proto.VersionCounters message) {
        return new VersionCounters(
                message.getRoute(),
                message.getNewVersion(),
                message.getStarted(),
                message.getAnswered(),
                message.getFailed(),
                message.getTimed(),
                message.getSumLogFirst(),
                message.getSumSquaredLogFirst(),
                message.getSumLogTotal(),
                message.getSumSquaredLogTotal());
    }

    private static boolean isValid(org.gentianwalk.proto.RolloutReport message) {
        return !message.getService().isEmpty()
                && message.getEra() >= 0
                && message.getRevision() >= 0
                && message.getRequests() >= 0
                && message.getOldAttempts() >= 0
                && message.getCountersList().stream().allMatch(RolloutCodec::isValid);
    }

    private static boolean isValid(org.gentianwalk.proto.VersionCounters message) {
        return message.getStarted() >= 0
                && message.getAnswered() >= 0
                && message.getFailed() >= 0
                && message.getTimed() >= 0
                && message.getFailed() <= message.getAnswered()
                && Double.isFinite(message.getSumLogFirst())
                && Double.isFinite(message.getSumSquaredLogFirst())
                && Double.isFinite(message.getSumLogTotal())
                && Double.isFinite(message.getSumSquaredLogTotal());
    }
}
