package org.gentianwalk.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.PeerView;
import org.gentianwalk.core.dispatch.StatedLimit;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.time.ManualTicker;
import org.gentianwalk.proto.LoadNotice;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.server.mesh.MeshKey;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshOptions;
import org.gentianwalk.server.mesh.MeshPeer;
import org.gentianwalk.server.mesh.MeshSender;
import org.junit.jupiter.api.Test;

/** Guards against notices of other instances that fill the memory until they are processed. */
class LoadExchangeTest {
    private static final List<MeshKey> KEYS =
            List.of(new MeshKey("key", "0123456789abcdef".getBytes()));

    private static final long WAIT_NANOS = 10_000_000_000L;

    private final RecordedListener mListener = new RecordedListener();

    @Test
    void queuedNoticesAreBoundedBySize() throws Exception {
        try (MeshNode receiver = node("b");
                MeshNode sender = node("a")) {
            int port = receiver.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Member self =
                    new Member(
                            "b",
                            "127.0.0.1:" + port,
                            new Location("region", "zone"),
                            1,
                            0,
                            Member.Health.ALIVE,
                            false,
                            0);
            LoadExchange exchange = new LoadExchange(receiver, self, mListener, new ManualTicker());
            MeshPeer peer = MeshPeer.of(self);
            for (int i = 1; i <= 20; i++) {
                send(sender, peer, "x".repeat(1 << 20));
                awaitReceived(receiver, i);
            }
            exchange.processNotices();
            assertThat((long) mListener.mLeaving.size() << 20)
                    .as("bytes of the processed notices")
                    .isBetween(1L << 20, (long) LoadExchange.MAX_QUEUED_BYTES);

            mListener.mLeaving.clear();
            send(sender, peer, "next");
            awaitReceived(receiver, 21);
            exchange.processNotices();
            assertThat(mListener.mLeaving).as("room is returned").containsExactly("next");
        }
    }

    private static void send(MeshNode sender, MeshPeer peer, String leaving) {
        sender.send(
                peer,
                MessageType.LOAD_NOTICE,
                LoadNotice.newBuilder().setInstance("a").addLeaving(leaving).build());
    }

    /** Waits until the handler of the last frame has run, on the one thread of the receiver. */
    private static void awaitReceived(MeshNode receiver, int frames) throws Exception {
        long end = System.nanoTime() + WAIT_NANOS;
        while (receiver.counters().framesReceived(MessageType.LOAD_NOTICE) < frames) {
            assertThat(System.nanoTime()).as("time to wait for a frame").isLessThan(end);
            Thread.sleep(2);
        }
        receiver.eventLoop().submit(() -> {}).get();
    }

    private static MeshNode node(String id) {
        return new MeshNode(new MeshSender(id, 1), KEYS, MeshOptions.DEFAULT, new MetricRegistry());
    }

    /** Records the processes that peers report as leaving. */
    private static final class RecordedListener implements LoadListener {
        private final List<String> mLeaving = new ArrayList<>();

        @Override
        public long loadChanges() {
            return 0;
        }

        @Override
        public List<InstanceLoad> loads() {
            return List.of();
        }

        @Override
        public void recordPeerLoads(String instance, List<InstanceLoad> loads) {}

        @Override
        public List<StatedLimit> statedLimits() {
            return List.of();
        }

        @Override
        public void recordPeerLimits(List<StatedLimit> limits) {}

        @Override
        public List<String> leavingProcesses() {
            return List.of();
        }

        @Override
        public void recordPeerLeaving(List<String> processes) {
            mLeaving.addAll(processes);
        }

        @Override
        public void updatePeers(PeerView peers) {}
    }
}
