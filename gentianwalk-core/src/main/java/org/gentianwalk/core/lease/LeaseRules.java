package org.gentianwalk.core.lease;

import java.time.Duration;

/** Times of leases; design, section 5.7. */
public final class LeaseRules {
    /** Validity of a lease from the start of the write that granted or renewed it. */
    public static final Duration DURATION = Duration.ofSeconds(10);

    /** Longest pause of a holder against which engines without fencing are protected. */
    public static final Duration PAUSE_BOUND = Duration.ofSeconds(10);

    static final long DURATION_NANOS = DURATION.toNanos();
    static final long RENEW_INTERVAL_NANOS = Duration.ofSeconds(3).toNanos();

    /**
     * Remaining validity that a holder needs to act; covers the delivery of an order to an engine.
     */
    static final long ACT_MARGIN_NANOS = Duration.ofSeconds(2).toNanos();

    /** Interval between attempts after the store did not answer. */
    static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Interval between reads of another instance's lease; three candidates read 0.6 times a second.
     */
    static final long POLL_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    private LeaseRules() {}
}
