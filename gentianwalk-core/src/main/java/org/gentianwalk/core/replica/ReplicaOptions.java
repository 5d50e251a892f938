package org.gentianwalk.core.replica;

import java.time.Duration;

/**
 * Times and bounds of the replication of generations. Defaults come from section 5.2 of the design.
 *
 * @param maxBytes memory for records that this instance holds for others, bytes
 * @param retention how long a finished record is kept
 * @param orphanRetention how long an unfinished record or a claim is kept without updates; much
 *     longer than the 10 s after which an owner without an acknowledgement fences itself
 * @param ackTimeout time to wait for a holder's acknowledgement before another holder is chosen
 * @param candidateTimeout longest time that a takeover waits for a candidate that is alive but does
 *     not answer
 * @param acrossRegions whether copies may go to another region
 * @param releaseWhenAlone whether tokens may be released without a copy when no other instance that
 *     could hold one is alive
 */
public record ReplicaOptions(
        long maxBytes,
        Duration retention,
        Duration orphanRetention,
        Duration ackTimeout,
        Duration candidateTimeout,
        boolean acrossRegions,
        boolean releaseWhenAlone) {
    /** Values used when the settings specify none. */
    public static final ReplicaOptions DEFAULT =
            new ReplicaOptions(
                    64L << 20,
                    Duration.ofSeconds(60),
                    Duration.ofMinutes(10),
                    Duration.ofMillis(300),
                    Duration.ofMillis(800),
                    false,
                    true);

    /**
     * Returns the age above which an acknowledgement is ignored. A takeover waits for the previous
     * owner equally long, so that this owner can't release tokens that a lost holder had
     * acknowledged.
     *
     * @return twice the acknowledgement timeout, since an item may wait for the frame before its
     *     own
     */
    public Duration ackLifetime() {
        return ackTimeout().multipliedBy(2);
    }
}
