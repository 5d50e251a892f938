package org.gentianwalk.core.lease;

import org.gentianwalk.proto.LeaseRecord;

/** What the driver of a lease has to do next. */
public sealed interface LeaseAction {
    /** Reads the lease's row. */
    record ReadRow(String key) implements LeaseAction {}

    /** Writes the lease's row if it has the expected version. */
    record WriteRow(String key, long expected, LeaseRecord value) implements LeaseAction {}

    /** Waits for a reading of the monotonic clock. */
    record Wait(long untilNanos) implements LeaseAction {}
}
