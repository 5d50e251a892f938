package org.gentianwalk.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.model.Location.Distance;

/**
 * Selects upstreams in turn, in proportion to their free capacity (smooth weighted round robin).
 * Many instances that know the same old loads would all choose the upstream that was the least
 * loaded one. In turn, each instance loads all upstreams evenly by itself, also without knowledge
 * of the others.
 */
final class BalancedPlacement implements PlacementPolicy {
    /** Round trip time between regions, milliseconds. */
    private static final double REGION_ROUND_TRIP_MILLIS = 25;

    /** Least free fraction; a full upstream still gets some requests, as its load may be old. */
    private static final double MIN_FREE = 0.05;

    /**
     * Exponent of the free fraction. Reported loads are old, and all instances follow them: with
     * 0.5, the load swings between upstreams when reports are 3 s old.
     */
    private static final double FREE_EXPONENT = 0.25;

    /** Maximum load that is used for the expected wait, which grows without bound at 1. */
    private static final double MAX_LOAD = 0.98;

    /**
     * Weight of the present load of the own region in its average. Queues come and go within a
     * second; instances that follow them would all move to the other region at the same time.
     */
    private static final double LOAD_WEIGHT = 0.03;

    /** Bound on the turns that an upstream is ahead or behind, such as after an absence. */
    private static final double MAX_CREDIT = 1.5;

    /** Number of absent upstreams whose turns are kept. */
    private static final int MAX_ABSENT = 64;

    private final RandomGenerator mRandom;

    /** Turns by which each upstream has had less than its part. */
    private final Map<String, Double> mCredits = new HashMap<>();

    private double mNearLoad;

    BalancedPlacement(RandomGenerator random) {
        mRandom = random;
    }

    @Override
    public int select(List<Candidate> candidates, double meanMillis) {
        if (mCredits.size() > 2 * candidates.size() + MAX_ABSENT) {
            // Upstreams that have left the list.
            mCredits.clear();
        }
        double[] weights = weights(candidates, meanMillis);
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        int best = -1;
        double bestCredit = 0;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] <= 0) {
                continue;
            }
            double credit =
                    Math.min(MAX_CREDIT, credit(candidates.get(i).upstream()) + weights[i] / sum);
            mCredits.put(candidates.get(i).upstream().id(), credit);
            if (best < 0 || credit > bestCredit) {
                best = i;
                bestCredit = credit;
            }
        }
        mCredits.put(candidates.get(best).upstream().id(), Math.max(-MAX_CREDIT, bestCredit - 1));
        return best;
    }

    /** Instances start at different upstreams. */
    private double credit(Upstream upstream) {
        return mCredits.computeIfAbsent(upstream.id(), id -> mRandom.nextDouble());
    }

    private double[] weights(List<Candidate> candidates, double meanMillis) {
        double minPenalty = Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            minPenalty = Math.min(minPenalty, candidate.penalty());
        }
        double far = farShare(candidates, minPenalty + meanMillis, meanMillis);
        double[] weights = new double[candidates.size()];
        for (int i = 0; i < weights.length; i++) {
            Candidate candidate = candidates.get(i);
            if (candidate.penalty() > minPenalty + meanMillis) {
                continue;
            }
            double free = Math.max(MIN_FREE, 1 - candidate.load());
            weights[i] =
                    candidate.upstream().slots()
                            * candidate.speed()
                            * Math.pow(free, FREE_EXPONENT)
                            * (candidate.distance() == Distance.OTHER_REGION ? far : 1);
        }
        return weights;
    }

    /**
     * Returns the factor of upstreams in the other region. They get requests when the wait at home
     * exceeds their wait and twice the round trip.
     */
    private double farShare(List<Candidate> candidates, double maxPenalty, double meanMillis) {
        double nearLoad = load(candidates, maxPenalty, false);
        double farLoad = load(candidates, maxPenalty, true);
        if (nearLoad < 0) {
            return 1;
        }
        mNearLoad += LOAD_WEIGHT * (nearLoad - mNearLoad);
        double slots = candidates.getFirst().upstream().slots();
        double near = waitMillis(mNearLoad, slots, meanMillis);
        double far = waitMillis(Math.max(0, farLoad), slots, meanMillis);
        // The estimate of one instance is rough, and the wait grows steeply with the load.
        double gain = near - far - 2 * REGION_ROUND_TRIP_MILLIS;
        return Math.min(1, Math.max(0, gain / REGION_ROUND_TRIP_MILLIS));
    }

    /** Returns the load of the upstreams of the own region or of others; -1 without any. */
    private static double load(List<Candidate> candidates, double maxPenalty, boolean far) {
        double slots = 0;
        double load = 0;
        for (Candidate candidate : candidates) {
            boolean isFar = candidate.distance() == Distance.OTHER_REGION;
            if (isFar == far && candidate.penalty() <= maxPenalty) {
                slots += candidate.upstream().slots();
                load += candidate.load() * candidate.upstream().slots();
            }
        }
        return slots == 0 ? -1 : load / slots;
    }

    /** Returns the expected wait by Sakasegawa's approximation for queues with several servers. */
    private static double waitMillis(double load, double slots, double meanMillis) {
        double utilization = Math.min(MAX_LOAD, load);
        return meanMillis
                * Math.pow(utilization, Math.sqrt(2 * (slots + 1)) - 1)
                / (slots * (1 - utilization));
    }
}
