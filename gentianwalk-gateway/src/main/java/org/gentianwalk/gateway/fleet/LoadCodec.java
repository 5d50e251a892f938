package org.gentianwalk.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.LoadShare;
import org.gentianwalk.core.dispatch.RetryAllowance;
import org.gentianwalk.core.dispatch.RunShare;
import org.gentianwalk.proto.EngineDoubt;
import org.gentianwalk.proto.RunLoad;
import org.gentianwalk.proto.ServiceLoad;

/** Converts between load shares and their messages. */
final class LoadCodec {
    private LoadCodec() {}

    static ServiceLoad encode(LoadShare share) {
        ServiceLoad.Builder message =
                ServiceLoad.newBuilder()
                        .setService(share.service())
                        .setNumber(share.number())
                        .setWaiting(share.waiting())
                        .setRequests(share.usage().requests())
                        .setRetries(share.usage().retries());
        for (RunShare run : share.runs()) {
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
        for (LoadShare.Doubt doubt : share.doubts()) {
            message.addDoubts(
                    EngineDoubt.newBuilder()
                            .setEngine(doubt.engine())
                            .setIncarnation(doubt.incarnation())
                            .setAgeMs(doubt.ageMillis())
                            .setSilent(doubt.silent()));
        }
        return message.build();
    }

    static LoadShare decode(ServiceLoad message) {
        List<RunShare> runs = new ArrayList<>(message.getRunsCount());
        for (RunLoad run : message.getRunsList()) {
            runs.add(
                    new RunShare(
                            run.getEngine(),
                            run.getPart(),
                            run.getPrompt(),
                            run.getMemory(),
                            run.getAgeMs(),
                            run.getReading(),
                            run.getKeeper()));
        }
        List<LoadShare.Doubt> doubts = new ArrayList<>(message.getDoubtsCount());
        for (EngineDoubt doubt : message.getDoubtsList()) {
            doubts.add(
                    new LoadShare.Doubt(
                            doubt.getEngine(),
                            doubt.getIncarnation(),
                            doubt.getAgeMs(),
                            doubt.getSilent()));
        }
        return new LoadShare(
                message.getService(),
                message.getNumber(),
                runs,
                message.getWaiting(),
                doubts,
                new RetryAllowance.Usage(message.getRequests(), message.getRetries()));
    }
}
