package org.gentianwalk.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.GenerationLoad;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.StatedLimit;
import org.gentianwalk.proto.EngineDoubt;
import org.gentianwalk.proto.RunLoad;
import org.gentianwalk.proto.ServiceLoad;
import org.gentianwalk.proto.SuspectEntry;
import org.gentianwalk.proto.UpstreamLimit;
import org.gentianwalk.server.control.SuspectCodec;

/**
 * Converts between the load of an instance and its messages. Unsigned numbers of a message that
 * exceed an int are negative here. What has such a number, or no name, is dropped; the rest of the
 * message holds.
 */
final class LoadCodec {
    private LoadCodec() {}

    static ServiceLoad encode(InstanceLoad load) {
        ServiceLoad.Builder message =
                ServiceLoad.newBuilder()
                        .setService(load.service())
                        .setNumber(load.number())
                        .setWaiting(load.waiting())
                        .setRequests(load.usage().requests())
                        .setRetries(load.usage().retries());
        for (GenerationLoad run : load.runs()) {
            message.addRuns(
                    RunLoad.newBuilder()
                            .setEngine(run.engine())
                            .setPart(run.part())
                            .setPrompt(run.prompt())
                            .setMemory(run.memory())
                            .setAgeMs(run.ageMillis())
                            .setReading(run.prefilling())
                            .setKeeper(run.copyHolder())
                            .setSuspect(run.suspect()));
        }
        for (InstanceLoad.EngineFailure failure : load.failures()) {
            message.addDoubts(
                    EngineDoubt.newBuilder()
                            .setEngine(failure.engine())
                            .setIncarnation(failure.incarnation())
                            .setAgeMs(failure.ageMillis())
                            .setSilent(failure.silent()));
        }
        load.suspects().forEach(suspect -> message.addSuspects(SuspectCodec.encode(suspect)));
        return message.build();
    }

    static UpstreamLimit encode(StatedLimit limit) {
        return UpstreamLimit.newBuilder()
                .setProcess(limit.process())
                .setRequestsPerS(limit.requestsPerSecond())
                .setAgeMs(limit.ageMs())
                .build();
    }

    static List<StatedLimit> decodeLimits(List<UpstreamLimit> messages) {
        List<StatedLimit> limits = new ArrayList<>(messages.size());
        for (UpstreamLimit message : messages) {
            double rate = message.getRequestsPerS();
            if (!message.getProcess().isEmpty() && rate >= 0 && message.getAgeMs() >= 0) {
                limits.add(new StatedLimit(message.getProcess(), rate, message.getAgeMs()));
            }
        }
        return limits;
    }

    static List<InstanceLoad> decodeLoads(List<ServiceLoad> messages) {
        return messages.stream().filter(LoadCodec::isValid).map(LoadCodec::decode).toList();
    }

    private static InstanceLoad decode(ServiceLoad message) {
        List<GenerationLoad> runs = new ArrayList<>(message.getRunsCount());
        for (RunLoad run : message.getRunsList()) {
            if (!isValid(run)) {
                continue;
            }
            runs.add(
                    new GenerationLoad(
                            run.getEngine(),
                            run.getPart(),
                            run.getPrompt(),
                            run.getMemory(),
                            run.getAgeMs(),
                            run.getReading(),
                            run.getKeeper(),
                            run.getSuspect()));
        }
        List<InstanceLoad.EngineFailure> failures = new ArrayList<>(message.getDoubtsCount());
        for (EngineDoubt failure : message.getDoubtsList()) {
            if (failure.getEngine().isEmpty() || failure.getAgeMs() < 0) {
                continue;
            }
            failures.add(
                    new InstanceLoad.EngineFailure(
                            failure.getEngine(),
                            failure.getIncarnation(),
                            failure.getAgeMs(),
                            failure.getSilent()));
        }
        return new InstanceLoad(
                message.getService(),
                message.getNumber(),
                runs,
                message.getWaiting(),
                failures,
                new FleetRetryBudget.Usage(message.getRequests(), message.getRetries()),
                message.getSuspectsList().stream()
                        .filter(LoadCodec::isValid)
                        .map(SuspectCodec::decode)
                        .toList());
    }

    private static boolean isValid(ServiceLoad message) {
        return !message.getService().isEmpty()
                && message.getWaiting() >= 0
                && message.getRequests() >= 0
                && message.getRetries() >= 0;
    }

    private static boolean isValid(RunLoad run) {
        return !run.getEngine().isEmpty()
                && run.getPrompt() >= 0
                && run.getMemory() >= 0
                && run.getAgeMs() >= 0;
    }

    private static boolean isValid(SuspectEntry suspect) {
        return suspect.getAgeMs() >= 0
                && suspect.getClearedAgeMs() >= 0
                && suspect.getLossAgesMsList().stream().allMatch(age -> age >= 0);
    }
}
