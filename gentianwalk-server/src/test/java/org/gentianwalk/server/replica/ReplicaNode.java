package org.gentianwalk.server.replica;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.ReplicaOptions;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.mesh.MeshKey;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshOptions;
import org.gentianwalk.server.mesh.MeshSender;

/** An instance with a mesh on loopback and a fixed membership. */
final class ReplicaNode implements AutoCloseable {
    private static final MeshKey KEY = new MeshKey("k", "0123456789abcdef".getBytes());

    final MeshNode mMesh;
    final ScheduledExecutorService mLoop;
    final MeshReplicaService mService;
    final Member mSelf;
    volatile MemberView mView;

    private ReplicaNode(String id, String zone) throws MeshException {
        mMesh =
                new MeshNode(
                        new MeshSender(id, 1),
                        List.of(KEY),
                        MeshOptions.DEFAULT,
                        new MetricRegistry());
        mLoop = mMesh.eventLoop();
        int port = mMesh.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Location location = new Location("r", zone);
        mSelf = new Member(id, "127.0.0.1:" + port, location, 1, 0, Member.Health.ALIVE, false, 0);
        mView = new MemberView(0, mSelf, List.of());
        mService =
                new MeshReplicaService(
                        mMesh, () -> mView, mLoop, Ticker.system(), ReplicaOptions.DEFAULT);
        mService.start();
    }

    static List<ReplicaNode> cluster(String... zones) throws MeshException {
        List<ReplicaNode> nodes = new ArrayList<>();
        for (int i = 0; i < zones.length; i++) {
            nodes.add(new ReplicaNode("node-" + i, zones[i]));
        }
        List<Member> members = nodes.stream().map(node -> node.mSelf).toList();
        nodes.forEach(node -> node.mView = new MemberView(1, node.mSelf, members));
        return nodes;
    }

    static GenerationState initial(String key, String owner) {
        return new GenerationState(
                new RequestKey("team", key),
                new byte[32],
                new byte[300],
                "model",
                "kind",
                Rank.URGENT,
                1,
                0,
                List.of(new GenerationState.LineageEntry(1, 0, owner)),
                List.of(),
                null);
    }

    /** Records what a session may release. */
    static final class Log implements ReplicaService.Listener {
        volatile int mPosition;
        volatile boolean mFinished;
        volatile int mFencedBy;

        @Override
        public void onReleasable(int position, boolean finished) {
            mPosition = position;
            mFinished = finished;
        }

        @Override
        public void onFenced(int attempt) {
            mFencedBy = attempt;
        }
    }

    @Override
    public void close() {
        mService.close();
        mMesh.close();
    }
}
