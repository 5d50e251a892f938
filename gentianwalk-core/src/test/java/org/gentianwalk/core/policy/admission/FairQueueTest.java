package org.gentianwalk.core.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class FairQueueTest {
    /** Guards against dividing capacity by the number of requests instead of tokens and weight. */
    @Test
    void backloggedTeamsGetTokensByWeight() {
        FairQueue<String> queue = new FairQueue<>();
        for (int i = 0; i < 600; i++) {
            queue.add("small-requests", 1, "small-requests", 100);
            queue.add("large-requests", 1, "large-requests", 400);
            queue.add("double-weight", 2, "double-weight", 200);
        }
        Map<String, Double> served = new TreeMap<>();
        double total = 0;
        while (total < 40_000) {
            String team = queue.nextItem(item -> true);
            assertThat(team).isNotNull();
            double cost = team.startsWith("small") ? 100 : team.startsWith("large") ? 400 : 200;
            queue.remove(team, team);
            queue.charge(team, team.startsWith("double") ? 2 : 1, cost);
            served.merge(team, cost, Double::sum);
            total += cost;
        }
        assertThat(served.get("small-requests")).isBetween(9_500.0, 10_500.0);
        assertThat(served.get("large-requests")).isBetween(9_500.0, 10_500.0);
        assertThat(served.get("double-weight")).isBetween(19_000.0, 21_000.0);
    }

    /** Guards against dropping the only request of a small team while another team has several. */
    @Test
    void onlyRequestOfATeamIsDroppedLast() {
        FairQueue<String> queue = new FairQueue<>();
        queue.add("small", 1, "s", 5_000);
        queue.add("large", 1, "l1", 100);
        queue.add("large", 1, "l2", 100);
        assertThat(queue.dropCandidate()).isEqualTo("l2");
        queue.remove("large", "l2");
        queue.charge("large", 1, 100);
        assertThat(queue.dropCandidate()).isEqualTo("l1");
    }
}
