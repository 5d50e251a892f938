package org.gentianwalk.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.LineageEntry;
import org.jspecify.annotations.Nullable;

/** The instances that a takeover calls, and the calls to them that are in flight. */
final class TakeoverTargets {
    private final GenerationKey mKey;
    private final Map<String, Target> mTargets = new LinkedHashMap<>();
    private final Map<Long, Target> mCalls = new HashMap<>();
    private long mCallCount;

    TakeoverTargets(GenerationKey key) {
        mKey = key;
    }

    Collection<Target> all() {
        return mTargets.values();
    }

    void addOwnRegion(MemberView view, Member self) {
        add(self);
        Candidates.ofRegion(view, self.location().region(), mKey).forEach(this::add);
        Candidates.leavingMembers(view, true).forEach(this::add);
    }

    void addOtherRegions(MemberView view) {
        Candidates.ofOtherRegions(view, mKey).forEach(this::add);
        Candidates.leavingMembers(view, false).forEach(this::add);
    }

    /**
     * Adds the owners of a lineage as optional targets: they time out sooner, because tokens that
     * only an owner has were never released. They are claimed but not queried, since their replies
     * are not needed to find the record.
     */
    void addOwners(List<LineageEntry> lineage, MemberView view, boolean claiming) {
        for (LineageEntry entry : lineage) {
            Member owner = view.find(entry.getOwner()).orElse(null);
            if (owner != null && !mTargets.containsKey(owner.id())) {
                Target target = new Target(owner);
                target.mOptional = true;
                target.mDone = !claiming;
                mTargets.put(owner.id(), target);
            }
        }
        Target last = lineage.isEmpty() ? null : mTargets.get(lineage.getLast().getOwner());
        if (last != null) {
            last.mOptional = true;
        }
    }

    /**
     * Adds the next member of a zone, to which an owner switches when it loses its holder there.
     */
    void addNextOfZone(Target lost, MemberView view) {
        if (lost.mOptional || lost.mReplaced) {
            return;
        }
        lost.mReplaced = true;
        String zone = lost.mMember.location().availabilityZone();
        for (Member member : Candidates.ofZone(view, zone, mKey)) {
            if (!mTargets.containsKey(member.id())) {
                add(member);
                return;
            }
        }
    }

    long newCall(Target target) {
        target.mCall = ++mCallCount;
        mCalls.put(mCallCount, target);
        return mCallCount;
    }

    /** Ends a call; returns null when it is no longer awaited. */
    @Nullable Target endCall(long call) {
        Target target = mCalls.remove(call);
        if (target == null || target.mCall != call) {
            return null;
        }
        target.mCall = 0;
        return target;
    }

    /** Marks all targets for a new call; replies to earlier calls are then ignored. */
    void reset() {
        mCalls.clear();
        for (Target target : mTargets.values()) {
            target.mDone = false;
            target.mCall = 0;
        }
    }

    private void add(Member member) {
        mTargets.putIfAbsent(member.id(), new Target(member));
    }

    /** An instance to be called; an optional one times out sooner. */
    static final class Target {
        final Member mMember;
        boolean mOptional;
        boolean mDone;
        boolean mReplaced;
        long mCall;

        Target(Member member) {
            mMember = member;
        }

        boolean isIdle() {
            return !mDone && mCall == 0;
        }
    }
}
