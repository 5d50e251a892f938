package org.gentianwalk.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import org.gentianwalk.core.dispatch.LoadShare;
import org.gentianwalk.core.dispatch.LoadSharing;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.LoadNotice;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.ServiceLoad;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;

/**
 * Tells the other instances what this one has at the engines. Notices are complete, so a lost one
 * is made up for by the next. Those for another availability zone go to one instance there, which
 * passes them on; a different one each time, so that a dead one costs one notice. In a wide fleet
 * other regions are told at intervals only, so that the cost of an instance does not grow with the
 * requests of the whole fleet.
 *
 * <p>Notices that arrive wait until the control thread has something to decide. Waking it for each
 * would cost more than taking them in.
 */
final class LoadExchange {
    /** Least time between two notices; changes within it go out together. */
    private static final long PAUSE_NANOS = Duration.ofMillis(20).toNanos();

    /** Time after which a notice is repeated, for instances that missed the last one. */
    private static final long REPEAT_NANOS = Duration.ofMillis(2_000).toNanos();

    /** Notices that wait for the control thread; further ones are dropped, newer ones follow. */
    private static final int MAX_ARRIVED = 4_096;

    private final MeshNode mMesh;
    private final Member mSelf;
    private final LoadListener mListener;
    private final Ticker mTicker;
    private final Map<String, List<Member>> mByZone = new HashMap<>();
    private volatile List<Member> mNeighbours = List.of();
    private final Queue<LoadNotice> mArrived = new ArrayBlockingQueue<>(MAX_ARRIVED);
    private long mSentChanges = -1;
    private long mSentAt;
    private long mSentFarAt;
    private boolean mWide;
    private int mTurn;

    LoadExchange(MeshNode mesh, Member self, LoadListener listener, Ticker ticker) {
        mMesh = mesh;
        mSelf = self;
        mListener = listener;
        mTicker = ticker;
        mesh.registerHandler(
                MessageType.LOAD_NOTICE,
                LoadNotice.parser(),
                (sender, notice, reply) -> received(notice));
    }

    /** Takes in the members. */
    void members(MemberView view) {
        mByZone.clear();
        List<Member> neighbours = new ArrayList<>();
        Set<String> live = new HashSet<>();
        for (Member member : view.members()) {
            if (member.id().equals(mSelf.id())) {
                continue;
            }
            live.add(key(member.id(), member.incarnation()));
            if (member.location().equals(mSelf.location())) {
                neighbours.add(member);
            }
            mByZone.computeIfAbsent(member.location().availabilityZone(), zone -> new ArrayList<>())
                    .add(member);
        }
        mNeighbours = List.copyOf(neighbours);
        mWide = live.size() >= LoadSharing.WIDE_FLEET;
        mListener.peers(live);
    }

    /** Sends what is due. To be called after changes and at least every 50 ms. */
    void advance() {
        long now = mTicker.nanos();
        long changes = mListener.shareChanges();
        boolean changed = changes != mSentChanges && now - mSentAt >= PAUSE_NANOS;
        if (!changed && now - mSentAt < REPEAT_NANOS) {
            return;
        }
        mSentChanges = changes;
        mSentAt = now;
        LoadNotice.Builder notice =
                LoadNotice.newBuilder().setInstance(mSelf.id()).setIncarnation(mSelf.incarnation());
        for (LoadShare share : mListener.shares()) {
            notice.addServices(LoadCodec.encode(share));
        }
        boolean far = !mWide || now - mSentFarAt >= REPEAT_NANOS;
        if (far) {
            mSentFarAt = now;
        }
        mTurn++;
        LoadNotice direct = notice.setRelay(false).build();
        LoadNotice relayed = notice.setRelay(true).build();
        for (Map.Entry<String, List<Member>> zone : mByZone.entrySet()) {
            List<Member> members = zone.getValue();
            if (zone.getKey().equals(mSelf.location().availabilityZone())) {
                members.forEach(member -> send(member, direct));
            } else if (far || isNear(members.getFirst())) {
                send(members.get(Math.floorMod(mTurn, members.size())), relayed);
            }
        }
    }

    /** Takes in the notices that have arrived. */
    void takeArrived() {
        for (LoadNotice notice = mArrived.poll(); notice != null; notice = mArrived.poll()) {
            List<LoadShare> shares = new ArrayList<>();
            for (ServiceLoad service : notice.getServicesList()) {
                shares.add(LoadCodec.decode(service));
            }
            mListener.peerShares(key(notice.getInstance(), notice.getIncarnation()), shares);
        }
    }

    private boolean isNear(Member member) {
        return member.location().region().equals(mSelf.location().region());
    }

    /** Called on the mesh loop. */
    private void received(LoadNotice notice) {
        if (notice.getInstance().equals(mSelf.id())) {
            return;
        }
        if (notice.getRelay()) {
            LoadNotice passedOn = notice.toBuilder().setRelay(false).build();
            mNeighbours.forEach(member -> send(member, passedOn));
        }
        mArrived.offer(notice);
    }

    private void send(Member member, LoadNotice notice) {
        mMesh.send(MeshPeer.of(member), MessageType.LOAD_NOTICE, notice);
    }

    private static String key(String instance, long incarnation) {
        return instance + "@" + incarnation;
    }
}
