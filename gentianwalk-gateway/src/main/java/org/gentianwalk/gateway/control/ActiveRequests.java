package org.gentianwalk.gateway.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.dispatch.WorkScheduler;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.traffic.Exchange;
import org.gentianwalk.server.guard.FailureGuard;
import org.jspecify.annotations.Nullable;

/**
 * The requests without a final response. Carries out the decisions on them one by one, so that a
 * failure of one decision ends at most its own request. Confined to the control thread, except for
 * {@link #bufferProgress}.
 */
final class ActiveRequests {
    /**
     * Calls of {@link #endOverdue} that find a request past its deadline until it is ended without
     * a decision. They are counted rather than timed, since after a pause of the instance the
     * schedulers have not seen the current time yet.
     */
    private static final int MAX_OVERDUE_CALLS = 5;

    /**
     * Age from which on a request is only sent after its connection was read once more. On a slow
     * machine the caller may have left meanwhile, which the traffic loop has not read yet.
     */
    private static final long READ_BEFORE_START_NANOS = Duration.ofMillis(50).toNanos();

    private final Map<Long, Request> mRequests = new HashMap<>();

    /** Number of calls of {@link #endOverdue} that found each request past its deadline. */
    private final Map<Long, Integer> mOverdueCalls = new HashMap<>();

    private final ProgressBuffer mProgress = new ProgressBuffer();
    private final Executor mControl;
    private final TrafficLoop mTraffic;
    private final Ticker mTicker;
    private final GatewayLog mLog;
    private final FailureGuard mGuard;

    /**
     * Creates an empty set of requests.
     *
     * @param control the control thread
     * @param traffic the traffic loop
     * @param ticker clock
     * @param log logs the decisions
     * @param guard runs the parts that may fail by themselves
     */
    ActiveRequests(
            Executor control,
            TrafficLoop traffic,
            Ticker ticker,
            GatewayLog log,
            FailureGuard guard) {
        mControl = control;
        mTraffic = traffic;
        mTicker = ticker;
        mLog = log;
        mGuard = guard;
    }

    /**
     * A request without a final response yet.
     *
     * @param work the request
     * @param scheduler scheduler of its service
     * @param exchange executes the decisions
     */
    record Request(Work work, WorkScheduler scheduler, Exchange exchange) {}

    void add(Request request) {
        mRequests.put(request.work().id(), request);
    }

    @Nullable Request find(long work) {
        return mRequests.get(work);
    }

    /** Removes a request whose caller has the answer or has disconnected. */
    @Nullable Request remove(long work) {
        mProgress.remove(work);
        return mRequests.remove(work);
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    /** Returns whether any request is decided by a scheduler. */
    boolean use(WorkScheduler scheduler) {
        return mRequests.values().stream().anyMatch(request -> request.scheduler() == scheduler);
    }

    /** Buffers output of an attempt. Thread-safe. */
    void bufferProgress(long work, int attempt, Progress progress) {
        mProgress.add(work, attempt, progress);
    }

    /** Passes the buffered output on to the schedulers. */
    void drainProgress() {
        mProgress.drain(
                (work, attempt, progress) -> {
                    Request request = mRequests.get(work);
                    if (request != null
                            && !mGuard.run(
                                    "output of a request",
                                    () ->
                                            request.scheduler()
                                                    .recordProgress(work, attempt, progress))) {
                        abandon(work, "its output was not recorded");
                    }
                });
    }

    /** Carries out a decision. */
    void execute(Decision decision, long configVersion) {
        Request request = mRequests.get(decision.work().id());
        if (request == null) {
            return;
        }
        switch (decision) {
            case Decision.Start start -> {
                logGuarded(() -> mLog.attemptPlaced(start, configVersion, mTicker.nanos()));
                start(start, request.exchange());
            }
            case Decision.Cancel cancel -> {
                logGuarded(() -> mLog.attemptCancelled(cancel, mTicker.nanos()));
                runOnTraffic(
                        () -> request.exchange().cancelAttempt(cancel.attempt()),
                        () -> abandon(cancel.work().id(), "an attempt was not cancelled"));
            }
            case Decision.Finish finish -> {
                remove(finish.work().id());
                runOnTraffic(() -> request.exchange().finish(finish), () -> {});
                logGuarded(() -> mLog.requestFinished(finish, mTicker.nanos()));
            }
        }
    }

    private void start(Decision.Start start, Exchange exchange) {
        Work work = start.work();
        Runnable failed = () -> abandon(work.id(), "an attempt was not started");
        Runnable begin = guardedOnTraffic(() -> exchange.start(start), failed);
        runOnTraffic(
                () -> {
                    long age = mTicker.nanos() - work.arrivedNanos();
                    if (start.beside().isEmpty() && age >= READ_BEFORE_START_NANOS) {
                        mTraffic.executeAfterRead(begin);
                    } else {
                        begin.run();
                    }
                },
                failed);
    }

    /** Answers a request that no scheduler knows. */
    void refuse(Decision.Finish refusal, Exchange exchange) {
        runOnTraffic(() -> exchange.finish(refusal), () -> {});
    }

    /** Ends a request about which no decision can be made. It may have been executed. */
    void abandon(long work, String reason) {
        Request request = remove(work);
        if (request == null) {
            return;
        }
        Decision.Finish finish =
                new Decision.Finish(request.work(), Ending.UNKNOWN, Duration.ZERO, reason);
        runOnTraffic(() -> request.exchange().finish(finish), () -> {});
        logGuarded(() -> mLog.requestFinished(finish, mTicker.nanos()));
        mGuard.run("removal of a request", () -> request.scheduler().remove(work, mTicker.nanos()));
    }

    /**
     * Ends requests whose deadline has passed without a decision. Must be called at intervals that
     * leave the schedulers time for decisions.
     */
    void endOverdue() {
        long now = mTicker.nanos();
        List<Long> overdue = new ArrayList<>();
        mOverdueCalls.keySet().retainAll(mRequests.keySet());
        mRequests.forEach(
                (id, request) -> {
                    if (now - request.work().deadlineNanos() > 0
                            && mOverdueCalls.merge(id, 1, Integer::sum) >= MAX_OVERDUE_CALLS) {
                        overdue.add(id);
                    }
                });
        overdue.forEach(id -> abandon(id, "deadline exceeded without a decision"));
    }

    /** A decision is carried out whether or not it can be logged. */
    private void logGuarded(Runnable line) {
        mGuard.run("decision log", line);
    }

    /** Runs a task on the traffic loop, and another one on the control thread if it fails. */
    private void runOnTraffic(Runnable task, Runnable failed) {
        boolean accepted =
                mGuard.run(
                        "hand-over to the traffic loop",
                        () -> mTraffic.execute(guardedOnTraffic(task, failed)));
        if (!accepted) {
            failed.run();
        }
    }

    private Runnable guardedOnTraffic(Runnable task, Runnable failed) {
        return () -> {
            if (!mGuard.run("decision on the traffic loop", task)) {
                mControl.execute(failed);
            }
        };
    }
}
