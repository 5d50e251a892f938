package org.gentianwalk.core.dispatch;

/**
 * Output of an attempt since the previous report.
 *
 * @param events number of events received
 * @param lastNanos arrival time of the last one
 * @param pauseNanos longest time between two events, nanoseconds; 0 when there was only one
 */
public record Progress(int events, long lastNanos, long pauseNanos) {}
