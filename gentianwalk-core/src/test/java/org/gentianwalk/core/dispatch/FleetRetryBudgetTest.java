package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.SECOND;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against retries that multiply the load of a failing service. */
class FleetRetryBudgetTest {
    private static final RetryBounds BOUNDS = new RetryBounds(0.8, 150, Duration.ofSeconds(10));

    @Test
    void withoutReportsInstancesStayWithinTheFleetLimit() {
        int instances = 9;
        int requests = 100;
        int retries = 0;
        for (int i = 0; i < instances; i++) {
            FleetRetryBudget budget = new FleetRetryBudget(BOUNDS);
            budget.instances(instances);
            for (int request = 0; request < requests; request++) {
                budget.recordRequest(request);
            }
            while (budget.tryRetry(requests)) {
                retries++;
            }
        }

        assertThat(retries).isLessThanOrEqualTo((int) (0.8 * requests * instances + 150));
    }

    /** When all losses occur at one instance, it may use the budget of the others. */
    @Test
    void oneInstanceMayUseTheBudgetOfTheWholeFleet() {
        FleetRetryBudget budget = new FleetRetryBudget(BOUNDS);
        budget.instances(9);
        for (int i = 0; i < 8; i++) {
            budget.recordPeerUsage("peer-" + i, new FleetRetryBudget.Usage(10, 0));
        }
        int retries = 0;
        while (budget.tryRetry(0)) {
            retries++;
        }

        assertThat(retries).isBetween(100, (int) (0.8 * 80 + 150));
    }

    @Test
    void retriesOfPeersCountAgainstTheBudget() {
        FleetRetryBudget budget = new FleetRetryBudget(BOUNDS);
        budget.instances(2);
        budget.recordPeerUsage("peer", new FleetRetryBudget.Usage(0, 150));

        assertThat(budget.tryRetry(0)).isFalse();
    }

    @Test
    void retriesExpireWithTheSlidingWindow() {
        FleetRetryBudget budget = new FleetRetryBudget(new RetryBounds(1, 2, BOUNDS.window()));
        assertThat(budget.tryRetry(0)).isTrue();
        assertThat(budget.tryRetry(0)).isFalse();
        assertThat(budget.tryRetry(9 * SECOND)).isFalse();
        assertThat(budget.tryRetry(10 * SECOND)).isTrue();
    }
}
