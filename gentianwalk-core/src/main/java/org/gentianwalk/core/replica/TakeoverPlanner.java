package org.gentianwalk.core.replica;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.ReplicaClaim;
import org.gentianwalk.proto.ReplicaClaimReply;
import org.gentianwalk.proto.ReplicaFetch;
import org.gentianwalk.proto.ReplicaFetchReply;
import org.gentianwalk.proto.ReplicaOpen;
import org.jspecify.annotations.Nullable;

/**
 * Plans one takeover: queries the candidates, claims the generation from them with a higher attempt
 * and picks the best of the returned records. It has no I/O, threads or clock and is confined to
 * one thread.
 *
 * <p>The candidates of the own region are queried in parallel; those of other regions follow when
 * none of the first has a record. When this instance holds the record itself, it claims without a
 * query. A candidate that is alive but does not answer is retried until {@link
 * ReplicaOptions#candidateTimeout()} has passed, since it may have the only complete copy. The
 * previous owner is claimed, too, but waited for only {@link ReplicaOptions#ackLifetime()}.
 *
 * <p>Options: {@link ReplicaOptions}. Example: {@code planner.start(now, view)} returns the first
 * calls; {@link #result()} is set after the last answer.
 */
public final class TakeoverPlanner {
    /** Number of refused claims after which the takeover fails. */
    private static final int MAX_CLAIMS = 6;

    /** Unit of the random backoff after a refused claim; longer than a round trip between zones. */
    private static final long BACKOFF_NANOS = 20_000_000L;

    private final GenerationKey mKey;
    private final Member mSelf;
    private final ReplicaOptions mOptions;
    private final RandomGenerator mRandom;
    private final TakeoverTargets mTargets;
    private final BestRecord mBest = new BestRecord();
    private Phase mPhase = Phase.OWN_REGION;
    private long mPhaseStart;
    private long mNextClaimAt;
    private int mHighestAttempt;
    private int mClaimCount;
    private int mClaimedAttempt;
    private int mUnresponsiveCount;
    private boolean mFound;
    private boolean mRefused;
    private boolean mAllRegionsAdded;
    private int mCallerAttempt;
    private int mCallerPosition;
    private final List<Member> mHolders = new ArrayList<>();
    private ReplicaService.@Nullable Takeover mResult;

    /**
     * A message to be sent; its result is reported by {@link #onFetchReply}, {@link #onClaimReply}
     * or {@link #onFailure}.
     *
     * @param id identifies the call when its result is reported
     * @param target the receiver, possibly this instance
     * @param message a {@link ReplicaFetch} or a {@link ReplicaClaim}
     */
    public record Call(long id, Member target, MessageLite message) {}

    private enum Phase {
        OWN_REGION,
        OTHER_REGIONS,
        CLAIM,
        BACKOFF,
        DONE
    }

    /**
     * Creates a takeover.
     *
     * @param key the generation
     * @param self this instance
     * @param options times and bounds
     * @param random source of the random backoffs after refused claims
     */
    public TakeoverPlanner(
            GenerationKey key, Member self, ReplicaOptions options, RandomGenerator random) {
        mKey = key;
        mSelf = self;
        mOptions = options;
        mRandom = random;
        mTargets = new TakeoverTargets(key);
    }

    /**
     * Starts the takeover.
     *
     * @param now current time in nanoseconds
     * @param view the members
     * @param heldAttempt highest attempt of an unfinished record that this instance holds, or 0
     * @return the first calls
     */
    public List<Call> start(long now, MemberView view, int heldAttempt) {
        mTargets.addOwnRegion(view, mSelf);
        if (heldAttempt > 0) {
            mHighestAttempt = heldAttempt;
            mFound = true;
            return startClaim(now);
        }
        return startPhase(now, Phase.OWN_REGION);
    }

    /**
     * Sets what the caller already has. While a candidate does not answer, a record that does not
     * cover this is not accepted, since that candidate may have a longer one.
     *
     * @param attempt the attempt that the caller last got a token from
     * @param position number of tokens that the caller has
     */
    public void setCallerPosition(int attempt, int position) {
        mCallerAttempt = attempt;
        mCallerPosition = position;
    }

    /**
     * Returns the result of the takeover.
     *
     * @return the result, or null while the takeover is in progress
     */
    public ReplicaService.@Nullable Takeover result() {
        return mResult;
    }

    /**
     * Returns the other instances whose copies were claimed and are no longer needed.
     *
     * @return members that had a record
     */
    public List<Member> holders() {
        return mHolders;
    }

