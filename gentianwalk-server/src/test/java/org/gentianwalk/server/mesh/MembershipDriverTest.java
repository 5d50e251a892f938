package org.gentianwalk.server.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.Membership;
import org.gentianwalk.core.membership.MembershipOptions;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.time.Ticker;
import org.junit.jupiter.api.Test;

/** Tests the membership of three instances over loopback sockets. */
class MembershipDriverTest {
    private static final MeshKey KEY = new MeshKey("k", "0123456789abcdef".getBytes());

    private record Node(
            MeshNode mesh,
            MembershipDriver driver,
            InstanceList.Entry entry,
            ScheduledExecutorService control) {
        void close() {
            driver.close();
            control.shutdownNow();
            mesh.close();
        }
    }

    private static Node node(String id) throws MeshException {
        MeshNode mesh =
                new MeshNode(
                        new MeshSender(id, 1),
                        List.of(KEY),
                        MeshOptions.DEFAULT,
                        new MetricRegistry());
        int port = mesh.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Location location = new Location("r", "z");
        String address = "127.0.0.1:" + port;
        Member self = new Member(id, address, location, 1, 0, Member.Health.ALIVE, false, 0);
        ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
        Membership membership = new Membership(self, MembershipOptions.DEFAULT, id.hashCode());
        MembershipDriver driver = new MembershipDriver(membership, mesh, control, Ticker.system());
        driver.start();
        InstanceList.Entry entry =
                new InstanceList.Entry(
                        id, InstanceList.Kind.INSTANCE, address, location, InstanceList.State.LIVE);
        return new Node(mesh, driver, entry, control);
    }

    private static double await(String what, BooleanSupplier condition)
            throws InterruptedException {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertThat((System.nanoTime() - start) / 1e9).as("wait for %s", what).isLessThan(30);
            Thread.sleep(10);
        }
        return (System.nanoTime() - start) / 1e9;
    }

    /** Guards against probes, configuration versions or leave announcements that are not sent. */
    @Test
    void membersFindEachOtherLeaveAndDie() throws Exception {
        List<Node> nodes = new ArrayList<>(List.of(node("a"), node("b"), node("c")));
        try {
            Node a = nodes.get(0);
            // Only a has the platform's list; the others discover the members through a.
            a.driver().applyInstanceList(nodes.stream().map(Node::entry).toList());
            for (Node node : nodes) {
                await("three members", () -> node.driver().view().members().size() == 3);
            }
            nodes.get(1).driver().announceConfigVersion(7);
            await("the version of b", () -> version(a, "b") == 7);
            nodes.get(2).driver().leave();
            final double left = await("c leaving", () -> a.driver().view().usable().size() == 2);
            nodes.remove(2).close();
            final double dead = await("c dead", () -> a.driver().view().members().size() == 2);
            System.out.printf(
                    "membership: loopback, 3 members, leaving known after %.1f s, death after"
                            + " %.1f s%n",
                    left, dead);
            assertThat(a.driver().view().find("b")).isPresent();
        } finally {
            nodes.forEach(Node::close);
        }
    }

    private static long version(Node node, String id) {
        return node.driver().view().find(id).map(Member::configVersion).orElse(-1L);
    }
}
