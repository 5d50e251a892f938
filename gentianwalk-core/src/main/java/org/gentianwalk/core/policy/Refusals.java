package org.gentianwalk.core.policy;

import java.time.Duration;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.policy.suspect.SuspectTable;

/** Creates the errors of work that the scheduler refuses or stops. */
final class Refusals {
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
    private static final double MILLIS = 1_000;

    private Refusals() {}

    static ServeError convicted(ScheduledWork work) {
        int losses = SuspectTable.CONVICTING_LOSSES;
        return work.mAttempt > 1
                ? ServeError.failed(ErrorKind.CRASHING_REQUEST, Outcome.STOPPED, losses)
                : ServeError.rejected(ErrorKind.CRASHING_REQUEST, losses);
    }

    static ServeError deadline(ScheduledWork work) {
        Duration after = Duration.ofNanos(work.mItem.deadlineNanos() - work.mItem.arrivedNanos());
        String text = after.toMillis() + " ms after arrival";
        return work.mAttempt > 1 || work.mTokensDone > 0 || work.mEngine != null
                ? ServeError.failed(ErrorKind.DEADLINE_EXCEEDED, Outcome.STOPPED, text)
                : ServeError.rejected(ErrorKind.DEADLINE_EXCEEDED, text);
    }

    static ServeError noUpstream(String model) {
        return ServeError.refused(ErrorKind.NO_UPSTREAM, MIN_RETRY_AFTER, model);
    }

    static ServeError failed(String cause) {
        return ServeError.failed(ErrorKind.UPSTREAM_FAILED, Outcome.STOPPED, cause);
    }

    /** Returns a refusal whose retry-after time is the time in which the queue drains. */
    static ServeError overloaded(Pool pool, int members, long nowNanos) {
        double drain = pool.drainPerSecond(members, nowNanos);
        long millis = (long) (pool.mQueue.queuedTokens() / Math.max(1, drain) * MILLIS);
        long minMillis = MIN_RETRY_AFTER.toMillis();
        long bounded = Math.clamp(millis, minMillis, MAX_RETRY_AFTER.toMillis());
        Duration after = Duration.ofMillis(bounded);
        return ServeError.refused(ErrorKind.OVERLOADED, after, pool.mKey.model());
    }
}
