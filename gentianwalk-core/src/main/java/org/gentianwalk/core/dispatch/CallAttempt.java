package org.gentianwalk.core.dispatch;

/**
 * An attempt of a call that is in progress.
 *
 * @param number number of the attempt, starting at 1
 * @param target its upstream
 * @param startedAt when it was started
 */
record CallAttempt(int number, CallTarget target, long startedAt) {}
