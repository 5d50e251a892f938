package org.gentianwalk.core.dispatch;

/**
 * Load of an upstream as it stated with an answer.
 *
 * @param running requests that run, that of the answer included
 * @param waiting requests in its queue
 */
public record UpstreamLoad(int running, int waiting) {}
