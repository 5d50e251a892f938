package org.gentianwalk.core.policy.suspect;

import java.util.List;
import org.gentianwalk.core.model.Fingerprint;

/**
 * State of a suspect as instances exchange it.
 *
 * @param fingerprint fingerprint of the request or of the prompt part
 * @param part true for a prompt part, false for a request
 * @param losses engine losses since the suspect was last cleared
 * @param clearedAgeMs time since the suspect was last cleared, milliseconds; {@link #NEVER} if it
 *     was not
 */
public record SuspectEntry(
        Fingerprint fingerprint, boolean part, List<LossEntry> losses, int clearedAgeMs) {
    /** Age of an event that has not occurred. */
    public static final int NEVER = -1;

    public SuspectEntry {
        losses = List.copyOf(losses);
    }

    /**
     * Returns whether the suspect has been cleared at least once.
     *
     * @return true when {@link #clearedAgeMs} is an age
     */
    public boolean isCleared() {
        return clearedAgeMs != NEVER;
    }

    /**
     * Returns the time since the last change.
     *
     * @return age of the latest loss or clearance, milliseconds
     */
    public int ageMs() {
        int age = isCleared() ? clearedAgeMs : Integer.MAX_VALUE;
        for (LossEntry loss : losses) {
            age = Math.min(age, loss.ageMs());
        }
        return age;
    }

    /**
     * Returns this state as of a later time.
     *
     * @param millis how much later, milliseconds
     * @return the entry with increased ages
     */
    public SuspectEntry agedBy(int millis) {
        return new SuspectEntry(
                fingerprint,
                part,
                losses.stream()
                        .map(
                                loss ->
                                        new LossEntry(
                                                loss.id(), loss.request(), loss.ageMs() + millis))
                        .toList(),
                isCleared() ? clearedAgeMs + millis : NEVER);
    }

    /**
     * A loss of an engine.
     *
     * @param id identifier of the loss; the upper 32 bits are the hash of the engine's identifier
     * @param request hash of the request that was running there
     * @param ageMs time since the loss, milliseconds
     */
    public record LossEntry(long id, int request, int ageMs) {}
}
