package org.gentianwalk.core.replica;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.LineageEntry;
import org.gentianwalk.proto.ReplicaAckEntry;
import org.gentianwalk.proto.ReplicaAppend;
import org.gentianwalk.proto.ReplicaBatch;
import org.gentianwalk.proto.ReplicaBatchAck;
import org.gentianwalk.proto.ReplicaClaim;
import org.gentianwalk.proto.ReplicaClaimReply;
import org.gentianwalk.proto.ReplicaDrop;
import org.gentianwalk.proto.ReplicaFetchReply;
import org.gentianwalk.proto.ReplicaOpen;
import org.gentianwalk.proto.ReplicaStatus;
import org.gentianwalk.proto.TokenRun;
import org.jspecify.annotations.Nullable;

/**
 * Stores the copies of generations that an instance holds for their owners. It has no I/O, threads
 * or clock and is confined to one thread.
 *
 * <p>An attempt number is granted to one owner only. Messages of an older attempt, or of another
 * owner of the same attempt, are refused. A higher attempt is accepted without a claim only when
 * its lineage contains the granted attempt with its owner; otherwise a replaced owner could regain
 * the generation by raising its own attempt number.
 *
 * <p>Options: {@link ReplicaOptions}. Example: {@code store.apply(now, sender, incarnation,
 * batch)}.
 */
public final class HolderStore {
    private final ReplicaOptions mOptions;
    private final Map<GenerationKey, Entry> mEntries = new HashMap<>();

    /** Time at which each finished record was finished, oldest first. */
    private final Map<GenerationKey, Long> mFinished = new LinkedHashMap<>();

    private long mBytes;

    /**
     * Creates an empty store.
     *
     * @param options times and bounds
     */
    public HolderStore(ReplicaOptions options) {
        mOptions = options;
    }

    /**
     * Applies a batch that an owner sent.
     *
     * @param now current time in nanoseconds
     * @param sender the owner
     * @param incarnation the owner's incarnation
     * @param batch new records, tokens and removals, applied in this order
     * @return one entry for each record and each run of tokens
     */
    public ReplicaBatchAck apply(long now, String sender, long incarnation, ReplicaBatch batch) {
        ReplicaBatchAck.Builder ack = ReplicaBatchAck.newBuilder();
        for (ReplicaOpen open : batch.getOpensList()) {
            if (open.getLineageCount() > 0 && isWellFormed(open.getTokens())) {
                ack.addEntries(open(now, new Grant(lastAttempt(open), sender, incarnation), open));
            }
        }
        for (ReplicaAppend append : batch.getAppendsList()) {
            if (isWellFormed(append.getTokens())) {
                Grant grant = new Grant(append.getAttempt(), sender, incarnation);
                ack.addEntries(append(now, grant, append));
            }
        }
        for (ReplicaDrop drop : batch.getDropsList()) {
            drop(drop.getKey(), new Grant(drop.getAttempt(), sender, incarnation));
        }
        return ack.build();
    }

    /**
     * Returns what this instance holds of a generation. A finished record is returned in full; of
     * an unfinished one only the lineage, since continuing it needs a claim.
     *
     * @param key the generation
     * @return whether a record is held, and the highest attempt
     */
    public ReplicaFetchReply fetch(GenerationKey key) {
        Entry entry = mEntries.get(key);
        ReplicaFetchReply.Builder reply = ReplicaFetchReply.newBuilder();
        if (entry == null) {
            return reply.build();
        }
        reply.setHighestAttempt(entry.mGrant.attempt());
        GenerationRecord record = entry.mRecord;
        if (record != null) {
            reply.setFound(true)
                    .setFinishReason(record.finishReason())
                    .setRecord(record.isFinished() ? record.toOpen(0) : record.toLineageOnly());
        }
        return reply.build();
    }