    /**
     * Handles the reply to a {@link ReplicaFetch}.
     *
     * @param now current time in nanoseconds
     * @param call identifies the call
     * @param reply the answer
     * @param view the members
     * @return further calls
     */
    public List<Call> onFetchReply(long now, long call, ReplicaFetchReply reply, MemberView view) {
        TakeoverTargets.Target target = completeCall(call);
        if (target == null) {
            return List.of();
        }
        mHighestAttempt = Math.max(mHighestAttempt, reply.getHighestAttempt());
        if (reply.getFound()) {
            mFound = true;
            if (!reply.getFinishReason().isEmpty()) {
                mBest.consider(reply.getRecord(), reply.getFinishReason());
            }
            mTargets.addOwners(reply.getRecord().getLineageList(), view, isClaiming());
        }
        return advance(now, view);
    }

    /**
     * Handles the reply to a {@link ReplicaClaim}.
     *
     * @param now current time in nanoseconds
     * @param call identifies the call
     * @param reply the answer
     * @param view the members
     * @return further calls
     */
    public List<Call> onClaimReply(long now, long call, ReplicaClaimReply reply, MemberView view) {
        TakeoverTargets.Target target = completeCall(call);
        if (target == null) {
            return List.of();
        }
        mHighestAttempt = Math.max(mHighestAttempt, reply.getHighestAttempt());
        if (!reply.getGranted()) {
            mRefused = true;
        } else if (reply.getRecord().getLineageCount() > 0) {
            mBest.consider(reply.getRecord(), reply.getFinishReason());
            if (!target.mMember.id().equals(mSelf.id()) && !mHolders.contains(target.mMember)) {
                mHolders.add(target.mMember);
            }
            mTargets.addOwners(reply.getRecord().getLineageList(), view, isClaiming());
        }
        return advance(now, view);
    }

    /**
     * Handles a call without a reply.
     *
     * @param now current time in nanoseconds
     * @param call identifies the call
     * @param unreachable true when the receiver's process can't be reached at all, such as a
     *     refused connection; it is then not retried
     * @param view the members
     * @return further calls
     */
    public List<Call> onFailure(long now, long call, boolean unreachable, MemberView view) {
        TakeoverTargets.Target target = mTargets.endCall(call);
        if (target == null || mResult != null) {
            return List.of();
        }
        List<Call> calls = new ArrayList<>();
        mTargets.addNextOfZone(target, view);
        callIdleTargets(calls, target);
        boolean isMember = view.find(target.mMember.id()).isPresent();
        if (unreachable || !isMember) {
            target.mDone = true;
        } else if (now - mPhaseStart > mOptions.candidateTimeout().toNanos()) {
            target.mDone = true;
            if (!target.mOptional) {
                mUnresponsiveCount++;
            }
        } else {
            calls.add(createCall(target));
            if (target.mOptional) {
                calls.addAll(advance(now, view));
            }
            if (mPhase == Phase.OWN_REGION) {
                // The other regions are queried while the unresponsive candidate is retried.
                mPhase = Phase.OTHER_REGIONS;
                mTargets.addOtherRegions(view);
                callIdleTargets(calls, target);
            }
            return calls;
        }
        calls.addAll(advance(now, view));
        return calls;
    }

    /**
     * Advances the clock; to be called about every 20 ms after a refused claim.
     *
     * @param now current time in nanoseconds
     * @return further calls
     */
    public List<Call> tick(long now) {
        return mPhase == Phase.BACKOFF && now - mNextClaimAt >= 0 ? startClaim(now) : List.of();
    }

    private boolean isClaiming() {
        return mPhase == Phase.CLAIM;
    }

    private void callIdleTargets(List<Call> calls, TakeoverTargets.@Nullable Target except) {
        for (TakeoverTargets.Target target : List.copyOf(mTargets.all())) {
            if (target.isIdle() && target != except) {
                calls.add(createCall(target));
            }
        }
    }

    private List<Call> startPhase(long now, Phase phase) {
        mPhase = phase;
        mPhaseStart = now;
        mUnresponsiveCount = phase == Phase.OTHER_REGIONS ? mUnresponsiveCount : 0;
        List<Call> calls = new ArrayList<>();
        callIdleTargets(calls, null);
        return calls;
    }

    private Call createCall(TakeoverTargets.Target target) {
        final long id = mTargets.newCall(target);
        MessageLite message =
                isClaiming()
                        ? ReplicaClaim.newBuilder()
                                .setKey(mKey)
                                .setAttempt(mClaimedAttempt)
                                .setOwner(mSelf.id())
                                .setOwnerIncarnation(mSelf.incarnation())
                                .build()
                        : ReplicaFetch.newBuilder().setKey(mKey).build();
        return new Call(id, target.mMember, message);
    }

