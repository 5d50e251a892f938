package org.gentianwalk.server.pipeline;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.server.guard.FailureGuard;

/** The single thread that owns the control state of an instance. */
public final class ControlThread implements AutoCloseable {
    private final ScheduledExecutorService mExecutor;
    private final FailureGuard mGuard = FailureGuard.logging();
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
                        mGuard.run("event of the control thread", event);
                        if (mPending.decrementAndGet() == 0) {
                            mGuard.run("dispatch after events", mAfterEvents);
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
                mGuard.guarded("periodic control task", action),
                nanos,
                nanos,
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
