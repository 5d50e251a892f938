package org.gentianwalk.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.membership.MemberNetwork.id;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.platform.InstanceList;
import org.junit.jupiter.api.Test;

/** Tests membership on a virtual clock. The seed of each run is in the test. */
class MembershipTest {
    private static final Duration STEP = Duration.ofMillis(100);

    private static MemberNetwork settledNetwork(int count, long seed) {
        MemberNetwork network = new MemberNetwork(count, seed);
        for (int i = 0; i < 600 && !network.isComplete(); i++) {
            network.run(STEP);
        }
        assertThat(network.isComplete()).as("%d members see each other", count).isTrue();
        return network;
    }

    private static double secondsUntilUnseen(MemberNetwork network, String id) {
        long start = network.mNow;
        while (network.countSeenBy(id) > 0 && network.mNow - start < 60_000_000_000L) {
            network.run(STEP);
        }
        return (network.mNow - start) / 1e9;
    }

    /** Guards against deaths that are detected late or by some members only. */
    @Test
    void deathIsDetectedByAll() {
        List<Double> times = new ArrayList<>();
        for (int seed = 1; seed <= 20; seed++) {
            MemberNetwork network = settledNetwork(9, seed);
            network.mKilled.add(id(seed % 9));
            times.add(secondsUntilUnseen(network, id(seed % 9)));
        }
        times.sort(null);
        System.out.printf(
                "membership: 9 members, seeds 1..20, death known to all after %.1f s (median),"
                        + " %.1f s (most)%n",
                times.get(10), times.getLast());
        assertThat(times.getLast()).isBetween(3.0, 12.0);
    }

    /** Guards against the removal of live members by a lossy network or by a paused member. */
    @Test
    void nobodyIsRemovedFalselyByLossOrByAPausedMember() {
        MemberNetwork network = settledNetwork(16, 7);
        network.mLossShare = 0.05;
        for (int i = 0; i < 1_200; i++) {
            network.run(STEP);
            assertThat(network.isComplete()).as("step %d", i).isTrue();
        }
        network.mLossShare = 0;
        // Suspected, but back before the suspicion timeout of 3 s has passed.
        network.mPausedUntil.put(id(3), network.mNow + 2_500_000_000L);
        network.run(Duration.ofSeconds(10));
        assertThat(network.isComplete()).isTrue();
        // Correctly removed; on its return it must suspect nobody due to its own pause and be
        // readmitted.
        network.mPausedUntil.put(id(3), network.mNow + 20_000_000_000L);
        network.run(Duration.ofSeconds(19));
        assertThat(network.countSeenBy(id(3))).isZero();
        for (int i = 0; i < 100; i++) {
            network.run(STEP);
            for (int other = 0; other < 16; other++) {
                if (other != 3) {
                    assertThat(network.countSeenBy(id(other))).isGreaterThanOrEqualTo(15L);
                }
            }
        }
        assertThat(network.isComplete()).isTrue();
    }

    /**
     * Guards against members that stay separate, or lose each other, after a partition of an hour.
     */
    @Test
    void partitionHeals() {
        MemberNetwork network = settledNetwork(24, 11);
        Map<String, Integer> side = new HashMap<>();
        for (int i = 0; i < 24; i++) {
            side.put(id(i), i % 2);
        }
        network.mConnected = (a, b) -> side.get(a).equals(side.get(b));
        network.run(Duration.ofHours(1));
        assertThat(network.mNodes.get(id(0)).view().members()).hasSize(12);
        network.mConnected = (a, b) -> true;
        long start = network.mNow;
        while (!network.isComplete() && network.mNow - start < 60_000_000_000L) {
            network.run(STEP);
            for (int i = 0; i < 24; i++) {
                assertThat(network.mNodes.get(id(i)).view().members().size())
                        .as("members seen by %d while healing", i)
                        .isGreaterThanOrEqualTo(12);
            }
        }
        System.out.printf(
                "membership: 24 members, seed 11, partition of 1 h healed after %.1f s%n",
                (network.mNow - start) / 1e9);
        assertThat(network.isComplete()).isTrue();
    }

    /** Guards against a leaving mark that is lost, or that outlives its incarnation. */
    @Test
    void leavingIsStickyForItsIncarnation() {
        MemberNetwork network = settledNetwork(6, 3);
        List<InstanceList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            entries.add(
                    MemberNetwork.entry(
                            id(i), i == 2 ? InstanceList.State.LEAVING : InstanceList.State.LIVE));
        }
        network.mNodes.get(id(0)).onInstanceList(network.mNow, entries);
        network.run(Duration.ofSeconds(3));
        for (int i = 0; i < 6; i++) {
            MemberView view = network.mNodes.get(id(i)).view();
            assertThat(view.find(id(2)).orElseThrow().leaving()).as("seen by %d", i).isTrue();
            assertThat(view.usable()).hasSize(5);
        }
        network.mPausedUntil.put(id(2), network.mNow + 2_500_000_000L);
        network.run(Duration.ofSeconds(8));
        assertThat(network.mNodes.get(id(5)).view().usable()).hasSize(5);
        network.add(id(2), 2_000);
        network.mNodes.get(id(0)).onInstanceList(network.mNow, entries.subList(0, 2));
        network.run(Duration.ofSeconds(8));
        assertThat(network.mNodes.get(id(5)).view().usable()).hasSize(6);
    }

    /** Guards against cost that grows with the fleet, and against versions that do not spread. */
    @Test
    void costDoesNotGrowWithTheFleet() {
        Map<Integer, Double> rates = new HashMap<>();
        for (int count : new int[] {8, 32, 128, 350}) {
            MemberNetwork network = settledNetwork(count, 5);
            // The updates about the members that joined at the start have to be sent first.
            network.run(Duration.ofSeconds(300));
            network.mBytes.clear();
            network.run(Duration.ofSeconds(30));
            long sum = network.mBytes.values().stream().mapToLong(Long::longValue).sum();
            rates.put(count, sum / 30.0 / count);
            network.mBytes.clear();
            network.mKilled.add(id(1));
            network.run(Duration.ofSeconds(20));
            long busy = network.mBytes.values().stream().mapToLong(Long::longValue).sum();
            System.out.printf(
                    "membership: %d members, seed 5, %.0f B/s sent per member when quiet,"
                            + " %.0f B/s in the 20 s after a death%n",
                    count, rates.get(count), busy / 20.0 / count);
            assertThat(network.isComplete()).isTrue();
        }
        assertThat(rates.get(350)).isLessThan(1.3 * rates.get(8));
    }
}
