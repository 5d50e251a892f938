package org.gentianwalk.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.PeerLoadAware;
import org.gentianwalk.core.dispatch.PeerView;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.LoadNotice;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;

/**
 * Sends the load that this instance places on the engines to the other instances. Each notice holds
 * the complete load, so the next one makes up for a lost one. A notice for another availability
 * zone is sent to one instance there, which relays it to the others of the zone; the relay changes
 * each time, so a dead relay loses only one notice. In a wide fleet, other regions are notified at
 * fixed intervals only, so that the cost of an instance does not grow with the requests of the
 * whole fleet.
 *
 * <p>Received notices are queued until the control thread makes its next decision, because waking
 * it for each notice would cost more than processing the notice.
 */
final class LoadExchange {
    /** Minimum interval between two notices; changes within it are sent together. */
    private static final long MIN_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /** Interval at which a notice is repeated, for instances that missed the last one. */
    private static final long REPEAT_INTERVAL_NANOS = Duration.ofMillis(2_000).toNanos();

    /** Capacity of the queue of received notices; excess ones are dropped, newer ones follow. */
    private static final int MAX_QUEUED_NOTICES = 4_096;

    /**
     * Size of the queued notices, bytes; a notice may have the size of a frame, 4 MiB. A usual one
     * has some hundred bytes.
     */
    static final int MAX_QUEUED_BYTES = 4 << 20;

    private static final Comparator<Member> LOCATION_ORDER =
            Comparator.<Member, String>comparing(member -> member.location().region())
                    .thenComparing(member -> member.location().availabilityZone())
                    .thenComparing(Member::id);

    private final MeshNode mMesh;
    private final Member mSelf;
    private final LoadListener mListener;
    private final Ticker mTicker;
    private final Map<String, List<Member>> mByZone = new HashMap<>();
    private volatile List<Member> mZoneMembers = List.of();
    private final Queue<LoadNotice> mNotices = new ArrayBlockingQueue<>(MAX_QUEUED_NOTICES);
    private final AtomicInteger mQueuedBytes = new AtomicInteger();
    private long mSentChanges = -1;
    private long mSentAt;
    private long mSentRemoteAt;
    private boolean mWideFleet;
    private int mRelayTurn;

    LoadExchange(MeshNode mesh, Member self, LoadListener listener, Ticker ticker) {
        mMesh = mesh;
        mSelf = self;
        mListener = listener;
        mTicker = ticker;
        mesh.registerHandler(
                MessageType.LOAD_NOTICE,
                LoadNotice.parser(),
                (sender, notice, reply) -> receive(notice));
    }

    /** Updates the instances that notices are sent to. */
    void updateMembers(MemberView view) {
        mByZone.clear();
        List<Member> zoneMembers = new ArrayList<>();
        Set<String> live = new HashSet<>();
        int position = 0;
        for (Member member : view.members()) {
            if (member.id().equals(mSelf.id())) {
                continue;
            }
            live.add(peerKey(member.id(), member.incarnation()));
            position += LOCATION_ORDER.compare(member, mSelf) < 0 ? 1 : 0;
            if (member.location().equals(mSelf.location())) {
                zoneMembers.add(member);
            }
            mByZone.computeIfAbsent(member.location().availabilityZone(), zone -> new ArrayList<>())
                    .add(member);
        }
        mZoneMembers = List.copyOf(zoneMembers);
        mWideFleet = live.size() >= PeerLoadAware.WIDE_FLEET;
        mListener.updatePeers(new PeerView(live, position));
    }

    /** Sends a notice if one is due. Must be called after changes and at least every 50 ms. */
    void advance() {
        long now = mTicker.nanos();
        long changes = mListener.loadChanges();
        boolean changed = changes != mSentChanges && now - mSentAt >= MIN_INTERVAL_NANOS;
        if (!changed && now - mSentAt < REPEAT_INTERVAL_NANOS) {
            return;
        }
        mSentChanges = changes;
        mSentAt = now;
        LoadNotice.Builder notice =
                LoadNotice.newBuilder().setInstance(mSelf.id()).setIncarnation(mSelf.incarnation());
        for (InstanceLoad load : mListener.loads()) {
            notice.addServices(LoadCodec.encode(load));
        }
        mListener.statedLimits().forEach(limit -> notice.addLimits(LoadCodec.encode(limit)));
        notice.addAllLeaving(mListener.leavingProcesses());
        mListener.rollouts().forEach(report -> notice.addRollouts(RolloutCodec.encode(report)));
        boolean includeRemote = !mWideFleet || now - mSentRemoteAt >= REPEAT_INTERVAL_NANOS;
        if (includeRemote) {
            mSentRemoteAt = now;
        }
        mRelayTurn++;
        LoadNotice direct = notice.setRelay(false).build();
        LoadNotice relayed = notice.setRelay(true).build();
        for (Map.Entry<String, List<Member>> zone : mByZone.entrySet()) {
            List<Member> members = zone.getValue();
            if (zone.getKey().equals(mSelf.location().availabilityZone())) {
                members.forEach(member -> send(member, direct));
            } else if (includeRemote || isSameRegion(members.getFirst())) {
                send(members.get(Math.floorMod(mRelayTurn, members.size())), relayed);
            }
        }
    }

    /** Passes the queued notices to the listener. */
    void processNotices() {
        for (LoadNotice notice = mNotices.poll(); notice != null; notice = mNotices.poll()) {
            mQueuedBytes.addAndGet(-notice.getSerializedSize());
            List<InstanceLoad> loads = LoadCodec.decodeLoads(notice.getServicesList());
            mListener.recordPeerLoads(
                    peerKey(notice.getInstance(), notice.getIncarnation()), loads);
            if (notice.getLimitsCount() > 0) {
                mListener.recordPeerLimits(LoadCodec.decodeLimits(notice.getLimitsList()));
            }
            if (notice.getLeavingCount() > 0) {
                mListener.recordPeerLeaving(notice.getLeavingList());
            }
            if (notice.getRolloutsCount() > 0) {
                mListener.recordPeerRollouts(
                        peerKey(notice.getInstance(), notice.getIncarnation()),
                        RolloutCodec.decode(notice.getRolloutsList()));
            }
        }
    }

    private boolean isSameRegion(Member member) {
        return member.location().region().equals(mSelf.location().region());
    }

    /** Called on the mesh loop. */
    private void receive(LoadNotice notice) {
        if (notice.getInstance().equals(mSelf.id())) {
            return;
        }
        if (notice.getRelay()) {
            LoadNotice forwarded = notice.toBuilder().setRelay(false).build();
            mZoneMembers.forEach(member -> send(member, forwarded));
        }
        int size = notice.getSerializedSize();
        boolean fits = mQueuedBytes.addAndGet(size) <= MAX_QUEUED_BYTES;
        if (!fits || !mNotices.offer(notice)) {
            mQueuedBytes.addAndGet(-size);
        }
    }

    private void send(Member member, LoadNotice notice) {
        mMesh.send(MeshPeer.of(member), MessageType.LOAD_NOTICE, notice);
    }

    private static String peerKey(String instance, long incarnation) {
        return instance + "@" + incarnation;
    }
}
