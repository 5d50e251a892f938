package org.gentianwalk.server.node;

import java.time.Duration;
import java.util.Optional;
import org.gentianwalk.core.lease.LeaseTerm;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.server.placement.LeaseRunner;
import org.jboss.logging.Logger;

/** Repeats a step on a virtual thread, together with the lease that the step requires. */
final class LeasedTask implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LeasedTask.class);

    private final String mName;
    private final LeaseRunner mLease;
    private final Duration mPeriod;
    private final Step mStep;
    private final Thread mThread;
    private volatile boolean mClosed;

    /** One step; it must check the lease itself, since the lease may expire while it runs. */
    interface Step {
        void run() throws PlatformException;
    }

    private LeasedTask(String name, LeaseRunner lease, Duration period, Step step) {
        mName = name;
        mLease = lease;
        mPeriod = period;
        mStep = step;
        mThread = Thread.ofVirtual().name(name).unstarted(this::run);
    }

    /** Starts a task, which closes the lease at its end. */
    static LeasedTask start(String name, LeaseRunner lease, Duration period, Step step) {
        LeasedTask task = new LeasedTask(name, lease, period, step);
        task.mThread.start();
        return task;
    }

    String name() {
        return mName;
    }

    Optional<LeaseTerm> term() {
        return mLease.term();
    }

    /**
     * Interrupts the running step, waits for its end and releases the lease. The wait is unbounded,
     * since a release during a step would let two holders act; each call within a step has a
     * timeout.
     */
    @Override
    public void close() {
        mClosed = true;
        mThread.interrupt();
        boolean interrupted = false;
        while (mThread.isAlive()) {
            try {
                mThread.join();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        mLease.close();
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!mClosed) {
            try {
                mStep.run();
            } catch (PlatformException e) {
                LOG.debugf(e, "a step of %s failed to reach the platform", mName);
            } catch (RuntimeException e) {
                LOG.errorf(e, "a step of %s failed", mName);
            }
            try {
                Thread.sleep(mPeriod);
            } catch (InterruptedException e) {
                LOG.debugf("%s was interrupted", mName);
            }
        }
    }
}
