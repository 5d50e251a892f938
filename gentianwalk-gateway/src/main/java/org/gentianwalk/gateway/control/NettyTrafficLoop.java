package org.gentianwalk.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** A {@link TrafficLoop} on an event loop of Netty. */
public final class NettyTrafficLoop implements TrafficLoop {
    private final EventLoop mLoop;

    /**
     * Creates a traffic loop.
     *
     * @param loop the event loop of all connections
     */
    public NettyTrafficLoop(EventLoop loop) {
        mLoop = loop;
    }

    @Override
    public void execute(Runnable task) {
        mLoop.execute(task);
    }

    @Override
    public void executeAfterRead(Runnable task) {
        // A task that is executed without a delay may run before the loop reads again. Scheduled
        // ones are only taken up after it has read.
        mLoop.schedule(task, 1, TimeUnit.MILLISECONDS);
    }
}