    /**
     * Grants an attempt to a new owner, unless another owner has it or a higher one.
     *
     * @param now current time in nanoseconds
     * @param claim the claim
     * @return the highest attempt and, when granted, the record if there is one
     */
    public ReplicaClaimReply claim(long now, ReplicaClaim claim) {
        Grant grant = new Grant(claim.getAttempt(), claim.getOwner(), claim.getOwnerIncarnation());
        Entry entry = mEntries.get(claim.getKey());
        if (entry == null) {
            entry = new Entry(grant);
            mEntries.put(claim.getKey(), entry);
            mBytes += entry.bytes();
        } else if (grant.attempt() < entry.mGrant.attempt()
                || (grant.attempt() == entry.mGrant.attempt() && !grant.equals(entry.mGrant))) {
            return ReplicaClaimReply.newBuilder().setHighestAttempt(entry.mGrant.attempt()).build();
        }
        entry.mGrant = grant;
        entry.mClaimed = true;
        entry.mUpdatedAt = now;
        ReplicaClaimReply.Builder reply =
                ReplicaClaimReply.newBuilder().setGranted(true).setHighestAttempt(grant.attempt());
        GenerationRecord record = entry.mRecord;
        if (record != null) {
            reply.setRecord(record.toOpen(0)).setFinishReason(record.finishReason());
        }
        return reply.build();
    }

