package org.gentianwalk.core.policy;

import org.gentianwalk.core.error.ServeError;

/** Result of offering work to a scheduler. */
public sealed interface OfferResult {
    /**
     * The work is queued.
     *
     * @param ahead tokens of work queued ahead of it
     */
    record Queued(long ahead) implements OfferResult {}

    /**
     * The work is refused; nothing was sent to an upstream.
     *
     * @param error the error for the caller
     */
    record Refused(ServeError error) implements OfferResult {}
}
