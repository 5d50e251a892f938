package org.gentianwalk.core.membership;

import java.time.Duration;

/**
 * Times and bounds of the membership. Defaults come from section 5.5 of the design.
 *
 * @param probeInterval time between two probes of an instance
 * @param directTimeout time to wait for an answer before other members are asked to probe
 * @param probeTimeout time to wait for a direct or indirect answer before a member is suspected
 * @param suspicionTimeout time that a suspected member has to refute the suspicion
 * @param indirectProbers number of other members that are asked to probe
 * @param maxUpdates largest number of updates in one message
 * @param deadRetention how long a dead member is kept and probed as a candidate; longer than the
 *     partitions of an hour that have to heal without the platform's list
 */
public record MembershipOptions(
        Duration probeInterval,
        Duration directTimeout,
        Duration probeTimeout,
        Duration suspicionTimeout,
        int indirectProbers,
        int maxUpdates,
        Duration deadRetention) {
    /** Values used when the settings specify none. */
    public static final MembershipOptions DEFAULT =
            new MembershipOptions(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(300),
                    Duration.ofMillis(900),
                    Duration.ofSeconds(3),
                    2,
                    8,
                    Duration.ofHours(2));

    public MembershipOptions {
        if (directTimeout.compareTo(probeTimeout) >= 0
                || probeTimeout.compareTo(probeInterval) > 0) {
            throw new IllegalArgumentException(
                    "the direct timeout must be below the probe timeout, which must be at most the"
                            + " probe interval");
        }
    }
}
