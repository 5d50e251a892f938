package org.gentianwalk.server.pipeline;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;

/** The single thread that owns the control state of an instance. */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlThread.class);

    private final ScheduledExecutorService mExecutor;
    private final AtomicInteger mPending = new AtomicInteger();
    private volatile Runnable mAfterEvents = () -> {};

    /**
     * Starts the thread.
     *
     * @param name name of the thread
     */
    public ControlThread(String name) {
        ThreadFactory threads = Thread.ofPlatform().name(name).daemon().factory();
        mExecutor = Executors.newSingleThreadScheduledExecutor(threads);
    }

    /**
     * Returns the thread's executor, for components that schedule their own tasks.
     *
     * @return a single-threaded executor
     */
    public ScheduledExecutorService executor() {
        return mExecutor;
    }

    /**
     * Sets the action that runs after an event when no further event is queued.
     *
     * @param action the action
     */
    public void afterEvents(Runnable action) {
        mAfterEvents = action;
    }

    /**
     * Runs an event on the thread. Events of a closed thread are dropped.
     *
     * @param event the event
     */
    public void execute(Runnable event) {
        mPending.incrementAndGet();
        try {
            mExecutor.execute(
                    () -> {
                        runGuarded(event);
                        if (mPending.decrementAndGet() == 0) {
                            runGuarded(mAfterEvents);
                        }
                    });
        } catch (RejectedExecutionException e) {
            mPending.decrementAndGet();
        }
    }

    /**
     * Runs an action periodically on the thread.
     *
     * @param period time between two runs
     * @param action the action
     */
    public void schedulePeriodically(Duration period, Runnable action) {
        long nanos = period.toNanos();
        mExecutor.scheduleWithFixedDelay(
                () -> runGuarded(action), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    // An uncaught exception would silently cancel a periodic action.
    private static void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("unexpected exception on the control thread", e);
        }
    }
}
