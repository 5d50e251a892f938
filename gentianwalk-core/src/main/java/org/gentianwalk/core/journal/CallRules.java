package org.gentianwalk.core.journal;

import java.time.Duration;

/** Times of the call journal. */
final class CallRules {
    /** Time from the start of the first write in which the owner may send; design, 5.3 rule 2. */
    static final long SEND_WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

    /** Time after which another instance treats the outcome as unknown; design, 5.3 rule 3. */
    static final long OWNER_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * Interval between polls of another instance's call: at most 20 reads in {@link
     * #OWNER_TIMEOUT_NANOS}.
     */
    static final long POLL_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Largest number of writes of one intent. A store at its rate limit refuses at once, so without
     * a bound every call would add writes to the overload for the whole send window.
     */
    static final int MAX_CLAIM_WRITES = 3;

    /** Interval between two writes of one intent. */
    static final long CLAIM_RETRY_NANOS = Duration.ofMillis(200).toNanos();

    /** First and longest backoff between writes of an outcome that the store did not confirm. */
    static final long FIRST_BACKOFF_NANOS = Duration.ofSeconds(1).toNanos();

    static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(30).toNanos();

    /** Time after which a caller should retry when the store did not answer. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    /** Time for which a row is kept; design, 5.3. */
    static final Duration RETENTION = Duration.ofDays(7);

    private CallRules() {}
}
