package org.gentianwalk.core.replica;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.LineageEntry;
import org.gentianwalk.proto.ReplicaAckEntry;
import org.gentianwalk.proto.ReplicaAppend;
import org.gentianwalk.proto.ReplicaDrop;
import org.gentianwalk.proto.ReplicaOpen;
import org.gentianwalk.proto.ReplicaStatus;
import org.gentianwalk.proto.TokenRun;
import org.jspecify.annotations.Nullable;

/**
 * Replicates a generation from its owner: decides what is sent to which holder and which tokens may
 * be released. It has no I/O, threads or clock and is confined to one thread.
 *
 * <p>At most one item is in flight. A token may be released once the holder has acknowledged it for
 * the current attempt. A holder that fails is replaced by the next candidate, which gets the whole
 * record. Without a live candidate, tokens are released without a copy if the options allow it.
 * Copies leave the region only if the options allow it, or if the region has no other instance and
 * an earlier copy exists.
 *
 * <p>Options: {@link ReplicaOptions}. Example: {@code session.append(position, tokens); Item item =
 * session.nextItem(now, view);} and later {@code session.onAck(now, item.id(), entry)}.
 */
public final class OwnerSession {
    /** Interval at which the holder confirms a generation that has no new tokens. */
    private static final long CONFIRM_INTERVAL_NANOS = 3_000_000_000L;

    /**
     * An owner that got no acknowledgement for this long was paused or partitioned and fences
     * itself. An acknowledgement of a new holder would prove nothing, since that holder may have
     * been unreachable when another owner claimed the generation. Longer than the 7 s after which
     * all members declare an unresponsive member dead.
     */
    private static final long SELF_FENCING_NANOS = 10_000_000_000L;

    private final ReplicaOptions mOptions;
    private final String mSelf;
    private final long mIncarnation;
    private final GenerationRecord mRecord;
    private final HolderChoice mHolderChoice;
    private final List<StaleCopy> mStaleCopies = new ArrayList<>();
    private int mAttempt;
    private @Nullable Member mHolder;
    private boolean mOpened;
    private @Nullable Item mInFlight;
    private long mSentAt;
    private long mItemCount;
    private int mStored;
    private boolean mFinishStored;
    private long mConfirmedAt;
    private int mReleasable;
    private boolean mFinishReleasable;
    private int mFencingAttempt;
    private boolean mAbandoned;

    /**
     * A message to be sent to a holder.
     *
     * @param id identifies the item in the answers
     * @param holder the receiver
     * @param open a record to be opened or continued, or null
     * @param append tokens or the end of the generation, or null; applied after {@code open}
     */
    public record Item(
            long id, Member holder, @Nullable ReplicaOpen open, @Nullable ReplicaAppend append) {}

    /**
     * A copy that is no longer needed.
     *
     * @param holder who has it
     * @param drop the message that removes it
     */
    public record StaleCopy(Member holder, ReplicaDrop drop) {}

    /**
     * Creates the session of an owner.
     *
     * @param now current time in nanoseconds
     * @param initial the state, whose last attempt is this instance's
     * @param self identifier of this instance
     * @param incarnation its incarnation
     * @param options times and bounds
     */
    public OwnerSession(
            long now,
            GenerationState initial,
            String self,
            long incarnation,
            ReplicaOptions options) {
        mOptions = options;
        mSelf = self;
        mIncarnation = incarnation;
        mRecord = GenerationRecord.of(initial, self, incarnation);
        mAttempt = mRecord.attempt();
        boolean hasEarlierCopies = false;
        for (LineageEntry entry : mRecord.lineage()) {
            hasEarlierCopies |= !entry.getOwner().equals(self);
        }
        mHolderChoice = new HolderChoice(options.acrossRegions(), hasEarlierCopies);
        mConfirmedAt = now;
    }

    /**
     * Returns the key of the generation.
     *
     * @return the key
     */
    public GenerationKey key() {
        return mRecord.key();
    }

    /**
     * Returns the current attempt.
     *
     * @return number of this instance's current attempt
     */
    public int attempt() {
        return mAttempt;
    }

    /**
     * Returns how many tokens may be released.
     *
     * @return number of tokens
     */
    public int releasable() {
        return mReleasable;
    }

    /**
     * Returns whether the end of the generation may be released.
     *
     * @return true when the end is stored, too
     */
    public boolean isFinishReleasable() {
        return mFinishReleasable;
    }

