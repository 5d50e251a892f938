package org.gentianwalk.core.config;

import java.time.Duration;

/**
 * How the records of running generations are replicated to other instances.
 *
 * @param copies number of copies in addition to the owner's
 * @param crossRegion whether a copy may be placed in another region
 * @param memoryBytes maximum memory for records held for other instances, bytes
 * @param retention how long a finished generation can still be read
 * @param ackTimeout timeout of an acknowledgement, after which another holder is chosen
 * @param releaseWhenAlone whether tokens are released while no other instance is alive
 */
public record ReplicationRules(
        int copies,
        boolean crossRegion,
        long memoryBytes,
        Duration retention,
        Duration ackTimeout,
        boolean releaseWhenAlone) {
    /** The default settings; equal the defaults of the schema. */
    public static final ReplicationRules DEFAULT =
            new ReplicationRules(
                    1, false, 64L << 20, Duration.ofSeconds(60), Duration.ofMillis(300), true);
}
