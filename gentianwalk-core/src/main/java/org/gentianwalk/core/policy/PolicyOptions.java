package org.gentianwalk.core.policy;

import java.time.Duration;

/**
 * Options of the scheduling policy. Example: {@code PolicyOptions.defaults()}.
 *
 * @param admission queue and rank options
 * @param fairness options of fairness across instances
 * @param routing options of engine selection
 * @param health options of engine health checks and ejection
 * @param retry options of retry budgets and suspect requests
 */
public record PolicyOptions(
        Admission admission, Fairness fairness, Routing routing, Health health, Retry retry) {
    /**
     * Returns the default options.
     *
     * @return the default options
     */
    public static PolicyOptions defaults() {
        return new PolicyOptions(
                new Admission(0.1, Duration.ofSeconds(2), 0.05, 0.1, 1, 0.125),
                new Fairness(Duration.ofSeconds(2), 12, Duration.ofSeconds(8), 0.9),
                new Routing(3, 8, 16_384, Duration.ofMillis(250), 2_500_000, 5, 200, 0.5),
                new Health(Duration.ofSeconds(2), 12, 1.0 / 3, Duration.ofSeconds(2)),
                new Retry(0.1, 64, 16, 8, 4_096, Duration.ofMinutes(10), Duration.ofHours(1)));
    }

    /**
     * Options of admission and of the queues.
     *
     * @param standardShare share of the capacity reserved for standard work, from 0 to 1
     * @param queueTimeout maximum time in the queue before work is refused
     * @param promptTokenCost cost of a prompt token relative to an output token; prefill processes
     *     about 20 times as many tokens per second as decoding
     * @param cachedTokenCost cost of a prompt token found in a prefix cache relative to one that is
     *     not
     * @param engineQueue generations allowed in an engine's own queue, so that its batch stays full
     *     between two load reports
     * @param urgentReserve share of an engine's slots reserved for urgent work while the pool
     *     receives any
     */
    public record Admission(
            double standardShare,
            Duration queueTimeout,
            double promptTokenCost,
            double cachedTokenCost,
            int engineQueue,
            double urgentReserve) {
        public Admission {
            requirePart("standardShare", standardShare);
            requirePositive("queueTimeout", queueTimeout);
            requirePart("promptTokenCost", promptTokenCost);
            requirePart("cachedTokenCost", cachedTokenCost);
            requireAtLeast("engineQueue", engineQueue, 0);
            requirePart("urgentReserve", urgentReserve);
        }
    }

    /**
     * Options of fairness across instances.
     *
     * @param period interval between usage reports
     * @param heavyTeams maximum number of teams reported individually for each pool and rank
     * @param window averaging window of demand
     * @param capacityFactor factor on the nominal capacity when levels are computed
     */
    public record Fairness(
            Duration period, int heavyTeams, Duration window, double capacityFactor) {
        public Fairness {
            requirePositive("period", period);
            requireAtLeast("heavyTeams", heavyTeams, 1);
            requirePositive("window", window);
            requireAtLeast("capacityFactor", capacityFactor, 0.1);
        }
    }

    /**
     * Options of routing.
     *
     * @param choices engines sampled at random for each decision
     * @param subset number of engines that one instance uses of a pool with more than 32 engines in
     *     a region
     * @param prefixEntries maximum number of entries in the prefix index
     * @param reportLag age of a load report on receipt
     * @param linkBytesPerSecond bandwidth of the link between regions for the whole region; the
     *     default is 20 Mbit/s
     * @param bytesPerPromptToken size of a prompt token on the link
     * @param bytesPerOutputToken size of an output token on the link with its event framing
     * @param urgentLinkShare share of the link's budget reserved for urgent work
     */
    public record Routing(
            int choices,
            int subset,
            int prefixEntries,
            Duration reportLag,
            long linkBytesPerSecond,
            int bytesPerPromptToken,
            int bytesPerOutputToken,
            double urgentLinkShare) {
        public Routing {
            requireAtLeast("choices", choices, 1);
            requireAtLeast("subset", subset, 1);
            requireAtLeast("prefixEntries", prefixEntries, 1);
            requireAtLeast("linkBytesPerSecond", linkBytesPerSecond, 0);
            requirePart("urgentLinkShare", urgentLinkShare);
        }
    }

    /**
     * Options of engine health checks.
     *
     * @param stallTimeout maximum time without a token before an engine counts as stalled
     * @param gapFactor multiple of the pool's median token gap after which an engine counts as
     *     stalled
     * @param ejectedPart maximum share of a pool's engines ejected at the same time
     * @param ejection time until an ejected engine is sent its probation request
     */
    public record Health(
            Duration stallTimeout, double gapFactor, double ejectedPart, Duration ejection) {
        public Health {
            requirePositive("stallTimeout", stallTimeout);
            requireAtLeast("gapFactor", gapFactor, 1);
            requirePart("ejectedPart", ejectedPart);
            requirePositive("ejection", ejection);
        }
    }

    /**
     * Options of retries and suspect requests.
     *
     * @param share retries as a share of first attempts
     * @param burst maximum retry credit in total
     * @param teamBurst maximum retry credit of one team
     * @param maxAttempts maximum number of attempts of one generation
     * @param suspectEntries maximum number of suspects kept
     * @param suspectLifetime time after which a suspect expires
     * @param convictionLifetime time after which a conviction expires
     */
    public record Retry(
            double share,
            int burst,
            int teamBurst,
            int maxAttempts,
            int suspectEntries,
            Duration suspectLifetime,
            Duration convictionLifetime) {
        public Retry {
            requirePart("share", share);
            requireAtLeast("burst", burst, 1);
            requireAtLeast("teamBurst", teamBurst, 1);
            requireAtLeast("maxAttempts", maxAttempts, 1);
            requireAtLeast("suspectEntries", suspectEntries, 1);
            requirePositive("suspectLifetime", suspectLifetime);
            requirePositive("convictionLifetime", convictionLifetime);
        }
    }

    private static void requirePart(String name, double value) {
        if (!(value >= 0 && value <= 1)) {
            throw new IllegalArgumentException(name + " must be from 0 to 1, not " + value);
        }
    }

    private static void requireAtLeast(String name, double value, double least) {
        if (!(value >= least)) {
            throw new IllegalArgumentException(
                    name + " must be at least " + least + ", not " + value);
        }
    }

    private static void requirePositive(String name, Duration value) {
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(name + " must be positive, not " + value);
        }
    }
}
