package org.gentianwalk.gateway.sockets;

import java.time.Duration;
import java.util.List;

/**
 * Finds the reason of a broken-off stream and of an answer 502 or 504 in what callers and upstreams
 * saw. Silence of an upstream is none. A garbled attempt is one only for what may run once and for
 * the maximum number of attempts.
 */
final class SoakReasons {
    /** Time before the end of the grace period at which requests get a final answer. */
    private static final Duration LAST_ANSWERS = Duration.ofMillis(400);

    /** Number of processes that may be lost under one request (docs/design.md, 5.4). */
    private static final int MAX_LOST_PROCESSES = 2;

    /** Limit that leaves time for a second attempt after a silence of 1.3 s. */
    private static final long LONG_MILLIS = 2_500;

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final SoakConfiguration mConfiguration;
    private final SoakAttempts mAttempts;

    SoakReasons(SoakConfiguration configuration, SoakAttempts attempts) {
        mConfiguration = configuration;
        mAttempts = attempts;
    }

    /** Returns whether an ending of a request needs a reason. */
    static boolean isNeeded(SoakHistory.Request request, RawCaller.Response response) {
        return response.status() == BAD_GATEWAY
                || response.status() == GATEWAY_TIMEOUT
                || response.status() == 200 && !response.complete() && request.isStream();
    }

    /** Returns the reason of an ending, or null if there is none. */
    String reason(SoakHistory.Request request, RawCaller.Response response) {
        long end = request.startNanos() + response.took().toNanos();
        SoakInstance instance = request.instance();
        if (instance.isKilledBy(end)) {
            return "instance killed";
        }
        if (instance.isStoppedFor(
                Duration.ofSeconds(SoakInstance.GRACE_SECONDS).minus(LAST_ANSWERS), end)) {
            return "end of the grace period";
        }
        // A request that ends because of its time is answered with 504, never with 502.
        if (response.status() != BAD_GATEWAY && isTimeOver(request, response)) {
            return limitMillis(request, response) < LONG_MILLIS
                    ? "time over"
                    : "time over, limit of 2.5 s or more";
        }
        if (response.status() == GATEWAY_TIMEOUT) {
            return null;
        }
        int losses = mAttempts.losses(request.id(), end).size();
        int failures = mAttempts.lostOrGarbled(request.id(), end);
        if (request.target().startsWith("/once/")) {
            if (losses > 0) {
                return "connection lost";
            }
            return failures > 0 ? "answer garbled" : null;
        }
        if (failures >= TextRows.ATTEMPTS) {
            return losses >= TextRows.ATTEMPTS
                    ? "all attempts lost"
                    : "all attempts garbled or lost";
        }
        return mAttempts.lostProcesses(request.id(), end) >= MAX_LOST_PROCESSES
                ? "two processes lost"
                : null;
    }

    /** Returns whether the caller's limit or a timeout that may have been in force was reached. */
    boolean isTimeOver(SoakHistory.Request request, RawCaller.Response response) {
        return response.took().toMillis() >= limitMillis(request, response);
    }

    /**
     * Returns the shortest limit that the request may have had: the caller's or a route's, and not
     * below the time that the instance stated to upstreams.
     */
    private long limitMillis(SoakHistory.Request request, RawCaller.Response response) {
        long end = request.startNanos() + response.took().toNanos();
        SoakInstance instance = request.instance();
        List<Integer> timeouts =
                mConfiguration.timeoutsMillis(
                        request.target().split("/")[1],
                        instance.versionBefore(request.startNanos()),
                        Math.min(
                                instance.versionAfter(request.startNanos()),
                                mConfiguration.versionPublishedBy(end)));
        long left = mAttempts.millisLeft(request.id());
        return timeouts.stream()
                .mapToLong(timeout -> Math.min(timeout, request.limitMillis()))
                .filter(limit -> limit >= left)
                .min()
                .orElse(request.limitMillis());
    }

    /** Describes an ending without a reason. */
    String describe(SoakHistory.Request request, RawCaller.Response response) {
        return "%s ended without a reason that callers and upstreams could see: %s; shortest limit"
                        .formatted(request, response.toString().replaceAll("\\s+", " "))
                + " %d ms; %s"
                        .formatted(
                                limitMillis(request, response),
                                mAttempts.describe(request.id(), request.startNanos()));
    }
}
