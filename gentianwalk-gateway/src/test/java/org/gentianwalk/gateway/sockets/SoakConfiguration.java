package org.gentianwalk.gateway.sockets;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** Draws configurations: routes, services, limits and keys that differ with each version. */
final class SoakConfiguration {
    static final List<String> SERVICES = List.of("desk", "desk2", "writer", "writer2", "mark");

    private final Random mRandom;
    private final Map<Long, Map<String, Integer>> mTimeouts = new ConcurrentHashMap<>();
    private final Map<Long, Admissions> mAdmissions = new ConcurrentHashMap<>();
    private final ConcurrentSkipListMap<Long, Long> mPublished = new ConcurrentSkipListMap<>();
    private volatile long mVersion;
    private volatile boolean mRefusingBodies;

    /**
     * What a version admits.
     *
     * @param routes its routes, and whether each needs no key
     * @param keys its keys
     */
    private record Admissions(Map<String, Boolean> routes, Set<String> keys) {
        /** Returns the status of a refusal for a missing route or key, or 200. */
        int status(String route, String key) {
            Boolean anonymous = routes.get(route);
            if (anonymous == null) {
                return 404;
            }
            return anonymous || keys.contains(key) ? 200 : 401;
        }
    }

    SoakConfiguration(Random random) {
        mRandom = random;
    }

    long version() {
        return mVersion;
    }

    /** Returns whether the latest version refuses the bodies of all requests. */
    boolean isRefusingBodies() {
        return mRefusingBodies;
    }

    /** Returns the latest version that was published before a time. */
    long versionPublishedBy(long nanos) {
        long latest = 0;
        for (Map.Entry<Long, Long> published : mPublished.entrySet()) {
            if (nanos - published.getValue() >= 0) {
                latest = published.getKey();
            }
        }
        return latest;
    }

    /** Returns the timeouts of a route in a range of versions, milliseconds. */
    List<Integer> timeoutsMillis(String route, long from, long to) {
        List<Integer> timeouts = new ArrayList<>();
        for (long version = Math.max(1, from); version <= to; version++) {
            Integer timeout = mTimeouts.getOrDefault(version, Map.of()).get(route);
            if (timeout != null) {
                timeouts.add(timeout);
            }
        }
        return timeouts;
    }

    /**
     * Returns whether a version of a range admits a request (status 200), or refuses it with a
     * status, 404 for a missing route or 401 for a missing key.
     */
    boolean isPossible(int status, String route, String key, long from, long to) {
        for (long version = Math.max(1, from); version <= to; version++) {
            Admissions admissions = mAdmissions.get(version);
            // The latest one may not be complete, and is not published then.
            if (admissions != null && admissions.status(route, key) == status) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the next version.
     *
     * @param sound whether it has all routes, services and keys
     * @param mayRefuseBodies whether it may refuse the bodies of all requests
     */
    byte[] next(boolean sound, boolean mayRefuseBodies) {
        long number = mVersion + 1;
        mPublished.put(number, System.nanoTime());
        mTimeouts.put(number, new ConcurrentHashMap<>());
        mAdmissions.put(
                number, new Admissions(new ConcurrentHashMap<>(), ConcurrentHashMap.newKeySet()));
        mVersion = number;
        StringBuilder text = new StringBuilder("version " + number + "\n");
        boolean strict = !sound && mRandom.nextInt(6) == 0;
        mRefusingBodies = strict && mRandom.nextBoolean() && mayRefuseBodies;
        text.append("limits 16384 ").append(mRefusingBodies ? 1 : 1 << 20);
        text.append(strict ? " 400 500\n" : " 3000 15000\n");
        route(text, sound, "safe", "IDEMPOTENT_CALL", "desk", "desk2");
        route(text, sound, "once", "SINGLE_CALL", "desk", "desk2");
        route(text, sound, "stream", "RESUMABLE_STREAM", "writer", "writer2");
        route(text, sound, "extra", "IDEMPOTENT_CALL", "desk2", "writer2");
        text.append("route version IDEMPOTENT_CALL 2000 mark false\nservice mark plain\n");
        for (String service : List.of("desk", "desk2", "writer", "writer2")) {
            boolean engine = service.startsWith("writer");
            boolean changes = service.endsWith("2") && mRandom.nextInt(4) == 0;
            if (sound || mRandom.nextInt(20) != 0) {
                String kind = engine != (changes && !sound) ? "engine" : "plain";
                text.append("service ").append(service).append(' ').append(kind).append('\n');
            }
        }
        for (int key = 0; key < 3; key++) {
            if (sound || mRandom.nextInt(5) != 0) {
                mAdmissions.get(number).keys().add("k" + key);
                text.append("team k").append(key).append(" t").append(key).append('\n');
            }
        }
        text.append("team probe v").append(mVersion).append('\n');
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void route(
            StringBuilder text,
            boolean sound,
            String name,
            String kind,
            String usual,
            String other) {
        int millis = 800 + mRandom.nextInt(3_200);
        String service = mRandom.nextInt(3) == 0 ? other : usual;
        boolean anonymous = mRandom.nextInt(4) == 0;
        if (sound || mRandom.nextInt(10) != 0) {
            mTimeouts.get(mVersion).put(name, millis);
            mAdmissions.get(mVersion).routes().put(name, anonymous);
            text.append("route %s %s %d %s %b\n".formatted(name, kind, millis, service, anonymous));
        }
    }
}
