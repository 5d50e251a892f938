package org.gentianwalk.core.hash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.model.Location;
import org.junit.jupiter.api.Test;

/** Guards against uneven key distribution, unstable rankings and keys that move needlessly. */
class RendezvousTest {
    private record Node(String id, Location location) {}

    private static List<Node> nodes(int count) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(new Node("node-" + i, new Location("r" + i % 2, "z" + i % 4)));
        }
        return nodes;
    }

    private static Rendezvous<Node> table(List<Node> nodes) {
        return new Rendezvous<>(nodes, Node::id, Node::location);
    }

    @Test
    void keysAreSpreadEvenlyAndOnlyThoseOfARemovedMemberMove() {
        List<Node> nodes = nodes(20);
        Rendezvous<Node> all = table(nodes);
        Rendezvous<Node> fewer = table(nodes.subList(1, 20).reversed());
        Map<Node, Integer> shares = new HashMap<>();
        for (int i = 0; i < 20_000; i++) {
            Node first = all.top("team/" + i, 1).getFirst();
            shares.merge(first, 1, Integer::sum);
            if (!first.id().equals("node-0")) {
                assertThat(fewer.top("team/" + i, 1)).containsExactly(first);
            }
        }
        assertThat(shares).hasSize(20);
        assertThat(shares.values()).allMatch(share -> share > 850 && share < 1_150);
    }

    @Test
    void zonesAndRegionsAreRankedSeparately() {
        Rendezvous<Node> table = table(nodes(20));
        assertThat(table.topOfZone("z1", "k", 9))
                .hasSize(5)
                .allMatch(node -> node.location().availabilityZone().equals("z1"));
        assertThat(table.topOfRegion("r1", "k", 99)).hasSize(10);
        assertThat(table.topOfRegion("r1", "k", 2))
                .isEqualTo(table.topOfRegion("r1", "k", 99).subList(0, 2));
        assertThat(table.zones("r0", "k")).containsExactlyInAnyOrder("z0", "z2");
        assertThat(table.zones("none", "k")).isEmpty();
        assertThat(table.topOfZone("none", "k", 1)).isEmpty();
    }
}
