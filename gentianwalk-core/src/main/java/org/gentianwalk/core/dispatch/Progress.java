package org.gentianwalk.core.dispatch;

/**
 * Output of an attempt over a short time.
 *
 * @param events events that arrived
 * @param lastNanos arrival of the last one
 * @param pauseNanos longest time between two events; 0 when there was only the first one
 */
public record Progress(int events, long lastNanos, long pauseNanos) {}
