package org.gentianwalk.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.GenerationLoad;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.proto.EngineDoubt;
import org.gentianwalk.proto.RunLoad;
import org.gentianwalk.proto.ServiceLoad;

/** Converts between the load of an instance and its messages. */
final class LoadCodec {
    private LoadCodec() {}

    static ServiceLoad encode(InstanceLoad share) {
        ServiceLoad.Builder message =
                ServiceLoad.newBuilder()
                        .setService(share.service())
                        .setNumber(share.number())
                        .setWaiting(share.waiting())
                        .setRequests(share.usage().requests())
                        .setRetries(share.usage().retries());
        for (GenerationLoad run : share.runs()) {
            message.addRuns(
                    RunLoad.newBuilder()
                            .setEngine(run.engine())
                            .setPart(run.part())
                            .setPrompt(run.prompt())
                            .setMemory(run.memory())
                            .setAgeMs(run.ageMillis())
                            .setReading(run.reading())
                            .setKeeper(run.keeper()));
        }
        for (InstanceLoad.EngineFailure doubt : share.failures()) {
            message.addDoubts(
                    EngineDoubt.newBuilder()
                            .setEngine(doubt.engine())
                            .setIncarnation(doubt.incarnation())
                            .setAgeMs(doubt.ageMillis())
                            .setSilent(doubt.silent()));
        }
        return message.build();
    }

    static InstanceLoad decode(ServiceLoad message) {
        List<GenerationLoad> runs = new ArrayList<>(message.getRunsCount());
        for (RunLoad run : message.getRunsList()) {
            runs.add(
                    new GenerationLoad(
                            run.getEngine(),
                            run.getPart(),
                            run.getPrompt(),
                            run.getMemory(),
                            run.getAgeMs(),
                            run.getReading(),
                            run.getKeeper()));
        }
        List<InstanceLoad.EngineFailure> doubts = new ArrayList<>(message.getDoubtsCount());
        for (EngineDoubt doubt : message.getDoubtsList()) {
            doubts.add(
                    new InstanceLoad.EngineFailure(
                            doubt.getEngine(),
                            doubt.getIncarnation(),
                            doubt.getAgeMs(),
                            doubt.getSilent()));
        }
        return new InstanceLoad(
                message.getService(),
                message.getNumber(),
                runs,
                message.getWaiting(),
                doubts,
                new FleetRetryBudget.Usage(message.getRequests(), message.getRetries()));
    }
}
