package org.gentianwalk.gateway.control;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.rollout.RolloutPlan;
import org.jspecify.annotations.Nullable;

/**
 * The attempts of this instance that run at upstreams, as observations of a rollout. Confined to
 * the control thread.
 *
 * <p>Only what the upstream's software does counts as its failure. A process that ended takes all
 * its requests along at once, whatever its version, so such ends are not recorded; a response that
 * was broken off counts once for each process within {@link #LOSS_NANOS}.
 */
final class RolloutAttempts {
    /** Time within which several broken responses of one process count as one failure. */
    private static final long LOSS_NANOS = Duration.ofSeconds(2).toNanos();

    /** Maximum number of processes whose last broken response is known. */
    private static final int MAX_LOSSES = 1_024;

    private final Map<Long, Map<Integer, Running>> mRunning = new HashMap<>();
    private final Map<String, Long> mLostAt = new HashMap<>();

    /**
     * An attempt in progress.
     *
     * @param plan the plan that counts it, or null for none
     * @param newVersion whether the upstream has the version of the plan's order
     */
    private record Running(
            Work work,
            Upstream upstream,
            @Nullable RolloutPlan plan,
            boolean newVersion,
            boolean comparable,
            long startedNanos) {}

    /** Records the start of an attempt. */
    void start(
            Work work,
            int attempt,
            Upstream upstream,
            @Nullable RolloutPlan plan,
            boolean newVersion,
            long nowNanos) {
        // A resumed stream has a part of its output already.
        boolean comparable = !work.kind().isStream() || attempt == 1 && work.eventsSeen() == 0;
        mRunning.computeIfAbsent(work.id(), id -> new HashMap<>())
                .put(attempt, new Running(work, upstream, plan, newVersion, comparable, nowNanos));
    }

    /** Returns whether a request has had an attempt. */
    boolean hasStarted(long work) {
        return mRunning.containsKey(work);
    }

    /** Records the first output of an attempt. */
    void recordFirst(long work, int attempt, long atNanos) {
        Running running = find(work, attempt);
        if (running != null && running.plan() != null && running.comparable()) {
            running.plan()
                    .recordFirst(
                            running.work().route(),
                            running.newVersion(),
                            Math.max(0, atNanos - running.startedNanos()),
                            atNanos);
        }
    }

    /** Records the end of an attempt. */
    void end(long work, int attempt, AttemptEnd end, long nowNanos) {
        // The entry of the request stays until the request ends, as the sign of a retry.
        Map<Integer, Running> attempts = mRunning.get(work);
        Running running = attempts == null ? null : attempts.remove(attempt);
        if (running == null) {
            return;
        }
        switch (end) {
            case SUCCEEDED -> recordAnswer(running, false, nowNanos);
            case ANSWERED_ERROR, GARBLED -> recordAnswer(running, true, nowNanos);
            case LOST -> {
                if (isFirstLoss(running.upstream(), nowNanos)) {
                    recordAnswer(running, true, nowNanos);
                }
            }
            default -> {
                // Not executed, ended by the scheduler, or lost together with the process.
            }
        }
    }

    /**
     * Records that a request was not answered by its deadline. Its attempts count as failed if they
     * had most of the time, since a slow version would otherwise show only its fast responses.
     */
    void timeOut(long work, long nowNanos) {
        Map<Integer, Running> attempts = mRunning.remove(work);
        if (attempts == null) {
            return;
        }
        for (Running running : attempts.values()) {
            long limit = running.work().deadlineNanos() - running.work().arrivedNanos();
            if (nowNanos - running.startedNanos() > limit / 2
                    && isFirstLoss(running.upstream(), nowNanos)) {
                recordAnswer(running, true, nowNanos);
            }
        }
    }

    /** Drops the attempts of a request other than those that go on. */
    void retainAttempts(long work, int started, Set<Integer> beside) {
        Map<Integer, Running> attempts = mRunning.get(work);
        if (attempts != null) {
            attempts.keySet().removeIf(number -> number != started && !beside.contains(number));
        }
    }

    /** Drops the requests that have ended. */
    void retain(LongPredicate isActive) {
        mRunning.keySet().removeIf(work -> !isActive.test(work));
    }

    /** Returns the number of attempts of a service at some upstreams. */
    int count(String service, Predicate<Upstream> filter) {
        return (int)
                mRunning.values().stream()
                        .map(Map::values)
                        .flatMap(Collection::stream)
                        .filter(running -> running.work().service().equals(service))
                        .filter(running -> filter.test(running.upstream()))
                        .count();
    }

    private void recordAnswer(Running running, boolean failed, long nowNanos) {
        RolloutPlan plan = running.plan();
        if (plan == null) {
            return;
        }
        long total = nowNanos - running.startedNanos();
        boolean timed = !failed && running.comparable();
        // A plain call has no output before its response.
        boolean isCall = !running.work().kind().isStream();
        plan.recordAnswer(
                running.work().route(),
                running.newVersion(),
                failed,
                timed && isCall ? total : -1,
                timed ? total : -1,
                nowNanos);
    }

    private boolean isFirstLoss(Upstream upstream, long nowNanos) {
        if (mLostAt.size() >= MAX_LOSSES) {
            mLostAt.values().removeIf(at -> nowNanos - at > LOSS_NANOS);
        }
        Long before = mLostAt.get(upstream.process());
        if (before != null && nowNanos - before <= LOSS_NANOS) {
            return false;
        }
        mLostAt.put(upstream.process(), nowNanos);
        return true;
    }

    private @Nullable Running find(long work, int attempt) {
        Map<Integer, Running> attempts = mRunning.get(work);
        return attempts == null ? null : attempts.get(attempt);
    }
}
