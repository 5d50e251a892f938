package org.gentianwalk.gateway.sockets;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the callers and upstreams of one fault soak saw, and what of it must not happen. */
final class SoakHistory {
    /** Time beyond its limit after which a request without an answer is a violation. */
    private static final long LATE_MILLIS = 500;

    /** Idle time from which an instance may close a connection just as a request is sent. */
    private static final long IDLE_MILLIS = 300;

    /** Statuses of requests that had a route, and a key where the route needs one. */
    private static final Set<Integer> ADMITTED = Set.of(200, 502, 504);

    private static final Pattern VERSION = Pattern.compile("v(\\d+)");

    private final SoakStalls mStalls = new SoakStalls();
    private final SoakAttempts mAttempts = new SoakAttempts();
    private final SoakConfiguration mConfiguration;
    private final SoakReasons mReasons;
    private final Map<String, Integer> mExecutions = new ConcurrentHashMap<>();
    private final Map<String, String> mRefused = new ConcurrentHashMap<>();
    private final Map<String, Integer> mCounts = new ConcurrentSkipListMap<>();
    private final Queue<String> mLate = new ConcurrentLinkedQueue<>();
    private final Queue<String> mUndecided = new ConcurrentLinkedQueue<>();
    private final Queue<Restore> mRestores = new ConcurrentLinkedQueue<>();
    private final Queue<Ending> mEndings = new ConcurrentLinkedQueue<>();
    private final Queue<String> mViolations = new ConcurrentLinkedQueue<>();

    SoakHistory(SoakConfiguration configuration) {
        mConfiguration = configuration;
        mReasons = new SoakReasons(configuration, mAttempts);
    }

    /**
     * A request as its caller sent it.
     *
     * @param id identifier of this request
     * @param target its target, which differs for each answer
     * @param key its API key
     * @param last number of the last event that the caller has
     * @param limitMillis its time limit
     * @param instance the instance that it was sent to
     * @param startNanos when it was sent
     * @param idleMillis how long its connection was idle before; negative for a new connection
     */
    record Request(
            String id,
            String target,
            String key,
            int last,
            long limitMillis,
            SoakInstance instance,
            long startNanos,
            long idleMillis) {
        boolean isStream() {
            return target.startsWith("/stream/");
        }

        @Override
        public String toString() {
            return "%s %s with %s after event %d at %s (idle %d ms, limit %d ms)"
                    .formatted(id, target, key, last, instance.name(), idleMillis, limitMillis);
        }
    }

    /**
     * A return of the store from a copy.
     *
     * @param atNanos when it came back
     * @param version version that the peers had in force then, or a later one
     * @param peers instances that served then
     */
    private record Restore(long atNanos, long version, List<SoakInstance> peers) {}

    /** A request whose ending needs a reason. */
    private record Ending(Request request, RawCaller.Response response) {}

    /** Returns what the upstreams did. */
    SoakAttempts attempts() {
        return mAttempts;
    }

    Queue<String> violations() {
        return mViolations;
    }

    /** Returns the answers that came too late; they are no other violation. */
    Queue<String> late() {
        return mLate;
    }

    /** Returns the requests that an instance ended after their time without a decision. */
    Queue<String> undecided() {
        return mUndecided;
    }

    Map<String, Integer> counts() {
        return new TreeMap<>(mCounts);
    }

    void violation(String what) {
        mViolations.add(what);
    }

    void count(String what) {
        mCounts.merge(what, 1, Integer::sum);
    }

    void executed(String id, String target) {
        int executions = mExecutions.merge(id, 1, Integer::sum);
        if (executions > 1 && target.startsWith("/once/")) {
            violation(id + " " + target + " was executed " + executions + " times");
        }
    }

    /** Records a request whose connection ended without an answer. */
    void unanswered(Request request, String how) {
        boolean executed = mExecutions.containsKey(request.id());
        boolean stopping = request.instance().isStopping();
        long idle = request.idleMillis() < 0 ? -1 : request.idleMillis() + stallBefore(request);
        if (request.instance().isKilled()) {
            count("no answer, killed");
        } else if (!executed && stopping && request.idleMillis() < 0) {
            // The process may have ended before it read from the connection.
            count("not read, end of the process");
        } else if (!executed && idle >= IDLE_MILLIS) {
            count("not read, idle connection");
        } else {
            violation(
                    ("%s has no answer: %s, executed %s, stopping %s, paused %s,"
                                    + " idle %d ms with stalls, %s")
                            .formatted(
                                    request,
                                    how,
                                    executed,
                                    stopping,
                                    request.instance().isExcused(request.startNanos()),
                                    idle,
                                    after(request)));
        }
    }

    /**
     * Returns for how long the callers' process stalled before a request was sent, milliseconds. An
     * answer that waits in a stall is idle time to the instance.
     */
    private long stallBefore(Request request) {
        long from =
                request.startNanos()
                        - TimeUnit.MILLISECONDS.toNanos(request.idleMillis() + IDLE_MILLIS);
        return mStalls.totalMillis(from);
    }

    private static String brief(RawCaller.Response response) {
        return response.toString().replaceAll("\\s+", " ");
    }

