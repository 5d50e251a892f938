package org.gentianwalk.gateway.traffic;

/**
 * How a whole answer reached its caller.
 *
 * @param firstMillis time from arrival to the first event, or to the answer, milliseconds
 * @param pauseMillis longest time between two events, milliseconds
 * @param events events passed on; 0 for calls
 */
public record Delivery(long firstMillis, long pauseMillis, int events) {}
