package org.gentianwalk.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.ReplicaBatch;
import org.gentianwalk.proto.ReplicaBatchAck;
import org.gentianwalk.proto.ReplicaClaim;
import org.gentianwalk.proto.ReplicaClaimReply;
import org.gentianwalk.proto.ReplicaFetchReply;
import org.jspecify.annotations.Nullable;

/**
 * Answers the replication messages of other instances, from the records that this instance holds
 * and the generations that it runs. It has no I/O, threads or clock and is confined to one thread.
 *
 * <p>Options: {@link ReplicaOptions}. Example: {@code endpoint.claim(now, claim)}.
 */
public final class ReplicaEndpoint {
    private final HolderStore mStore;
    private final Map<GenerationKey, OwnerSession> mSessions = new HashMap<>();

    /**
     * Creates an endpoint without records.
     *
     * @param options times and bounds
     */
    public ReplicaEndpoint(ReplicaOptions options) {
        mStore = new HolderStore(options);
    }

    /**
     * Adds a session and fences an earlier one of the same generation.
     *
     * @param session the new session
     */
    public void add(OwnerSession session) {
        OwnerSession previous = mSessions.put(session.key(), session);
        if (previous != null && previous != session) {
            previous.fence(session.attempt());
        }
    }

    /**
     * Removes a session that has ended.
     *
     * @param session the session
     */
    public void remove(OwnerSession session) {
        mSessions.remove(session.key(), session);
    }

    /**
     * Returns the sessions of this instance.
     *
     * @return one session for each generation that this instance runs
     */
    public Collection<OwnerSession> sessions() {
        return mSessions.values();
    }

    /**
     * Returns the store.
     *
     * @return the records held for others
     */
    public HolderStore store() {
        return mStore;
    }

    /**
     * Applies a batch that an owner sent.
     *
     * @param now current time in nanoseconds
     * @param sender the owner
     * @param incarnation its incarnation
     * @param batch records, tokens and removals
     * @return the acknowledgement
     */
    public ReplicaBatchAck apply(long now, String sender, long incarnation, ReplicaBatch batch) {
        return mStore.apply(now, sender, incarnation, batch);
    }

    /**
     * Returns what this instance has of a generation.
     *
     * @param key the generation
     * @return the held record, or the lineage when this instance runs the generation
     */
    public ReplicaFetchReply fetch(GenerationKey key) {
        ReplicaFetchReply held = mStore.fetch(key);
        OwnerSession session = activeSession(key);
        if (session == null) {
            return held;
        }
        int highest = Math.max(session.attempt(), held.getHighestAttempt());
        return ReplicaFetchReply.newBuilder()
                .setFound(true)
                .setOwner(true)
                .setHighestAttempt(highest)
                .setRecord(session.record().toLineageOnly())
                .build();
    }

    /**
     * Grants an attempt to a new owner. A session of this instance is then fenced.
     *
     * @param now current time in nanoseconds
     * @param claim the claim
     * @return the answer, with the longest record that this instance has
     */
    public ReplicaClaimReply claim(long now, ReplicaClaim claim) {
        OwnerSession session = activeSession(claim.getKey());
        if (session != null && claim.getAttempt() <= session.attempt()) {
            return ReplicaClaimReply.newBuilder().setHighestAttempt(session.attempt()).build();
        }
        ReplicaClaimReply reply = mStore.claim(now, claim);
        if (session == null || !reply.getGranted()) {
            return reply;
        }
        session.fence(claim.getAttempt());
        GenerationRecord record = session.record();
        return reply.toBuilder()
                .setRecord(record.toOpen(0))
                .setFinishReason(record.finishReason())
                .build();
    }

    private @Nullable OwnerSession activeSession(GenerationKey key) {
        OwnerSession session = mSessions.get(key);
        return session == null || session.hasEnded() ? null : session;
    }
}
