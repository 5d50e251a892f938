package org.gentianwalk.core.dispatch;

/**
 * Load that an upstream reports with an answer.
 *
 * @param running number of running requests, including the answered one
 * @param waiting number of queued requests
 * @param slowdown how much longer than usual work takes on the upstream's machine at the moment,
 *     which it may share with others; 1 means as usual
 */
public record UpstreamLoad(int running, int waiting, double slowdown) {
    public UpstreamLoad {
        if (running < 0 || waiting < 0 || !(slowdown > 0)) {
            throw new IllegalArgumentException("a load must not be negative");
        }
    }

    /**
     * Creates the load of an upstream that works as fast as usual.
     *
     * @param running number of running requests, including the answered one
     * @param waiting number of queued requests
     */
    public UpstreamLoad(int running, int waiting) {
        this(running, waiting, 1);
    }
}
