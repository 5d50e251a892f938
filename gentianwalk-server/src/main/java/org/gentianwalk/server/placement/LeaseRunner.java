package org.gentianwalk.server.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.gentianwalk.core.lease.LeaseAction;
import org.gentianwalk.core.lease.LeaseEvent;
import org.gentianwalk.core.lease.LeaseHolder;
import org.gentianwalk.core.lease.LeaseTerm;
import org.gentianwalk.core.platform.TableService;
import org.gentianwalk.core.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Acquires and renews one lease on a virtual thread while this instance is a candidate for it.
 *
 * <p>Example: {@code try (var lease = LeaseRunner.start(holder, table, ticker, () -> true)) {
 * lease.term().ifPresent(term -> act(term)); }}
 */
public final class LeaseRunner implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LeaseRunner.class);

    /** Time between two checks of whether this instance is a candidate. */
    private static final long CANDIDATE_CHECK_NANOS = Duration.ofSeconds(5).toNanos();

    /** Maximum wait for the last write when the runner is closed. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

    private final LeaseHolder mHolder;
    private final TableService mTable;
    private final Ticker mTicker;
    private final BooleanSupplier mCandidate;
    private final Thread mThread;
    private volatile boolean mClosed;

    private LeaseRunner(
            LeaseHolder holder, TableService table, Ticker ticker, BooleanSupplier candidate) {
        mHolder = holder;
        mTable = table;
        mTicker = ticker;
        mCandidate = candidate;
        mThread = Thread.ofVirtual().name("lease").unstarted(this::run);
    }

    /**
     * Starts to compete for a lease.
     *
     * @param holder the lease's state machine, used by this runner only
     * @param table the table with the lease's row
     * @param ticker the monotonic clock
     * @param candidate returns whether this instance may acquire the lease; a few candidates in the
     *     fleet are enough, and each costs a read every 5 s
     * @return the runner
     */
    public static LeaseRunner start(
            LeaseHolder holder, TableService table, Ticker ticker, BooleanSupplier candidate) {
        LeaseRunner runner = new LeaseRunner(holder, table, ticker, candidate);
        runner.mThread.start();
        return runner;
    }

    /**
     * Returns the current term.
     *
     * @return the term, or empty when this instance does not hold the lease
     */
    public Optional<LeaseTerm> term() {
        return mHolder.term(mTicker.nanos());
    }

    /**
     * Releases the lease, so that another instance need not wait for its expiry. Work under the
     * lease must have ended before.
     */
    @Override
    public void close() {
        mClosed = true;
        mThread.interrupt();
        try {
            mThread.join(CLOSE_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        LeaseEvent event = new LeaseEvent.TimerFired();
        while (!mClosed) {
            if (term().isEmpty() && !mCandidate.getAsBoolean()) {
                sleepUntil(mTicker.nanos() + CANDIDATE_CHECK_NANOS);
                continue;
            }
            try {
                event = perform(mHolder.on(event, mTicker.nanos()));
            } catch (RuntimeException e) {
                LOG.errorf(e, "a step of the lease failed");
                sleepUntil(mTicker.nanos() + CANDIDATE_CHECK_NANOS);
                event = new LeaseEvent.TimerFired();
            }
        }
        // Clears the interrupt that ended the wait, so that it does not abort the release.
        Thread.interrupted();
        mHolder.release(mTicker.nanos())
                .ifPresent(
                        write -> {
                            LOG.debugf("releasing %s", write.key());
                            mTable.write(
                                    write.key(), write.expected(), write.value().toByteArray());
                        });
    }

    private LeaseEvent perform(LeaseAction action) {
        return switch (action) {
            case LeaseAction.ReadRow read -> new LeaseEvent.ReadReturned(mTable.read(read.key()));
            case LeaseAction.WriteRow write ->
                    new LeaseEvent.WriteReturned(
                            mTable.write(
                                    write.key(), write.expected(), write.value().toByteArray()));
            case LeaseAction.Wait wait -> {
                sleepUntil(wait.untilNanos());
                yield new LeaseEvent.TimerFired();
            }
        };
    }

    private void sleepUntil(long untilNanos) {
        long remaining = untilNanos - mTicker.nanos();
        if (remaining <= 0 || mClosed) {
            return;
        }
        try {
            Thread.sleep(Duration.ofNanos(remaining));
        } catch (InterruptedException e) {
            LOG.debugf("interrupted to close");
        }
    }
}