    /**
     * Returns the attempt of another owner that replaced this one.
     *
     * @return its number, or 0 while this instance is the owner
     */
    public int fencingAttempt() {
        return mFencingAttempt;
    }

    /**
     * Returns whether the session has ended.
     *
     * @return true when the end may be released, or the generation was abandoned or taken over
     */
    public boolean hasEnded() {
        return mFencingAttempt > 0 || mFinishReleasable || mAbandoned;
    }

    /**
     * Adds output.
     *
     * @param position position of the first token; the number of tokens so far
     * @param tokens the tokens
     * @throws IllegalArgumentException if tokens would be missing or repeated
     */
    public void append(int position, List<GenerationState.Token> tokens) {
        if (hasEnded()) {
            return;
        }
        if (position != mRecord.size() || mRecord.isFinished()) {
            throw new IllegalArgumentException(
                    "tokens at " + position + " do not follow the " + mRecord.size() + " so far");
        }
        tokens.forEach(mRecord::add);
    }

    /**
     * Starts a further attempt of this instance.
     *
     * @param attempt its number
     * @param start position of its first token; tokens from there on are dropped
     * @throws IllegalArgumentException if tokens are dropped that may have been released
     */
    public void nextAttempt(int attempt, int start) {
        if (hasEnded()) {
            return;
        }
        if (attempt <= mAttempt || start < mReleasable || start > mRecord.size()) {
            throw new IllegalArgumentException(
                    "attempt "
                            + attempt
                            + " can't start at "
                            + start
                            + " after attempt "
                            + mAttempt
                            + " with "
                            + mReleasable
                            + " tokens releasable");
        }
        mRecord.truncate(start);
        mRecord.addAttempt(
                LineageEntry.newBuilder()
                        .setAttempt(attempt)
                        .setStart(start)
                        .setOwner(mSelf)
                        .setOwnerIncarnation(mIncarnation)
                        .build());
        mAttempt = attempt;
        mInFlight = null;
        mOpened = false;
        mStored = Math.min(mStored, start);
    }

    /**
     * Records the end of the generation.
     *
     * @param reason why it ended, not empty
     */
    public void finish(String reason) {
        if (!hasEnded()) {
            mRecord.finish(reason);
        }
    }

    /** Abandons the generation and marks its copy for removal. */
    public void abandon() {
        if (!hasEnded()) {
            mAbandoned = true;
            markStale();
        }
    }

    /**
     * Returns the next message to be sent.
     *
     * @param now current time in nanoseconds
     * @param view the members
     * @return the next item, or null when nothing is to be sent or an item is in flight
     */
    public @Nullable Item nextItem(long now, MemberView view) {
        if (mHolderChoice.isBackingOff(now) || !isSendDue(now)) {
            return null;
        }
        Member holder = mHolder == null ? mHolderChoice.choose(now, view, key()) : mHolder;
        if (holder == null) {
            if (mHolderChoice.hasNoCandidates() && mOptions.releaseWhenAlone()) {
                mConfirmedAt = now;
                release(mRecord.size(), mRecord.isFinished());
            }
            return null;
        }
        if (!mOpened && now - mConfirmedAt > SELF_FENCING_NANOS) {
            mFencingAttempt = mAttempt + 1;
            return null;
        }
        mHolder = holder;
        mStaleCopies.removeIf(stale -> stale.holder().id().equals(holder.id()));
        ReplicaOpen open = mOpened ? null : mRecord.toOpen(0);
        ReplicaAppend append = null;
        if (open == null || mRecord.isFinished()) {
            TokenRun run = mRecord.tokensFrom(open == null ? mStored : mRecord.size());
            append =
                    ReplicaAppend.newBuilder()
                            .setKey(key())
                            .setAttempt(mAttempt)
                            .setTokens(run)
                            .setFinishReason(mRecord.finishReason())
                            .build();
        }
        mSentAt = now;
        mInFlight = new Item(++mItemCount, holder, open, append);
        return mInFlight;
    }

