package org.gentianwalk.core.lease;

import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.WriteResult;

/** An input of {@link LeaseHolder}; each reports the result of the last {@link LeaseAction}. */
public sealed interface LeaseEvent {
    /** Starts the state machine; also the result of {@link LeaseAction.Wait}. */
    record TimerFired() implements LeaseEvent {}

    /** Result of {@link LeaseAction.ReadRow}. */
    record ReadReturned(ReadResult result) implements LeaseEvent {}

    /** Result of {@link LeaseAction.WriteRow}. */
    record WriteReturned(WriteResult result) implements LeaseEvent {}
}
