package org.gentianwalk.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs generations under crashes, pauses, partitions and late, repeated and lost messages, on a
 * virtual clock. The seed of each run is the number of its generation.
 */
class ReplicaRandomTest {
    private static final int GENERATIONS = 2_000;

    /**
     * Up to 6 instances are in one region, the rest in another; 7 would leave one without a peer.
     */
    private static final int[] SIZES = {6, 8, 9, 10};

    private final List<Long> mResumeNanos = new ArrayList<>();
    private final Map<String, Integer> mEnds = new TreeMap<>();
    private int mSplits;
    private int mSingleFaults;
    private int mClaims;
    private long mReleases;

    private void run(int seed, boolean partitions) {
        SplittableRandom random = new SplittableRandom(seed);
        ReplicaNetwork net = new ReplicaNetwork(SIZES[random.nextInt(SIZES.length)], seed);
        net.mLossShare = random.nextInt(3) == 0 ? random.nextDouble() * 0.05 : 0;
        net.mLateShare = random.nextInt(3) == 0 ? random.nextDouble() * 0.05 : 0;
        GenerationRun generation = new GenerationRun(net, seed);
        generation.start();
        int faults = 1 + random.nextInt(4);
        for (int i = 0; i < faults; i++) {
            long when = net.mNow + 50_000_000 + random.nextLong(2_500_000_000L);
            net.at(when, () -> fault(net, generation, random, partitions));
        }
        net.run(net.mNow + 120_000_000_000L);
        check(seed, generation, partitions);
    }

    private static void fault(
            ReplicaNetwork net,
            GenerationRun generation,
            SplittableRandom random,
            boolean partitions) {
        boolean owner = random.nextBoolean() && net.mMembers.containsKey(generation.mOwner);
        String id = owner ? generation.mOwner : generation.liveInstance();
        int kind = random.nextInt(partitions ? 3 : 2);
        if (kind == 2) {
            if (net.mPartition.isEmpty()) {
                net.mPartitionSince = net.mNow;
                net.mMembers.keySet().stream()
                        .filter(m -> random.nextInt(3) == 0)
                        .forEach(net.mPartition::add);
                net.at(net.mNow + random.nextLong(20_000_000_000L), net.mPartition::clear);
            }
        } else if (kind == 1 && net.mKilled.size() < 2) {
            net.kill(id);
        } else {
            net.pause(id, 300_000_000 + random.nextLong(14_000_000_000L));
        }
    }

    private void check(int seed, GenerationRun generation, boolean partitions) {
        assertThat(generation.mEnd).as("end of generation, seed %d", seed).isNotEmpty();
        mEnds.merge(generation.mEnd, 1, Integer::sum);
        mResumeNanos.addAll(generation.mResumeNanos);
        mClaims += generation.mClaims.size();
        mReleases += generation.mReleases.size();
        boolean split = false;
        for (GenerationRun.Claim claim : generation.mClaims) {
            for (GenerationRun.Release release : generation.mReleases) {
                split |=
                        release.attempt() < claim.attempt()
                                && release.position() >= claim.start()
                                && !release.owner().equals(claim.owner());
            }
        }
        mSplits += split ? 1 : 0;
        ReplicaNetwork net = generation.mNet;
        Set<String> faulty = new HashSet<>(net.mKilled);
        faulty.addAll(net.mPausedUntil.keySet());
        if (!partitions && faulty.size() == 1) {
            mSingleFaults++;
            assertThat(generation.mEnd).as("one instance lost, seed %d", seed).isEqualTo("whole");
        }
        assertThat(split && !partitions).as("released beyond the claim, seed %d", seed).isFalse();
    }

    private void report(String name) {
        mResumeNanos.sort(null);
        System.out.printf(
                "replica: %s, %d generations, ends %s, %d releases, %d takeovers, %d with releases"
                        + " beyond a claim, resume p50 %.2f s, p95 %.2f s, most %.2f s%n",
                name,
                GENERATIONS,
                mEnds,
                mReleases,
                mClaims,
                mSplits,
                mResumeNanos.get(mResumeNanos.size() / 2) / 1e9,
                mResumeNanos.get(mResumeNanos.size() * 95 / 100) / 1e9,
                mResumeNanos.getLast() / 1e9);
        assertThat(mResumeNanos.get(mResumeNanos.size() * 95 / 100))
                .isLessThanOrEqualTo(5_000_000_000L);
    }

    /**
     * Guards against released tokens that are repeated, missing, of a fenced attempt or not
     * replicated.
     */
    @Test
    void deathsPausesAndLostMessages() {
        for (int seed = 1; seed <= GENERATIONS; seed++) {
            run(seed, false);
        }
        report("no partitions, seeds 1..2000");
        assertThat(mClaims).isGreaterThan(500);
        assertThat(mSingleFaults).isGreaterThan(300);
    }

    /**
     * Guards against the same with partitions, where only the lineage check detects diverged
     * output.
     */
    @Test
    void partitions() {
        for (int seed = 10_001; seed <= 10_000 + GENERATIONS; seed++) {
            run(seed, true);
        }
        report("with partitions, seeds 10001..12000");
    }
}