    /**
     * Removes the entries whose retention has passed.
     *
     * @param now current time in nanoseconds
     */
    public void expire(long now) {
        long retention = mOptions.retention().toNanos();
        long orphanRetention = mOptions.orphanRetention().toNanos();
        Iterator<Map.Entry<GenerationKey, Entry>> entries = mEntries.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<GenerationKey, Entry> next = entries.next();
            Entry entry = next.getValue();
            boolean finished = entry.mRecord != null && entry.mRecord.isFinished();
            if (now - entry.mUpdatedAt > (finished ? retention : orphanRetention)) {
                entries.remove();
                mFinished.remove(next.getKey());
                mBytes -= entry.bytes();
            }
        }
    }

    /**
     * Returns the memory in use.
     *
     * @return estimated bytes
     */
    public long bytes() {
        return mBytes;
    }

    /**
     * Returns the number of entries.
     *
     * @return number of records and of claims without a record
     */
    public int size() {
        return mEntries.size();
    }

    @Nullable GenerationRecord record(GenerationKey key) {
        Entry entry = mEntries.get(key);
        return entry == null ? null : entry.mRecord;
    }

    private ReplicaAckEntry open(long now, Grant grant, ReplicaOpen open) {
        GenerationKey key = open.getHeader().getKey();
        Entry entry = mEntries.get(key);
        if (entry != null && !entry.accepts(grant, open.getLineageList())) {
            return refuse(key, grant, entry.mGrant);
        }
        GenerationRecord old = entry == null ? null : entry.mRecord;
        if (entry != null
                && old != null
                && entry.mGrant.equals(grant)
                && old.attempt() == grant.attempt()) {
            // A repeated or late message may add tokens but never removes any.
            return extend(now, key, entry, open.getTokens(), "");
        }
        if (open.getTokens().getPosition() > 0) {
            return ack(key, grant.attempt(), ReplicaStatus.MISSING, 0);
        }
        GenerationRecord record = GenerationRecord.of(open);
        if (!makeRoom(key, record.bytes() - (old == null ? 0 : old.bytes()))) {
            return ack(key, grant.attempt(), ReplicaStatus.FULL, 0);
        }
        if (entry != null) {
            mBytes -= entry.bytes();
        }
        if (entry == null) {
            entry = new Entry(grant);
            mEntries.put(key, entry);
        }
        entry.mGrant = grant;
        entry.mRecord = record;
        entry.mUpdatedAt = now;
        mFinished.remove(key);
        mBytes += entry.bytes();
        return ack(key, grant.attempt(), ReplicaStatus.STORED, record.size());
    }

    private ReplicaAckEntry append(long now, Grant grant, ReplicaAppend append) {
        GenerationKey key = append.getKey();
        Entry entry = mEntries.get(key);
        if (entry == null) {
            return ack(key, grant.attempt(), ReplicaStatus.MISSING, 0);
        }
        if (!entry.mGrant.equals(grant)) {
            return refuse(key, grant, entry.mGrant);
        }
        GenerationRecord record = entry.mRecord;
        if (record == null
                || record.attempt() != grant.attempt()
                || append.getTokens().getPosition() > record.size()) {
            return ack(key, grant.attempt(), ReplicaStatus.MISSING, 0);
        }
        return extend(now, key, entry, append.getTokens(), append.getFinishReason());
    }

    private ReplicaAckEntry extend(
            long now, GenerationKey key, Entry entry, TokenRun run, String finishReason) {
        GenerationRecord record = entry.mRecord;
        if (record == null || run.getPosition() > record.size()) {
            return ack(key, entry.mGrant.attempt(), ReplicaStatus.MISSING, 0);
        }
        if (!makeRoom(key, GenerationRecord.bytesOf(run))) {
            return ack(key, entry.mGrant.attempt(), ReplicaStatus.FULL, record.size());
        }
        long before = record.bytes();
        record.append(run);
        entry.mUpdatedAt = now;
        if (!finishReason.isEmpty() && !record.isFinished()) {
            record.finish(finishReason);
            mFinished.put(key, now);
        }
        mBytes += record.bytes() - before;
        return ack(key, entry.mGrant.attempt(), ReplicaStatus.STORED, record.size());
    }

    /** Drops a record but keeps a claim, or the replaced owner could open the record again. */
    private void drop(GenerationKey key, Grant grant) {
        Entry entry = mEntries.get(key);
        if (entry == null || !entry.mGrant.equals(grant)) {
            return;
        }
        mBytes -= entry.bytes();
        mFinished.remove(key);
        if (entry.mClaimed) {
            entry.mRecord = null;
            mBytes += entry.bytes();
        } else {
            mEntries.remove(key);
        }
    }

    private boolean makeRoom(GenerationKey excluded, long added) {
        Iterator<GenerationKey> oldest = mFinished.keySet().iterator();
        while (mBytes + added > mOptions.maxBytes() && oldest.hasNext()) {
            GenerationKey key = oldest.next();
            if (key.equals(excluded)) {
                continue;
            }
            oldest.remove();
            Entry entry = mEntries.remove(key);
            if (entry != null) {
                mBytes -= entry.bytes();
            }
        }
        return mBytes + added <= mOptions.maxBytes();
    }

    private static int lastAttempt(ReplicaOpen open) {
        return open.getLineage(open.getLineageCount() - 1).getAttempt();
    }

    private static boolean isWellFormed(TokenRun run) {
        return run.getPosition() >= 0 && run.getTokenIdsCount() == run.getTextsCount();
    }

    /** Refuses a message; the owner's own late one, from an earlier attempt, must not fence it. */
    private static ReplicaAckEntry refuse(GenerationKey key, Grant grant, Grant granted) {
        return granted.isOwnedBy(grant)
                ? ack(key, grant.attempt(), ReplicaStatus.MISSING, 0)
                : ack(key, granted.attempt(), ReplicaStatus.FENCED, 0);
    }

    private static ReplicaAckEntry ack(
            GenerationKey key, int attempt, ReplicaStatus status, int stored) {
        return ReplicaAckEntry.newBuilder()
                .setKey(key)
                .setAttempt(attempt)
                .setStatus(status)
                .setStored(stored)
                .build();
    }

    /** An attempt and the owner to which it is granted. */
    private record Grant(int attempt, String owner, long incarnation) {
        boolean isOwnedBy(Grant other) {
            return owner.equals(other.owner) && incarnation == other.incarnation;
        }
    }

    /** State of one generation; the record is null when there is only a claim. */
    private static final class Entry {
        private static final int ENTRY_BYTES = 200;

        Grant mGrant;
        boolean mClaimed;
        @Nullable GenerationRecord mRecord;
        long mUpdatedAt;

        Entry(Grant grant) {
            mGrant = grant;
        }

        long bytes() {
            return ENTRY_BYTES + (mRecord == null ? 0 : mRecord.bytes());
        }

        boolean accepts(Grant grant, List<LineageEntry> lineage) {
            if (grant.attempt() <= mGrant.attempt()) {
                return grant.equals(mGrant);
            }
            for (LineageEntry entry : lineage) {
                if (entry.getAttempt() == mGrant.attempt()) {
                    return entry.getOwner().equals(mGrant.owner());
                }
            }
            return false;
        }
    }
}
