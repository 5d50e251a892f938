package org.gentianwalk.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.proto.IndirectProbe;
import org.gentianwalk.proto.MemberState;
import org.gentianwalk.proto.MemberUpdate;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.Probe;
import org.gentianwalk.proto.ProbeAck;
import org.jspecify.annotations.Nullable;

/**
 * Failure detector and member list of one instance. It has no I/O, threads or clock: it handles
 * events with the current time and returns the messages to send.
 *
 * <p>Each second the instance probes one member, in an order that is shuffled for each round. An
 * unanswered probe is repeated through two other members; without an answer, the member is then
 * suspected, and declared dead after 3 s. After a pause of its own, an instance extends the
 * timeouts of suspected members. Dead members and unknown entries of the platform's list are probed
 * as candidates, one a second in total, so that partitions heal.
 *
 * <p>Options: {@link MembershipOptions}. Example: {@code send(membership.tick(ticker.nanos()))}
 * every 100 ms, and {@code send(membership.onProbe(now, from, probe))} for each probe received.
 */
public final class Membership {
    /** A longer gap between two ticks counts as a pause of this instance. */
    private static final long PAUSE_THRESHOLD_NANOS = 500_000_000L;

    /**
     * Largest number of suspected members that are probed again each second. Without these probes,
     * refutations spread only by piggybacked updates, too late at 5% message loss. Without the
     * bound, the loss of a zone would raise the traffic.
     */
    private static final int MAX_SUSPECT_PROBES = 4;

    /** Largest number of members sent to an instance that was unknown or dead. */
    private static final int MAX_SYNC_MEMBERS = 1_024;

    private final MembershipOptions mOptions;
    private final RandomGenerator mRandom;
    private final UpdateQueue mQueue = new UpdateQueue();
    private final MemberTable mTable;
    private final CandidateList mCandidates = new CandidateList();
    private final ProbeLog mProbes;
    private final List<String> mRound = new ArrayList<>();
    private Member mSelf;
    private long mNextProbe;
    private long mLastTick;
    private boolean mStarted;
    private long mSelfChanges;
    private @Nullable MemberView mView;
    private long mViewChanges = -1;

    /**
     * Creates the membership of an instance, without other members.
     *
     * @param self the instance itself, alive
     * @param options times and bounds
     * @param seed seed of the probe order
     */
    public Membership(Member self, MembershipOptions options, long seed) {
        mSelf = self;
        mOptions = options;
        mRandom = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        mTable = new MemberTable(mQueue, options.suspicionTimeout().toNanos());
        mProbes = new ProbeLog(options);
        mQueue.add(self.toUpdate());
    }

    /**
     * Returns the current snapshot.
     *
     * @return the same object until something changes
     */
    public MemberView view() {
        long changes = mTable.changeCount() + mSelfChanges;
        MemberView view = mView;
        if (view == null || changes != mViewChanges) {
            view = new MemberView(changes, mSelf, mTable.all());
            mView = view;
            mViewChanges = changes;
        }
        return view;
    }

    /**
     * Advances the clock. To be called about every 100 ms.
     *
     * @param now current time in nanoseconds
     * @return messages to send
     */
    public List<Outgoing> tick(long now) {
        if (!mStarted) {
            mStarted = true;
            mNextProbe = now + mRandom.nextLong(mOptions.probeInterval().toNanos());
        } else if (now - mLastTick > PAUSE_THRESHOLD_NANOS) {
            mTable.extendTimeouts(now - mLastTick);
            mProbes.clear();
        }
        mLastTick = now;
        List<Outgoing> out = new ArrayList<>();
        for (ProbeLog.Pending probe : mProbes.dueForIndirectProbes(now)) {
            requestIndirectProbes(now, probe, out);
        }
        for (ProbeLog.Pending probe : mProbes.expired(now)) {
            mTable.suspect(now, probe.target());
        }
        mTable.expire(now, mOptions.deadRetention().toNanos());
        if (now - mNextProbe >= 0) {
            mNextProbe = Math.max(mNextProbe + mOptions.probeInterval().toNanos(), now);
            Member member = nextProbeTarget();
            if (member != null) {
                out.add(newProbe(now, member.id(), member.address()));
            }
            for (Member suspect : mTable.suspects(MAX_SUSPECT_PROBES)) {
                out.add(newProbe(now, suspect.id(), suspect.address()));
            }
            CandidateList.Candidate candidate = mCandidates.pick(mTable, mSelf.id(), mRandom);
            if (candidate != null) {
                out.add(newProbe(now, candidate.id(), candidate.address()));
            }
        }
        return out;
    }

