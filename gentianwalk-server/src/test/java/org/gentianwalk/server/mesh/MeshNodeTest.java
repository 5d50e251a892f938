package org.gentianwalk.server.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.gentianwalk.proto.CallQuery;
import org.gentianwalk.proto.CallQueryReply;
import org.gentianwalk.proto.Envelope;
import org.gentianwalk.proto.Hello;
import org.gentianwalk.proto.MessageType;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the mesh transport over loopback sockets. */
class MeshNodeTest {
    private static final MeshKey OLD = new MeshKey("old", "0123456789abcdef".getBytes());
    private static final MeshKey NEW = new MeshKey("new", "fedcba9876543210".getBytes());
    private static final Duration WAIT = Duration.ofSeconds(5);

    private final List<MeshNode> mNodes = new ArrayList<>();
    private final AtomicInteger mHandled = new AtomicInteger();
    private int mPort;

    @AfterEach
    void close() {
        mNodes.forEach(MeshNode::close);
    }

    private MeshNode node(String id, MeshOptions options, MeshKey... keys) throws MeshException {
        MeshNode node =
                new MeshNode(new MeshSender(id, 1), List.of(keys), options, new MetricRegistry());
        mNodes.add(node);
        node.registerHandler(
                MessageType.CALL_QUERY,
                CallQuery.parser(),
                (sender, query, reply) -> {
                    mHandled.incrementAndGet();
                    reply.send(MessageType.CALL_QUERY_REPLY, CallQueryReply.getDefaultInstance());
                });
        mPort = node.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return node;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("time to wait for a condition").isLessThan(end);
            Thread.sleep(2);
        }
    }

    private static void sendRequest(MeshNode from, String to, int port) throws Exception {
        from.request(
                        new MeshPeer(to, "127.0.0.1:" + port),
                        MessageType.CALL_QUERY,
                        CallQuery.getDefaultInstance(),
                        CallQueryReply.parser(),
                        WAIT)
                .get();
    }

    /** A peer on a plain socket, which can violate the protocol. */
    private static final class RawPeer implements AutoCloseable {
        final Socket mSocket;
        final DataOutputStream mOut;
        final byte[] mChallenge = new byte[16];
        byte[] mPeerChallenge;

        RawPeer(Socket socket) throws IOException {
            mSocket = socket;
            mOut = new DataOutputStream(socket.getOutputStream());
            DataInputStream in = new DataInputStream(socket.getInputStream());
            mPeerChallenge =
                    Hello.parseFrom(Envelope.parseFrom(in.readNBytes(in.readInt())).getPayload())
                            .getChallenge()
                            .toByteArray();
            Hello hello = Hello.newBuilder().setChallenge(ByteString.copyFrom(mChallenge)).build();
            Envelope.Builder envelope =
                    Envelope.newBuilder()
                            .setSender("raw")
                            .setType(MessageType.HELLO)
                            .setPayload(hello.toByteString());
            send(FrameAuthenticator.forHello().sign(envelope, OLD));
        }

        byte[] query(MeshKey key, long sequence, String receiver) {
            Envelope.Builder envelope =
                    Envelope.newBuilder()
                            .setSender("raw")
                            .setType(MessageType.CALL_QUERY)
                            .setSequence(sequence);
            return new FrameAuthenticator(mPeerChallenge, mChallenge, receiver).sign(envelope, key);
        }

        void send(byte[] frame) throws IOException {
            mOut.writeInt(frame.length);
            mOut.write(frame);
            mOut.flush();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }

    private RawPeer connect() throws IOException {
        return new RawPeer(new Socket(InetAddress.getLoopbackAddress(), mPort));
    }

    private void assertDropped(MeshNode node, MeshCounters.DropReason reason, byte[]... frames)
            throws Exception {
        long before = node.counters().dropped(reason);
        try (RawPeer raw = connect()) {
            for (byte[] frame : frames) {
                raw.send(frame);
            }
            await(() -> node.counters().dropped(reason) == before + 1);
        }
    }

    /** The lookup of a host name in an odd entry would block the thread that sends. */
    @Test
    void addressesAreNotLookedUpByName() throws MeshException {
        for (String address : List.of("peer.invalid:80", "localhost:80", ":80", "10.0.0.1:70000")) {
            assertThatThrownBy(() -> new MeshPeer("i2", address).socketAddress())
                    .as(address)
                    .isInstanceOf(MeshException.class);
        }
        assertThat(new MeshPeer("i2", "10.0.0.1:80").socketAddress().getPort()).isEqualTo(80);
    }

    /**
     * Guards against accepting frames that are unauthenticated, replayed, malformed or oversized.
     */
    @Test
    void badFramesAreCountedAndHaveNoEffect() throws Exception {
        MeshNode node = node("b", MeshOptions.DEFAULT, OLD);
        assertDropped(node, MeshCounters.DropReason.MALFORMED, new byte[] {-1, -1, -1});
        MeshKey wrong = new MeshKey("old", "another-secret--".getBytes());
        try (RawPeer raw = connect();
                RawPeer other = connect()) {
            raw.send(raw.query(wrong, 1, "b"));
            await(() -> node.counters().dropped(MeshCounters.DropReason.UNAUTHENTICATED) == 1);
            // Signed for one connection and sent on another.
            other.send(raw.query(OLD, 1, "b"));
            await(() -> node.counters().dropped(MeshCounters.DropReason.UNAUTHENTICATED) == 2);
        }
        try (RawPeer raw = connect()) {
            raw.send(raw.query(OLD, 1, "c"));
            await(() -> node.counters().dropped(MeshCounters.DropReason.UNAUTHENTICATED) == 3);
        }
        try (RawPeer raw = connect()) {
            byte[] changed = raw.query(OLD, 1, "b");
            int type = changed.length - 35;
            assertThat(changed[type]).isEqualTo((byte) MessageType.CALL_QUERY.getNumber());
            changed[type] = (byte) MessageType.CONFIG_PULL.getNumber();
            raw.send(changed);
            await(() -> node.counters().dropped(MeshCounters.DropReason.UNAUTHENTICATED) == 4);
        }
        try (RawPeer raw = connect()) {
            raw.mOut.writeInt((4 << 20) + 1);
            raw.mOut.flush();
            await(() -> node.counters().dropped(MeshCounters.DropReason.OVERSIZED) == 1);
        }
        assertThat(mHandled).hasValue(0);
        try (RawPeer raw = connect()) {
            byte[] query = raw.query(OLD, 1, "b");
            raw.send(query);
            raw.send(query);
            await(() -> node.counters().dropped(MeshCounters.DropReason.REPLAYED) == 1);
        }
        assertThat(mHandled).hasValue(1);
    }

    /** Guards against peers without a key that fill the memory with the begin of a large frame. */
    @Test
    void aLargeFrameIsNotReadBeforeItsSenderIsAuthenticated() throws Exception {
        MeshNode node = node("b", MeshOptions.DEFAULT, OLD);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPort)) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(3 << 20);
            out.flush();
            await(() -> node.counters().dropped(MeshCounters.DropReason.OVERSIZED) == 1);
        }
        try (RawPeer raw = connect()) {
            CallQuery large =
                    CallQuery.newBuilder().setNonce(ByteString.copyFrom(new byte[3 << 20])).build();
            Envelope.Builder envelope =
                    Envelope.newBuilder()
                            .setSender("raw")
                            .setType(MessageType.CALL_QUERY)
                            .setPayload(large.toByteString())
                            .setSequence(1);
            raw.send(
                    new FrameAuthenticator(raw.mPeerChallenge, raw.mChallenge, "b")
                            .sign(envelope, OLD));
            await(() -> mHandled.get() == 1);
        }
    }

    /**
     * Guards against lost requests while a new key is rolled out to one instance after the other.
     */
    @Test
    void keysAreRotatedWithoutInterruption() throws Exception {
        MeshNode a = node("a", MeshOptions.DEFAULT, OLD);
        final int portOfA = mPort;
        MeshNode b = node("b", MeshOptions.DEFAULT, OLD);
        final int portOfB = mPort;
        List<List<MeshKey>> steps = List.of(List.of(OLD, NEW), List.of(NEW, OLD), List.of(NEW));
        for (List<MeshKey> step : steps) {
            for (MeshNode node : List.of(a, b)) {
                node.replaceKeys(step);
                sendRequest(a, "b", portOfB);
                sendRequest(b, "a", portOfA);
            }
        }
        assertThat(mHandled).hasValue(12);
        assertThat(a.counters().framesSent(MessageType.CALL_QUERY)).isEqualTo(6);
        b.replaceKeys(List.of(OLD));
        assertThatThrownBy(() -> sendRequest(a, "b", portOfB))
                .isInstanceOf(ExecutionException.class);
        await(() -> b.counters().dropped(MeshCounters.DropReason.UNAUTHENTICATED) > 0);
    }

    /**
     * Guards against a peer that does not read and exhausts the memory or threads of the sender.
     */
    @Test
    void peerThatDoesNotReadFailsFast() throws Exception {
        MeshOptions small =
                new MeshOptions(4 << 20, 1 << 20, Duration.ofSeconds(1), Duration.ofSeconds(60), 1);
        MeshNode node = node("a", small, OLD);
        CallQuery large =
                CallQuery.newBuilder().setNonce(ByteString.copyFrom(new byte[64 << 10])).build();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            MeshPeer peer = new MeshPeer("raw", "127.0.0.1:" + server.getLocalPort());
            node.send(peer, MessageType.CALL_QUERY, large);
            try (RawPeer raw = new RawPeer(server.accept())) {
                await(() -> node.counters().framesSent(MessageType.CALL_QUERY) == 1);
                for (int i = 0; i < 400; i++) {
                    node.send(peer, MessageType.CALL_QUERY, large);
                }
                await(() -> node.counters().dropped(MeshCounters.DropReason.NOT_SENT) > 100);
                assertThat(raw.mSocket.isClosed()).isFalse();
            }
        }
    }

    /**
     * Guards against idle connections that stay open, and against a peer that is never reconnected.
     */
    @Test
    void idleConnectionIsClosedAndMadeAgain() throws Exception {
        MeshOptions brief =
                new MeshOptions(4 << 20, 1 << 20, Duration.ofSeconds(1), Duration.ofMillis(50), 1);
        MeshNode b = node("b", MeshOptions.DEFAULT, OLD);
        final int port = mPort;
        MeshNode a = node("a", brief, OLD);
        sendRequest(a, "b", port);
        assertThat(a.counters().framesSent(MessageType.HELLO)).isEqualTo(1);
        await(
                () -> {
                    try {
                        sendRequest(a, "b", port);
                        Thread.sleep(120);
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                    return a.counters().framesSent(MessageType.HELLO) == 3;
                });
        b.close();
        assertThatThrownBy(() -> sendRequest(a, "b", port)).isInstanceOf(ExecutionException.class);
        MeshNode again = node("b", MeshOptions.DEFAULT, OLD);
        sendRequest(a, "b", mPort);
        assertThat(again.counters().framesReceived(MessageType.CALL_QUERY)).isEqualTo(1);
    }
}