    private List<Call> startClaim(long now) {
        mTargets.reset();
        mClaimCount++;
        mRefused = false;
        mClaimedAttempt = mHighestAttempt + 1;
        return startPhase(now, Phase.CLAIM);
    }

    private TakeoverTargets.@Nullable Target completeCall(long call) {
        TakeoverTargets.Target target = mTargets.endCall(call);
        if (target == null || mResult != null) {
            return null;
        }
        target.mDone = true;
        return target;
    }

    private List<Call> advance(long now, MemberView view) {
        List<Call> calls = new ArrayList<>();
        if (isClaiming()) {
            callIdleTargets(calls, null);
        }
        // The reply to a claim contains all that of a fetch, so an unfinished record is claimed at
        // once.
        boolean claimable = mFound && !mBest.isPresent() && !isClaiming();
        for (TakeoverTargets.Target target : mTargets.all()) {
            if (!target.mDone && !claimable && isAwaited(target, now)) {
                return calls;
            }
        }
        switch (mPhase) {
            case OWN_REGION -> {
                if (!mFound) {
                    mTargets.addOtherRegions(view);
                    List<Call> further = startPhase(now, Phase.OTHER_REGIONS);
                    return further.isEmpty() ? finishFetch(now) : further;
                }
                return finishFetch(now);
            }
            case OTHER_REGIONS -> {
                return finishFetch(now);
            }
            case CLAIM -> {
                if (!mRefused && !mAllRegionsAdded && canBeInOtherRegion(view)) {
                    mAllRegionsAdded = true;
                    mTargets.addOtherRegions(view);
                    return advance(now, view);
                }
                finishClaim(now);
            }
            default -> {
                return List.of();
            }
        }
        return mResult == null ? List.of() : calls;
    }

    /**
     * Returns whether the reply is still needed; the previous owner's times out sooner than others,
     * unless it may have the only record.
     */
    private boolean isAwaited(TakeoverTargets.Target target, long now) {
        return !target.mOptional
                || (isClaiming()
                        && (!mBest.isPresent()
                                || now - mPhaseStart <= mOptions.ackLifetime().toNanos()));
    }

    private List<Call> finishFetch(long now) {
        ReplicaOpen best = mBest.record();
        if (best != null && mBest.attempt() >= mHighestAttempt) {
            complete(new ReplicaService.Takeover.Taken(mBest.toState(best, mSelf, 0)));
        } else if (mFound) {
            mBest.clear();
            return startClaim(now);
        } else if (mUnresponsiveCount > 0) {
            complete(
                    new ReplicaService.Takeover.Contended(
                            mUnresponsiveCount + " candidates do not answer"));
        } else {
            complete(new ReplicaService.Takeover.NotFound());
        }
        return List.of();
    }

    /**
     * Returns whether the holders may be in other regions: a later attempt than the record's is
     * known, or its owner runs there.
     */
    private boolean canBeInOtherRegion(MemberView view) {
        ReplicaOpen best = mBest.record();
        if (best == null || mClaimedAttempt - 1 > mBest.attempt()) {
            return true;
        }
        String owner = best.getLineage(best.getLineageCount() - 1).getOwner();
        String region = mSelf.location().region();
        return view.find(owner).map(m -> !m.location().region().equals(region)).orElse(false);
    }

    private boolean isBehindCaller(GenerationState state) {
        return mCallerPosition > 0 && !Lineage.covers(state, mCallerAttempt, mCallerPosition);
    }

    private void finishClaim(long now) {
        ReplicaOpen best = mBest.record();
        if (mRefused && mClaimCount >= MAX_CLAIMS) {
            complete(
                    new ReplicaService.Takeover.Contended(
                            "another instance claims the generation, too"));
        } else if (mRefused) {
            mPhase = Phase.BACKOFF;
            mNextClaimAt = now + mRandom.nextLong(BACKOFF_NANOS * (1L << mClaimCount)) + 1;
        } else if (best == null) {
            complete(
                    mUnresponsiveCount > 0
                            ? new ReplicaService.Takeover.Contended("the holder does not answer")
                            : new ReplicaService.Takeover.NotFound());
        } else {
            GenerationState state = mBest.toState(best, mSelf, mClaimedAttempt);
            complete(
                    mUnresponsiveCount > 0 && isBehindCaller(state)
                            ? new ReplicaService.Takeover.Contended(
                                    "the longest record may be at a holder that does not answer")
                            : new ReplicaService.Takeover.Taken(state));
        }
    }

    private void complete(ReplicaService.Takeover result) {
        mPhase = Phase.DONE;
        mResult = result;
    }
}