    /**
     * Handles the platform's list. Its entries become candidates for probes; its leaving marks
     * apply to members at once.
     *
     * @param now current time in nanoseconds
     * @param entries all entries of the list
     */
    public void onInstanceList(long now, List<InstanceList.Entry> entries) {
        for (String id : mCandidates.update(entries)) {
            if (id.equals(mSelf.id())) {
                leave();
            } else if (mTable.find(id) != null) {
                mTable.markLeaving(now, id);
                mCandidates.takePendingLeave(id);
            }
        }
    }

    /** Marks this instance as leaving and spreads this to the other members. */
    public void leave() {
        if (!mSelf.leaving()) {
            updateSelf(mSelf.asLeaving());
        }
    }

    /**
     * Marks a member as leaving, after a signal of its own or of an upstream.
     *
     * @param now current time in nanoseconds
     * @param id the member
     */
    public void markLeaving(long now, String id) {
        mTable.markLeaving(now, id);
    }

    /**
     * Sets the configuration version that probes announce; a lower one is ignored.
     *
     * @param version the version in force at this instance
     */
    public void setConfigVersion(long version) {
        if (version > mSelf.configVersion()) {
            mSelf = mSelf.withConfigVersion(version);
            mSelfChanges++;
        }
    }

    /**
     * Handles a probe.
     *
     * @param now current time in nanoseconds
     * @param probe the probe
     * @return messages to send
     */
    public List<Outgoing> onProbe(long now, Probe probe) {
        MemberUpdate sender = probe.getSelf();
        if (!Member.isComplete(sender) || sender.getInstance().equals(mSelf.id())) {
            return List.of();
        }
        boolean needsSync = needsSync(sender);
        mergeAll(now, sender, probe.getUpdatesList());
        ProbeAck.Builder ack =
                ProbeAck.newBuilder().setNonce(probe.getNonce()).setSelf(mSelf.toUpdate());
        ack.addAllUpdates(updatesFor(sender.getInstance()));
        if (needsSync) {
            ack.addAllUpdates(syncUpdates());
        }
        return List.of(
                new Outgoing(
                        sender.getInstance(),
                        sender.getAddress(),
                        MessageType.PROBE_ACK,
                        ack.build()));
    }

    /**
     * Handles the answer to a probe.
     *
     * @param now current time in nanoseconds
     * @param ack the answer
     * @return messages to send
     */
    public List<Outgoing> onAck(long now, ProbeAck ack) {
        MemberUpdate sender = ack.getSelf();
        if (!Member.isComplete(sender) || sender.getInstance().equals(mSelf.id())) {
            return List.of();
        }
        mergeAll(now, sender, ack.getUpdatesList());
        ProbeLog.Pending probe = mProbes.complete(ack.getNonce());
        if (probe == null || probe.origin() == null) {
            return List.of();
        }
        Member origin = mTable.find(probe.origin());
        if (origin == null) {
            return List.of();
        }
        ProbeAck forwarded = ack.toBuilder().setNonce(probe.originNonce()).build();
        return List.of(
                new Outgoing(origin.id(), origin.address(), MessageType.PROBE_ACK, forwarded));
    }

    /**
     * Handles another instance's request to probe a member on its behalf.
     *
     * @param now current time in nanoseconds
     * @param from identifier of the other instance
     * @param request the request
     * @return messages to send
     */
    public List<Outgoing> onIndirectProbe(long now, String from, IndirectProbe request) {
        if (request.getTarget().equals(mSelf.id()) || request.getTargetAddress().isEmpty()) {
            return List.of();
        }
        long nonce = mRandom.nextLong();
        mProbes.addForOther(now, nonce, request.getTarget(), from, request.getNonce());
        return List.of(probeMessage(nonce, request.getTarget(), request.getTargetAddress(), from));
    }

    private boolean needsSync(MemberUpdate sender) {
        Member known = mTable.find(sender.getInstance());
        return known == null
                || known.health() == Member.Health.DEAD
                || known.incarnation() < sender.getIncarnation();
    }

