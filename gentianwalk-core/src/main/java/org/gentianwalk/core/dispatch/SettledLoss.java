package org.gentianwalk.core.dispatch;

import java.time.Duration;

/**
 * The loss of an upstream under a request, once it is known whether it counts.
 *
 * @param process identifier of the upstream's process
 * @param requestId identifier of the request
 * @param sign what settled it
 * @param after time between the loss and that sign
 * @param recognizable whether the request is recognized when it comes again, so that the loss can
 *     be held against it
 */
public record SettledLoss(
        String process, String requestId, Sign sign, Duration after, boolean recognizable) {
    /** What settles a loss. */
    public enum Sign {
        /** The process is known to have ended, so the loss counts. */
        ENDED,
        /** The process did not respond to a check, so the loss counts. */
        UNRESPONSIVE,
        /** The process lives, so there was no loss. */
        ALIVE,
        /** Nothing became known in time, so the loss does not count. */
        EXPIRED;

        /**
         * Returns whether the loss counts against the request.
         *
         * @return true when it was confirmed
         */
        public boolean isConfirmed() {
            return this == ENDED || this == UNRESPONSIVE;
        }
    }

    /**
     * Returns whether the loss counts against the request.
     *
     * @return true when it was confirmed
     */
    public boolean isConfirmed() {
        return sign.isConfirmed();
    }
}
