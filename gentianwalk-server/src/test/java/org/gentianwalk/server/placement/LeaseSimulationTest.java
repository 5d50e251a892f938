package org.gentianwalk.server.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.gentianwalk.core.lease.LeaseRules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two holders' orders taking effect when a lease lapses during a pause. */
class LeaseSimulationTest {
    private static final int SEEDS = 40;
    private static final long SECONDS = 3600;
    private static final double FAULTS = 0.05;

    /** Pauses of up to a minute for engines with fencing, up to the pause bound for the others. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ordersOfAnOldHolderNeverTakeEffectAfterThoseOfTheNewOne(boolean fencing) {
        Duration pause = fencing ? Duration.ofMinutes(1) : LeaseRules.PAUSE_BOUND;
        int changes = 0;
        int refused = 0;
        long held = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            LeaseSimulation.Totals totals = run(seed, fencing, true, pause);
            assertThat(totals.mOldHolderOrders).as("seed %d: %s", seed, totals).isZero();
            changes += totals.mHolderChanges;
            refused += totals.mRefused;
            held += totals.mHeldSeconds;
        }
        System.out.printf(
                "lease, fencing %b, %d seeds of an hour: %d holders, %d old orders refused, held"
                        + " %.1f%% of the time%n",
                fencing, SEEDS, changes, refused, 100.0 * held / (SEEDS * SECONDS));
        assertThat(changes).as("holders change").isGreaterThan(10 * SEEDS);
        assertThat(refused > 0).as("engines with fencing refuse some").isEqualTo(fencing);
    }

    /** The check fails when a new holder does not wait, or when pauses exceed the bound. */
    @Test
    void findsOrdersOfAnOldHolderWithoutTheWaitOrBeyondTheBound() {
        int withoutWait = 0;
        int beyondBound = 0;
        for (long seed = 1; seed <= 5 * SEEDS; seed++) {
            withoutWait += run(seed, false, false, LeaseRules.PAUSE_BOUND).mOldHolderOrders;
            beyondBound += run(seed, false, true, Duration.ofMinutes(3)).mOldHolderOrders;
        }
        System.out.printf(
                "lease, old orders taken: %d without the wait, %d with pauses of 3 min%n",
                withoutWait, beyondBound);
        assertThat(withoutWait).isPositive();
        assertThat(beyondBound).isPositive();
    }

    @Test
    void leaseWithoutFaultsCostsOneWriteInThreeSeconds() {
        LeaseSimulation.Totals totals =
                new LeaseSimulation(
                                new LeaseSimulation.Options(
                                        1, true, true, Duration.ZERO, 0, SECONDS))
                        .run();
        System.out.printf("lease without faults, 1 h: %s%n", totals);
        assertThat(totals.mHolderChanges).isEqualTo(1);
        assertThat(totals.mWrites).isBetween(SECONDS / 3 - 40, SECONDS / 3 + 5);
        assertThat(totals.mReads).as("two watchers, one read in 5 s").isLessThan(SECONDS / 2);
    }

    @Test
    void storeOutageSuspendsTheHolderUntilTheStoreIsBack() {
        LeaseSimulation.Options options =
                new LeaseSimulation.Options(1, true, true, Duration.ZERO, 0, SECONDS);
        Duration outage = Duration.ofMinutes(10);
        LeaseSimulation.Totals totals =
                new LeaseSimulation(options).withOutage(Duration.ofMinutes(20), outage).run();
        System.out.printf("lease, store down for 10 minutes: %s%n", totals);
        long lost = SECONDS - totals.mHeldSeconds;
        assertThat(lost).isBetween(outage.toSeconds() - 10, outage.toSeconds() + 5);
        assertThat(totals.mHolderChanges).as("a new term after the outage").isEqualTo(2);
    }

    private static LeaseSimulation.Totals run(
            long seed, boolean fencing, boolean gated, Duration pause) {
        return new LeaseSimulation(
                        new LeaseSimulation.Options(seed, fencing, gated, pause, FAULTS, SECONDS))
                .run();
    }
}
