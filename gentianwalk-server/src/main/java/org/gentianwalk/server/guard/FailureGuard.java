package org.gentianwalk.server.guard;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.gentianwalk.core.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Runs parts of an instance so that a failure of one, an {@link Error} included, ends neither the
 * others nor a periodic task, which an executor drops when it throws. Thread-safe.
 *
 * <p>An error after which the process can't be relied on (out of memory, or an internal error of
 * the virtual machine) is also reported to a handler, which should have the process replaced. A
 * stack overflow or a linkage error affects only the part that met it.
 *
 * <p>Example: {@code executor.scheduleWithFixedDelay(guard.guarded("poll", this::poll), ...)}
 */
public final class FailureGuard {
    /**
     * Minimum time between two log entries on the same kind of failure of a part. A part that fails
     * in each tick would otherwise write 25 stack traces a second.
     */
    static final Duration LOG_INTERVAL = Duration.ofMinutes(1);

    /** Maximum number of kinds of failures that are told apart, which bounds log and memory. */
    static final int MAX_KINDS = 256;

    private static final Logger LOG = Logger.getLogger(FailureGuard.class);
    private static final String OTHER_KINDS = "other parts";

    private final Ticker mTicker;
    private final Consumer<VirtualMachineError> mFatal;
    private final Map<String, Failures> mFailures = new ConcurrentHashMap<>();

    /**
     * Creates a guard.
     *
     * @param ticker clock for the intervals of the log
     * @param fatal called, on the thread that failed, for each error after which the process can't
     *     be relied on; must return without waiting
     */
    public FailureGuard(Ticker ticker, Consumer<VirtualMachineError> fatal) {
        mTicker = ticker;
        mFatal = fatal;
    }

    /**
     * Creates a guard that only logs failures.
     *
     * @return a guard with the clock of the process
     */
    public static FailureGuard logging() {
        return new FailureGuard(Ticker.system(), error -> {});
    }

    /**
     * Runs a task of a part. Failures are logged.
     *
     * @param part name of the part for the log, from a bounded set
     * @param task the task
     * @return true when the task has completed, false when it has failed
     */
    public boolean run(String part, Runnable task) {
        try {
            task.run();
            return true;
        } catch (Throwable failure) {
            report(part, failure);
            return false;
        }
    }

    /**
     * Returns a task that does not throw.
     *
     * @param part name of the part for the log, from a bounded set
     * @param task the task
     * @return the task as run by {@link #run}
     */
    public Runnable guarded(String part, Runnable task) {
        return () -> run(part, task);
    }

    /**
     * Logs a failure that was caught elsewhere, and passes it on if it is fatal.
     *
     * @param part name of the part for the log, from a bounded set
     * @param failure the failure
     */
    public void report(String part, Throwable failure) {
        try {
            if (failure instanceof VirtualMachineError error && isFatal(error)) {
                mFatal.accept(error);
            }
        } catch (Throwable ignored) {
            // The part's caller has to go on; the failure itself is logged below.
        }
        try {
            log(part, failure);
        } catch (Throwable ignored) {
            // Without memory there may be no log either.
        }
    }

    /** A stack overflow ends with the call that caused it; the others may have any effect. */
    private static boolean isFatal(VirtualMachineError error) {
        return !(error instanceof StackOverflowError);
    }

    private void log(String part, Throwable failure) {
        String kind = part + ": " + failure.getClass().getName();
        boolean known = mFailures.containsKey(kind) || mFailures.size() < MAX_KINDS;
        Failures failures =
                mFailures.computeIfAbsent(known ? kind : OTHER_KINDS, name -> new Failures());
        int unlogged = failures.record(mTicker.nanos());
        if (unlogged >= 0) {
            LOG.errorf(failure, "%s failed; %d times more since the last entry", part, unlogged);
        }
    }

    /** Failures of one kind. */
    private static final class Failures {
        private boolean mLogged;
        private long mLoggedAt;
        private int mUnlogged;

        /** Returns the number of failures since the last entry, or -1 if no entry is due. */
        synchronized int record(long nowNanos) {
            if (mLogged && nowNanos - mLoggedAt < LOG_INTERVAL.toNanos()) {
                mUnlogged++;
                return -1;
            }
            int unlogged = mUnlogged;
            mLogged = true;
            mLoggedAt = nowNanos;
            mUnlogged = 0;
            return unlogged;
        }
    }
}
