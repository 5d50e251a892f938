package org.gentianwalk.history.check;

/**
 * A guarantee that a history breaks.
 *
 * @param guarantee identifier of the guarantee, as on the design page
 * @param timeNanos time of the event that shows it
 * @param description what happened, with the keys concerned
 */
public record Violation(String guarantee, long timeNanos, String description) {}
