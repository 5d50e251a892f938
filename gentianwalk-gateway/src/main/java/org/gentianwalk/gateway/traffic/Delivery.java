package org.gentianwalk.gateway.traffic;

/**
 * Latencies of a complete response as its caller saw them.
 *
 * @param firstMillis time from the arrival of the request to the first event of a stream, or to the
 *     whole response of a call, milliseconds
 * @param pauseMillis longest time between two events, milliseconds
 * @param events number of forwarded events; 0 for calls
 */
public record Delivery(long firstMillis, long pauseMillis, int events) {}