    /**
     * Handles a holder's acknowledgement of an item.
     *
     * @param now current time in nanoseconds
     * @param item identifies the item
     * @param entries the answers of the holder for this generation, in order
     */
    public void onAck(long now, long item, List<ReplicaAckEntry> entries) {
        Item sent = mInFlight;
        for (ReplicaAckEntry entry : entries) {
            // A refusal due to another owner's attempt counts even for an item that is no longer
            // awaited.
            if (entry.getStatus() == ReplicaStatus.FENCED) {
                fence(Math.max(entry.getAttempt(), mAttempt));
                return;
            }
        }
        if (sent == null || sent.id() != item || hasEnded()) {
            return;
        }
        mInFlight = null;
        if (now - mSentAt > mOptions.ackLifetime().toNanos()) {
            // This instance was paused. The item is sent again, so that a claim made meanwhile is
            // detected.
            return;
        }
        for (ReplicaAckEntry entry : entries) {
            switch (entry.getStatus()) {
                case STORED -> {
                    if (entry.getAttempt() == mAttempt) {
                        mStored = Math.min(entry.getStored(), mRecord.size());
                    }
                }
                case MISSING -> {
                    mOpened = false;
                    return;
                }
                default -> {
                    replaceHolder();
                    return;
                }
            }
        }
        mConfirmedAt = now;
        mOpened = true;
        mHolderChoice.clearFailed();
        ReplicaAppend append = sent.append();
        mFinishStored = append != null && !append.getFinishReason().isEmpty();
        release(mStored, mFinishStored && mStored == mRecord.size());
    }

    /**
     * Handles an item that was not acknowledged in time.
     *
     * @param item identifies the item
     */
    public void onFailure(long item) {
        if (mInFlight != null && mInFlight.id() == item && !hasEnded()) {
            mInFlight = null;
            replaceHolder();
        }
    }

    /**
     * Handles a membership change: replaces a holder that is leaving, dead or restarted.
     *
     * @param view the members
     */
    public void onMembershipChange(MemberView view) {
        Member holder = mHolder;
        if (holder == null || hasEnded()) {
            return;
        }
        Member current = view.find(holder.id()).orElse(null);
        if (current == null
                || !current.isUsable()
                || current.incarnation() != holder.incarnation()) {
            mInFlight = null;
            replaceHolder();
            mHolderChoice.endBackoff();
        }
    }

    /**
     * Stops the session, since another owner has claimed the generation.
     *
     * @param attempt the other owner's attempt
     */
    public void fence(int attempt) {
        if (!hasEnded()) {
            mFencingAttempt = Math.max(attempt, 1);
            mInFlight = null;
        }
    }

    /**
     * Returns the copies to be dropped, each once and only after the end of the generation:
     * earlier, a delayed drop could remove the record of a holder that was chosen again.
     *
     * @return copies at holders that were replaced
     */
    public List<StaleCopy> takeStaleCopies() {
        boolean ended = mFinishReleasable || mAbandoned;
        if (!ended || mStaleCopies.isEmpty()) {
            return List.of();
        }
        List<StaleCopy> stale = List.copyOf(mStaleCopies);
        mStaleCopies.clear();
        return stale;
    }

    /**
     * Adds copies that a takeover claimed; they are dropped after the end of the generation.
     *
     * @param holders who has them
     */
    public void addStaleCopies(List<Member> holders) {
        for (Member holder : holders) {
            markStale(holder);
        }
    }

    GenerationRecord record() {
        return mRecord;
    }

    /**
     * Returns whether {@link #nextItem} should be called.
     *
     * @param now current time in nanoseconds
     * @return true when something is to be sent and no item is in flight
     */
    public boolean isSendDue(long now) {
        boolean confirm = now - mConfirmedAt > CONFIRM_INTERVAL_NANOS && !hasEnded();
        return mInFlight == null && (confirm || hasUnstoredChanges());
    }

    /** Returns whether anything is not yet stored; a new attempt counts even without tokens. */
    private boolean hasUnstoredChanges() {
        return !hasEnded()
                && (!mOpened
                        || mStored < mRecord.size()
                        || (mRecord.isFinished() && !mFinishStored));
    }

    private void replaceHolder() {
        Member holder = mHolder;
        if (holder != null) {
            mHolderChoice.markFailed(holder);
            markStale();
        }
        mHolder = null;
        mOpened = false;
        mStored = 0;
    }

    private void markStale() {
        if (mHolder != null) {
            markStale(mHolder);
        }
    }

    private void markStale(Member holder) {
        mStaleCopies.removeIf(stale -> stale.holder().id().equals(holder.id()));
        ReplicaDrop drop = ReplicaDrop.newBuilder().setKey(key()).setAttempt(mAttempt).build();
        mStaleCopies.add(new StaleCopy(holder, drop));
    }

    private void release(int position, boolean finished) {
        mReleasable = Math.max(mReleasable, position);
        mFinishReleasable |= finished;
    }
}
