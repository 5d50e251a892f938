package org.gentianwalk.core.policy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.gentianwalk.core.policy.PolicyOptions;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final PolicyOptions.Retry OPTIONS = PolicyOptions.defaults().retry();

    /** Guards against retries that multiply the load while everything fails. */
    @Test
    void furtherAttemptsStayWithinTheShareOfTraffic() {
        RetryBudget budget = new RetryBudget(OPTIONS);
        int further = 0;
        for (int i = 0; i < 10_000; i++) {
            String team = "t" + i % 50;
            budget.recordFirstAttempt(team);
            while (budget.isAvailable(team)) {
                budget.recordRetry(team);
                further++;
            }
        }
        assertThat(further).isBetween(900, 1_000 + OPTIONS.burst());
    }

    /** Guards against one failing team using up the retry budget of all others. */
    @Test
    void oneTeamCannotUseTheWholeBudget() {
        RetryBudget budget = new RetryBudget(OPTIONS);
        int further = 0;
        while (budget.isAvailable("failing")) {
            budget.recordRetry("failing");
            further++;
        }
        assertThat(further).isEqualTo(OPTIONS.teamBurst());
        assertThat(budget.isAvailable("other")).isTrue();
    }
}
