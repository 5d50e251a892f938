package org.gentianwalk.gateway.traffic;

/**
 * One whole event of a stream.
 *
 * @param number its number, or {@link #UNNUMBERED}
 * @param bytes its bytes, with the empty line that ends it
 */
record StreamEvent(long number, byte[] bytes) {
    /** Number of an event that has none. */
    static final long UNNUMBERED = -1;
}
