package org.gentianwalk.core.dispatch;

/**
 * Load that an upstream reports with an answer.
 *
 * @param running number of running requests, including the answered one
 * @param waiting number of queued requests
 */
public record UpstreamLoad(int running, int waiting) {}
