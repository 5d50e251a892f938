package org.gentianwalk.core.dispatch;

import java.util.List;
import org.gentianwalk.core.policy.suspect.SuspectEntry;

/**
 * A scheduler whose evidence on requests that crash upstreams outlives the instances. Without it,
 * such a request would crash further upstreams after a restart of all instances at once.
 */
public interface EvidenceAware {
    /**
     * Returns the evidence that this instance has to keep.
     *
     * @param nowNanos current time
     * @return a bounded number of entries; usually none
     */
    List<SuspectEntry> evidenceToKeep(long nowNanos);

    /**
     * Restores evidence that was kept.
     *
     * @param entries the entries, as of now
     * @param own true for what this instance kept before its restart, false for what another one
     *     did
     * @param nowNanos current time
     */
    void restoreEvidence(List<SuspectEntry> entries, boolean own, long nowNanos);

    /**
     * Returns the losses of upstreams under requests that were settled since the last call.
     *
     * @return a bounded number of losses; usually none
     */
    List<SettledLoss> takeSettledLosses();
}
