package org.gentianwalk.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.server.mesh.MeshKey;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshOptions;
import org.gentianwalk.server.mesh.MeshPeer;
import org.gentianwalk.server.mesh.MeshSender;
import org.junit.jupiter.api.Test;

/** Guards against pulls of tables that wait for instances which have none. */
class TableExchangeTest {
    private static final List<MeshKey> KEYS =
            List.of(new MeshKey("key", "0123456789abcdef".getBytes()));

    /** Instances that start together would otherwise wait for each other until the time limit. */
    @Test
    void anInstanceWithoutATableSaysSo() throws Exception {
        try (MeshNode asked = node("b");
                MeshNode asking = node("a")) {
            int port = asked.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            new TableExchange(asked, member("b", port), Runnable::run, new Random(1));
            TableExchange exchange =
                    new TableExchange(asking, member("a", 1), Runnable::run, new Random(1));
            exchange.setListed(List.of(MeshPeer.of(member("b", port))));

            Result result = exchange.pull("table").toCompletableFuture().get(10, TimeUnit.SECONDS);

            assertThat(result).isInstanceOf(Result.Failed.class);
            assertThat(asking.counters().framesReceived(MessageType.TABLE_NEWS))
                    .as("responses to the pull")
                    .isEqualTo(1);
        }
    }

    private static Member member(String id, int port) {
        return new Member(
                id,
                "127.0.0.1:" + port,
                new Location("region", "zone"),
                1,
                0,
                Member.Health.ALIVE,
                false,
                0);
    }

    private static MeshNode node(String id) {
        return new MeshNode(new MeshSender(id, 1), KEYS, MeshOptions.DEFAULT, new MetricRegistry());
    }
}
