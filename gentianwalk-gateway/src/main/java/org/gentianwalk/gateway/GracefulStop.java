package org.gentianwalk.gateway;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.guard.FailureGuard;

/**
 * Stops an instance: closes idle connections once the balancer has noticed the stop, waits until
 * none is left or the grace period is over, and answers the requests that are still in progress.
 */
final class GracefulStop {
    /**
     * Time until the balancer sends no new connections: two readiness checks, made once a second,
     * have failed, and connections that it passed on earlier have arrived.
     */
    static final Duration READINESS_DELAY = Duration.ofMillis(2_300);

    /** Time before the end of the grace period at which the process exits on its own. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(100);

    private static final Duration STOP_POLL = Duration.ofMillis(50);

    private final Connections mConnections;
    private final ScheduledExecutorService mLoop;
    private final Ticker mTicker;
    private final Duration mGrace;
    private final FailureGuard mGuard;
    private boolean mRefusing;

    /**
     * Creates a stop that has not begun.
     *
     * @param connections the connections of callers
     * @param loop the traffic loop
     * @param ticker clock
     * @param grace the grace period
     * @param guard runs the parts by themselves, so that the stop ends whatever fails
     */
    GracefulStop(
            Connections connections,
            ScheduledExecutorService loop,
            Ticker ticker,
            Duration grace,
            FailureGuard guard) {
        mConnections = connections;
        mLoop = loop;
        mTicker = ticker;
        mGrace = grace;
        mGuard = guard;
    }

    /** The connections of callers. Called on the traffic loop. */
    interface Connections {
        /** Closes those that have been without a request for a while. */
        void closeIdle();

        /** Returns the number of open ones. */
        int connections();

        /** Refuses new ones from now on. */
        void refuse();

        /** Answers the requests in progress. */
        void endRequests();
    }

    /**
     * Begins the stop.
     *
     * @param startNanos begin of the grace period
     * @param done called at the end, on the traffic loop; may be called more than once
     */
    void start(long startNanos, Runnable done) {
        mLoop.scheduleWithFixedDelay(
                mGuard.guarded("stop", () -> endIfDue(mTicker.nanos() - startNanos, done)),
                READINESS_DELAY.toMillis(),
                STOP_POLL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void endIfDue(long elapsedNanos, Runnable done) {
        mGuard.run("idle connections", mConnections::closeIdle);
        boolean requestsEnd = elapsedNanos >= mGrace.minus(Gateway.STOP_MARGIN).toNanos();
        if (!mRefusing && (requestsEnd || mConnections.connections() == 0)) {
            // A connection that the end would reset unread is refused, and what was accepted before
            // is answered until the next check.
            mRefusing = true;
            mGuard.run("new connections", mConnections::refuse);
            return;
        }
        boolean graceExpired = elapsedNanos >= mGrace.minus(EXIT_MARGIN).toNanos();
        if (graceExpired || mRefusing && mConnections.connections() == 0) {
            // The control thread may be late; the connections end with the process.
            mGuard.run("requests at the end of a stop", mConnections::endRequests);
            done.run();
        }
    }
}
