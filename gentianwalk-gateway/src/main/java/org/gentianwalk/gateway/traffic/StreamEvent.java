package org.gentianwalk.gateway.traffic;

/**
 * One complete event of a stream.
 *
 * @param number its number, or {@link #UNNUMBERED}
 * @param bytes its bytes, including the empty line that ends it
 */
record StreamEvent(long number, byte[] bytes) {
    /** Value of {@link #number} for an event without a number. */
    static final long UNNUMBERED = -1;
}
