package org.gentianwalk.gateway.control;

import java.util.concurrent.Executor;

/** The event loop that reads and writes the connections of callers and upstreams. */
public interface TrafficLoop extends Executor {
    /**
     * Runs a task on the loop once it has read what had arrived on its connections when this method
     * was called. Must be called on the loop. The default is for loops without connections.
     *
     * @param task the task
     */
    default void executeAfterRead(Runnable task) {
        execute(task);
    }
}
