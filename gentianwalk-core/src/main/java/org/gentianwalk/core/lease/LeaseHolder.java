package org.gentianwalk.core.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.LeaseRecord;
import org.jspecify.annotations.Nullable;

/**
 * The state machine of one lease at one instance. It acquires the lease when the row is missing,
 * released or, by this instance's monotonic clock, unchanged for the lease's duration. It then
 * renews the lease until another instance has it. Wall clocks are not compared.
 *
 * <p>The lease is valid from the start of the write that granted it, which is before any other
 * instance can have seen that write. Only one thread may pass in events; any thread may read the
 * term.
 *
 * <p>Example: {@code action = holder.on(new LeaseEvent.TimerFired(), ticker.nanos())}
 */
public final class LeaseHolder {
    /** Prefix of the keys of all lease rows. */
    public static final String PREFIX = "lease/";

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String mKey;
    private final String mHolder;
    private final long mIncarnation;
    private final long mEpochOffsetMillis;

    private volatile @Nullable LeaseTerm mTerm;
    private long mVersion = Row.ABSENT;
    private long mSeenNanos;
    private @Nullable Pending mPending;

    /** A write that was not confirmed and may take effect at any time. */
    private record Pending(long expected, LeaseRecord record, long startNanos) {}

    /**
     * Creates the state machine.
     *
     * @param name the lease's name
     * @param holder id of this instance
     * @param incarnation start time of this instance
     * @param epochOffsetMillis wall clock minus monotonic clock, written to the row for information
     *     only
     */
    public LeaseHolder(String name, String holder, long incarnation, long epochOffsetMillis) {
        mKey = PREFIX + name;
        mHolder = holder;
        mIncarnation = incarnation;
        mEpochOffsetMillis = epochOffsetMillis;
    }

    /**
     * Returns the current term of this instance.
     *
     * @param nowNanos the monotonic clock
     * @return the term, or empty when this instance may not act
     */
    public Optional<LeaseTerm> term(long nowNanos) {
        LeaseTerm term = mTerm;
        return term != null && term.mayAct(nowNanos) ? Optional.of(term) : Optional.empty();
    }

    /**
     * Handles the next event.
     *
     * @param event result of the last action, first {@link LeaseEvent.TimerFired}
     * @param nowNanos the monotonic clock
     * @return the action to perform next
     */
    public LeaseAction on(LeaseEvent event, long nowNanos) {
        LeaseTerm term = mTerm;
        if (term != null && nowNanos - term.validUntilNanos() >= 0) {
            mTerm = null;
        }
        return switch (event) {
            case LeaseEvent.TimerFired timer -> onTimer(nowNanos);
            case LeaseEvent.ReadReturned read -> onRead(read.result(), nowNanos);
            case LeaseEvent.WriteReturned write -> onWrite(write.result(), nowNanos);
        };
    }

    /**
     * Ends the term and prepares the release, so that another instance need not wait.
     *
     * @param nowNanos the monotonic clock
     * @return the write that releases the lease, or empty when it is not held or a write is
     *     outstanding; its result need not be reported
     */
    public Optional<LeaseAction.WriteRow> release(long nowNanos) {
        LeaseTerm term = mTerm;
        mTerm = null;
        if (term == null || mPending != null) {
            return Optional.empty();
        }
        LeaseRecord released =
                record(term.fencing(), nowNanos).toBuilder().setReleased(true).build();
        return Optional.of(new LeaseAction.WriteRow(mKey, mVersion, released));
    }

    private LeaseAction onTimer(long nowNanos) {
        LeaseTerm term = mTerm;
        if (term == null) {
            return new LeaseAction.ReadRow(mKey);
        }
        Pending pending = mPending;
        // A repeated write carries the same content, so a lost one that took effect is recognized.
        return pending != null
                ? write(pending)
                : write(new Pending(mVersion, record(term.fencing(), nowNanos), nowNanos));
    }

