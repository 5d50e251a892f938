package org.gentianwalk.gateway.traffic;

import java.nio.charset.StandardCharsets;

/**
 * One block of a stream, up to and including the empty line that ends it.
 *
 * @param form what the block holds
 * @param number its number, or {@link #UNNUMBERED}
 * @param bytes its bytes, including the empty line
 */
record StreamEvent(Form form, long number, byte[] bytes) {
    /** Value of {@link #number} for an event without a valid number. */
    static final long UNNUMBERED = -1;

    private static final byte[] END_MARK = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    /** What a block holds by the grammar of text/event-stream. */
    enum Form {
        /** An event with data. */
        EVENT,
        /** Only comments, a retry time or other fields that deliver no event to a caller. */
        NO_EVENT,
        /** A line that is no field, or an id without data, which a caller would resume after. */
        MALFORMED
    }

    /** Returns whether this is the mark with which OpenAI-compatible streams end. */
    boolean isEndMark() {
        return EventParser.isData(bytes, END_MARK);
    }
}
