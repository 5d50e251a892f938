package org.gentianwalk.core.policy.suspect;

import java.util.List;
import org.gentianwalk.core.model.Fingerprint;

/**
 * State of a suspect as instances exchange it.
 *
 * @param fingerprint fingerprint of the request
 * @param losses identifiers of engine losses; the upper 32 bits are the hash of the engine's
 *     identifier
 * @param cleared true when the request has finished at an instance
 * @param ageMs time since the last change, milliseconds
 */
public record SuspectEntry(Fingerprint fingerprint, List<Long> losses, boolean cleared, int ageMs) {
    public SuspectEntry {
        losses = List.copyOf(losses);
    }
}