    private LeaseAction onRead(ReadResult result, long nowNanos) {
        return switch (result) {
            case ReadResult.Missing missing -> acquire(Row.ABSENT, 1, nowNanos);
            case ReadResult.Found found -> onRow(found.row(), nowNanos);
            case ReadResult.Unavailable unavailable ->
                    new LeaseAction.Wait(nowNanos + LeaseRules.RETRY_INTERVAL_NANOS);
        };
    }

    private LeaseAction onWrite(WriteResult result, long nowNanos) {
        Pending pending = mPending;
        if (pending == null) {
            throw new IllegalStateException("no write of " + mKey + " is outstanding");
        }
        return switch (result) {
            case WriteResult.Written written -> adopt(written.version(), pending, nowNanos);
            case WriteResult.Conflict conflict -> {
                Row current = conflict.current();
                yield current == null ? new LeaseAction.ReadRow(mKey) : onRow(current, nowNanos);
            }
            case WriteResult.Unknown unknown ->
                    new LeaseAction.Wait(nowNanos + LeaseRules.RETRY_INTERVAL_NANOS);
            case WriteResult.NotSent notSent ->
                    new LeaseAction.Wait(nowNanos + LeaseRules.RETRY_INTERVAL_NANOS);
        };
    }

    private LeaseAction onRow(Row row, long nowNanos) {
        LeaseRecord record;
        try {
            record = LeaseRecord.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            // The row's fencing token is unknown, so no higher one can be chosen.
            mTerm = null;
            return new LeaseAction.Wait(nowNanos + LeaseRules.POLL_INTERVAL_NANOS);
        }
        Pending pending = mPending;
        if (pending != null && pending.record().equals(record)) {
            return adopt(row.version(), pending, nowNanos);
        }
        if (pending != null && row.version() != pending.expected()) {
            mPending = null;
        }
        mTerm = null;
        if (row.version() != mVersion) {
            mVersion = row.version();
            mSeenNanos = nowNanos;
        }
        long freeNanos = mSeenNanos + LeaseRules.DURATION_NANOS;
        if (record.getReleased() || nowNanos - freeNanos >= 0) {
            return acquire(row.version(), record.getFencing() + 1, nowNanos);
        }
        return new LeaseAction.Wait(Math.min(freeNanos, nowNanos + LeaseRules.POLL_INTERVAL_NANOS));
    }

    private LeaseAction acquire(long expected, long fencing, long nowNanos) {
        return write(new Pending(expected, record(fencing, nowNanos), nowNanos));
    }

    private LeaseAction write(Pending pending) {
        mPending = pending;
        return new LeaseAction.WriteRow(mKey, pending.expected(), pending.record());
    }

    private LeaseAction adopt(long version, Pending pending, long nowNanos) {
        mPending = null;
        if (version != mVersion) {
            mVersion = version;
            mSeenNanos = nowNanos;
        }
        long validUntil = pending.startNanos() + LeaseRules.DURATION_NANOS;
        if (nowNanos - validUntil >= 0) {
            mTerm = null;
            return new LeaseAction.Wait(nowNanos + LeaseRules.RETRY_INTERVAL_NANOS);
        }
        LeaseTerm previous = mTerm;
        long fencing = pending.record().getFencing();
        long acquired =
                previous != null && previous.fencing() == fencing
                        ? previous.acquiredNanos()
                        : nowNanos;
        mTerm = new LeaseTerm(fencing, acquired, validUntil);
        return new LeaseAction.Wait(pending.startNanos() + LeaseRules.RENEW_INTERVAL_NANOS);
    }

    private LeaseRecord record(long fencing, long nowNanos) {
        return LeaseRecord.newBuilder()
                .setHolder(mHolder)
                .setHolderIncarnation(mIncarnation)
                .setFencing(fencing)
                .setGrantedEpochMs(mEpochOffsetMillis + nowNanos / NANOS_PER_MILLI)
                .setDurationMs((int) LeaseRules.DURATION.toMillis())
                .build();
    }
}
