package org.gentianwalk.server.control;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.core.policy.suspect.SuspectEntry.LossEntry;

/** Converts suspects to protobuf and back. */
public final class SuspectCodec {
    private SuspectCodec() {}

    /**
     * Encodes a suspect.
     *
     * @param entry the suspect
     * @return its message
     */
    public static org.gentianwalk.proto.SuspectEntry encode(SuspectEntry entry) {
        org.gentianwalk.proto.SuspectEntry.Builder message =
                org.gentianwalk.proto.SuspectEntry.newBuilder()
                        .setFingerprintHigh(entry.fingerprint().high())
                        .setFingerprintLow(entry.fingerprint().low())
                        .setPart(entry.part())
                        .setCleared(entry.isCleared())
                        .setClearedAgeMs(entry.isCleared() ? entry.clearedAgeMs() : 0)
                        .setAgeMs(entry.ageMs());
        for (LossEntry loss : entry.losses()) {
            message.addLosses(loss.id())
                    .addLossRequests(loss.request())
                    .addLossAgesMs(loss.ageMs());
        }
        return message.build();
    }

    /**
     * Decodes a suspect.
     *
     * @param message its message
     * @return the suspect
     */
    public static SuspectEntry decode(org.gentianwalk.proto.SuspectEntry message) {
        List<LossEntry> losses = new ArrayList<>(message.getLossesCount());
        for (int i = 0; i < message.getLossesCount(); i++) {
            boolean aged = i < message.getLossAgesMsCount() && i < message.getLossRequestsCount();
            losses.add(
                    new LossEntry(
                            message.getLosses(i),
                            aged ? message.getLossRequests(i) : 0,
                            aged ? message.getLossAgesMs(i) : message.getAgeMs()));
        }
        return new SuspectEntry(
                new Fingerprint(message.getFingerprintHigh(), message.getFingerprintLow()),
                message.getPart(),
                losses,
                message.getCleared() ? clearedAge(message) : SuspectEntry.NEVER);
    }

    /** Instances of earlier releases only send a cleared entry without losses. */
    private static int clearedAge(org.gentianwalk.proto.SuspectEntry message) {
        return message.getLossesCount() == 0 ? message.getAgeMs() : message.getClearedAgeMs();
    }
}