    private void mergeAll(long now, MemberUpdate sender, List<MemberUpdate> updates) {
        mTable.merge(now, sender);
        if (mCandidates.takePendingLeave(sender.getInstance())) {
            mTable.markLeaving(now, sender.getInstance());
        }
        for (MemberUpdate update : updates) {
            if (!Member.isComplete(update)) {
                continue;
            }
            if (update.getInstance().equals(mSelf.id())) {
                onUpdateAboutSelf(update);
            } else {
                mTable.merge(now, update);
            }
        }
    }

    /**
     * Handles an update about this instance: refutes a suspicion or death, accepts a leaving mark.
     */
    private void onUpdateAboutSelf(MemberUpdate update) {
        if (update.getIncarnation() != mSelf.incarnation()) {
            return;
        }
        MemberState state = update.getState();
        boolean wrong = state == MemberState.SUSPECT || state == MemberState.DEAD;
        if (wrong && update.getRefutation() >= mSelf.refutation()) {
            updateSelf(mSelf.withRefutation(update.getRefutation() + 1));
        } else if (state == MemberState.LEAVING) {
            leave();
        }
    }

    private void updateSelf(Member self) {
        mSelf = self;
        mSelfChanges++;
        mQueue.add(self.toUpdate());
    }

    private @Nullable Member nextProbeTarget() {
        for (int turn = 0; turn < 2; turn++) {
            while (!mRound.isEmpty()) {
                Member member = mTable.find(mRound.removeLast());
                if (member != null && member.health() != Member.Health.DEAD) {
                    return member;
                }
            }
            for (Member member : mTable.all()) {
                if (member.health() != Member.Health.DEAD) {
                    mRound.add(member.id());
                }
            }
            Collections.sort(mRound);
            Collections.shuffle(mRound, mRandom);
        }
        return null;
    }

    private Outgoing newProbe(long now, String id, String address) {
        long nonce = mRandom.nextLong();
        mProbes.addOwn(now, nonce, id);
        return probeMessage(nonce, id, address, "");
    }

    private Outgoing probeMessage(long nonce, String id, String address, String origin) {
        Probe probe =
                Probe.newBuilder()
                        .setNonce(nonce)
                        .setSelf(mSelf.toUpdate())
                        .setOrigin(origin)
                        .addAllUpdates(updatesFor(id))
                        .build();
        return new Outgoing(id, address, MessageType.PROBE, probe);
    }

    private void requestIndirectProbes(long now, ProbeLog.Pending probe, List<Outgoing> out) {
        Member target = mTable.find(probe.target());
        if (target == null || target.health() == Member.Health.DEAD) {
            return;
        }
        Map<String, Member> helpers = new HashMap<>();
        for (Member member : mTable.all()) {
            if (member.health() == Member.Health.ALIVE && !member.id().equals(target.id())) {
                helpers.put(member.id(), member);
            }
        }
        List<String> ids = new ArrayList<>(helpers.keySet());
        Collections.sort(ids);
        Collections.shuffle(ids, mRandom);
        IndirectProbe request =
                IndirectProbe.newBuilder()
                        .setNonce(probe.nonce())
                        .setTarget(target.id())
                        .setTargetAddress(target.address())
                        .build();
        for (String id : ids.subList(0, Math.min(mOptions.indirectProbers(), ids.size()))) {
            Member helper = helpers.get(id);
            if (helper != null) {
                out.add(new Outgoing(id, helper.address(), MessageType.INDIRECT_PROBE, request));
            }
        }
    }

    /**
     * Returns the updates to piggyback on a message; they include a suspicion of the receiver
     * itself, so that it can refute it.
     */
    private List<MemberUpdate> updatesFor(String receiver) {
        List<MemberUpdate> updates = mQueue.take(mOptions.maxUpdates(), mTable.countNotDead() + 1);
        Member known = mTable.find(receiver);
        if (known != null && (known.health() != Member.Health.ALIVE || known.leaving())) {
            updates.add(known.toUpdate());
        }
        return updates;
    }

    /** Returns the members for a new instance, without suspected ones, which may be out of date. */
    private List<MemberUpdate> syncUpdates() {
        List<MemberUpdate> updates = new ArrayList<>();
        for (Member member : mTable.all()) {
            if (member.health() == Member.Health.ALIVE && updates.size() < MAX_SYNC_MEMBERS) {
                updates.add(member.toUpdate());
            }
        }
        return updates;
    }
}
