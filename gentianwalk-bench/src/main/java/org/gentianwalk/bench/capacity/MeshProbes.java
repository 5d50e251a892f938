package org.gentianwalk.bench.capacity;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.proto.ConfigContent;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.mesh.MeshKey;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshOptions;
import org.gentianwalk.server.mesh.MeshPeer;
import org.gentianwalk.server.mesh.MeshSender;

/**
 * Measures the CPU time of a request and its reply over the mesh on loopback, including sealing,
 * both ends and the kernel. It covers the whole process, since Netty's threads do the work.
 */
final class MeshProbes {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int IN_FLIGHT = 16;

    private final int mRequests;

    MeshProbes(boolean quick) {
        mRequests = quick ? 2_000 : 20_000;
    }

    List<CapacityProbe> all() {
        return List.of(
                new Probe(
                        "mesh",
                        "processor time of a request and its reply, both ends, µs",
                        "bytes of the message",
                        new int[] {128, 1_024, 8_192, 32_768},
                        128,
                        this::measureRequest));
    }

    private double measureRequest(int bytes) throws Exception {
        List<MeshKey> keys = List.of(new MeshKey("k1", new byte[32]));
        try (MeshNode server = createNode("server", keys);
                MeshNode client = createNode("client", keys)) {
            server.registerHandler(
                    MessageType.CONFIG_CONTENT,
                    ConfigContent.parser(),
                    (sender, message, reply) ->
                            reply.send(
                                    MessageType.CONFIG_CONTENT,
                                    ConfigContent.getDefaultInstance()));
            int port = server.listen(new InetSocketAddress("127.0.0.1", 0));
            MeshPeer peer = new MeshPeer("server", "127.0.0.1:" + port);
            ConfigContent message =
                    ConfigContent.newBuilder()
                            .setDeflated(ByteString.copyFrom(new byte[bytes]))
                            .build();
            sendRequests(client, peer, message);
            OperatingSystemMXBean process =
                    ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
            long started = process.getProcessCpuTime();
            sendRequests(client, peer, message);
            return (process.getProcessCpuTime() - started) / 1_000.0 / mRequests;
        }
    }

    private void sendRequests(MeshNode client, MeshPeer peer, ConfigContent message)
            throws Exception {
        for (int i = 0; i < mRequests; i += IN_FLIGHT) {
            List<CompletableFuture<ConfigContent>> replies = new ArrayList<>();
            for (int number = 0; number < IN_FLIGHT; number++) {
                replies.add(
                        client.request(
                                peer,
                                MessageType.CONFIG_CONTENT,
                                message,
                                ConfigContent.parser(),
                                TIMEOUT));
            }
            for (CompletableFuture<ConfigContent> reply : replies) {
                reply.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            }
        }
    }

    private static MeshNode createNode(String id, List<MeshKey> keys) throws MeshException {
        return new MeshNode(new MeshSender(id, 1), keys, MeshOptions.DEFAULT, new MetricRegistry());
    }
}