    private static String after(Request request) {
        long nanos = System.nanoTime() - request.startNanos();
        return "after " + TimeUnit.NANOSECONDS.toMillis(nanos) + " ms";
    }

    /** Records an answer; returns the number of the last event that the caller now has. */
    int answered(Request request, RawCaller.Response response) {
        boolean excused = request.instance().isExcused(request.startNanos());
        count(response.status() + (response.complete() ? "" : ", broken off"));
        if (SoakReasons.isNeeded(request, response)) {
            mEndings.add(new Ending(request, response));
        }
        long late = response.took().toMillis() - request.limitMillis();
        if (late > LATE_MILLIS && !excused) {
            long stall = mStalls.totalMillis(request.startNanos());
            if (late > LATE_MILLIS + stall) {
                mLate.add(request + " has " + brief(response) + ", stalls of " + stall + " ms");
            } else {
                count("late, machine stalled");
            }
        }
        checkAdmission(request, response);
        if (response.status() == 503) {
            mRefused.put(request.id(), request.target());
        }
        if (response.status() != 200) {
            if (!response.complete() && !excused) {
                violation(request + " has a part of a refusal: " + brief(response));
            }
            return request.last();
        }
        if (!request.id().equals(response.headers().get("x-id"))) {
            violation(request + " has the answer to another request: " + brief(response));
        }
        if (request.isStream()) {
            SoakEvents.Judgement judgement =
                    SoakEvents.judge(request, response.body(), response.complete(), mAttempts);
            if (judgement.violation() != null) {
                violation(
                        "%s has a wrong answer, %s: %s; %s"
                                .formatted(
                                        request,
                                        judgement.violation(),
                                        brief(response),
                                        mAttempts.describe(request.id(), request.startNanos())));
            }
            return judgement.last();
        }
        String expected = request.id() + request.target();
        boolean whole = response.body().equals(expected);
        boolean part = !response.complete() && expected.startsWith(response.body());
        if (!whole && !part || part && !excused) {
            violation(request + " has a wrong answer: " + brief(response));
        }
        return 0;
    }

    /**
     * Checks that a version which may have been in force refuses or admits the request as the
     * instance did.
     */
    private void checkAdmission(Request request, RawCaller.Response response) {
        int status = ADMITTED.contains(response.status()) ? 200 : response.status();
        if (status != 200 && status != 401 && status != 404) {
            return;
        }
        long from = request.instance().versionBefore(request.startNanos());
        long to =
                mConfiguration.versionPublishedBy(request.startNanos() + response.took().toNanos());
        String route = request.target().split("/")[1];
        if (!mConfiguration.isPossible(status, route, request.key(), from, to)) {
            violation(
                    "%s has %d, which no version from %d to %d gives"
                            .formatted(request, response.status(), from, to));
        }
    }

    /** Records that the store came back from a copy. */
    void storeRestored(List<SoakInstance> instances) {
        count("store restored");
        long now = System.nanoTime();
        List<SoakInstance> peers =
                instances.stream()
                        .filter(i -> i.isAlive() && !i.isStopping() && !i.isExcused(now))
                        .filter(i -> i.versionBefore(now) > 0)
                        .toList();
        long version = peers.stream().mapToLong(i -> i.versionBefore(now)).min().orElse(0);
        mRestores.add(new Restore(now, version, peers));
    }

    /**
     * Checks that an instance that starts beside others does not put an older configuration of the
     * copy in force.
     */
    private void checkStarted(SoakInstance instance, long shown) {
        for (Restore restore : mRestores) {
            if (shown < restore.version()
                    && instance.isStartedAfter(restore.atNanos())
                    && restore.peers().stream().noneMatch(i -> i.isExcused(restore.atNanos()))
                    && restore.peers().stream().anyMatch(i -> !i.isStopping())) {
                violation(
                        "%s started with configuration %d of a copy, the others had %d"
                                .formatted(instance.name(), shown, restore.version()));
            }
        }
    }

    /** Records the configuration that an answer of an instance shows. */
    long shown(SoakInstance instance, RawCaller.Response response, long sentAt) {
        Matcher version = VERSION.matcher(response.body());
        if (response.status() != 200 || !version.matches()) {
            return 0;
        }
        long shown = Long.parseLong(version.group(1));
        count("versions shown");
        checkStarted(instance, shown);
        if (!instance.showsVersion(shown, sentAt)) {
            violation(instance.name() + " went back to configuration " + shown);
        }
        return shown;
    }

    /** Checks what only the whole history shows. */
    void check() {
        mEndings.forEach(ending -> judge(ending.request(), ending.response()));
        mRefused.forEach(
                (id, target) -> {
                    if (mExecutions.containsKey(id)) {
                        violation(id + " " + target + " was refused, but executed");
                    }
                });
    }

    /** Checks that an ending that cost a caller an answer has a reason. */
    private void judge(Request request, RawCaller.Response response) {
        String reason = mReasons.reason(request, response);
        if (reason != null) {
            count("reason: " + reason);
        } else if (response.body().contains("without a decision")
                && mReasons.isTimeOver(request, response)) {
            mUndecided.add(mReasons.describe(request, response));
        } else {
            violation(mReasons.describe(request, response));
        }
    }
}
