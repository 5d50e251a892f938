package org.gentianwalk.server.pipeline;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.RequestKey;
import org.jspecify.annotations.Nullable;

/** The running and the recently ended generations of this instance, by request key. */
final class GenerationRegistry {
    /** Time for which an answer is kept after its end (design section 4). */
    static final Duration RETENTION = Duration.ofSeconds(60);

    private static final long MAX_RETAINED_BYTES = 64L << 20;

    private final Map<RequestKey, Generation> mByKey = new ConcurrentHashMap<>();

    @Nullable Generation find(RequestKey key) {
        Generation generation = mByKey.get(key);
        if (generation != null && isDiscardable(generation)) {
            mByKey.remove(key, generation);
            return null;
        }
        return generation;
    }

    /** Adds a generation unless its key is taken, and returns the registered one. */
    Generation add(Generation candidate) {
        RequestKey key = candidate.request().key();
        find(key);
        Generation present = mByKey.putIfAbsent(key, candidate);
        return present == null ? candidate : present;
    }

    void remove(Generation generation) {
        mByKey.remove(generation.request().key(), generation);
    }

    long running() {
        return mByKey.values().stream().filter(generation -> !generation.isEnded()).count();
    }

    /**
     * Removes expired answers, and abandons generations without a reader for the reconnect grace.
     */
    void sweep(ServingRules.Limits limits, long nowNanos, AbandonAction abandon) {
        long retention = RETENTION.toNanos();
        long grace = limits.reconnectGrace().toNanos();
        long bytes = 0;
        for (Generation generation : mByKey.values()) {
            if (generation.isEnded()) {
                if (isDiscardable(generation) || generation.isUnreadFor(retention, nowNanos)) {
                    remove(generation);
                } else {
                    bytes += generation.bytes();
                }
            } else if (generation.isUnreadFor(grace, nowNanos)) {
                abandon.abandon(generation);
            }
        }
        if (bytes > MAX_RETAINED_BYTES) {
            evictOldest(bytes, nowNanos);
        }
    }

    private void evictOldest(long bytes, long nowNanos) {
        long remaining = bytes;
        List<Generation> oldest =
                mByKey.values().stream()
                        .filter(g -> g.isEnded() && g.isUnreadFor(0, nowNanos))
                        .sorted(Comparator.comparingLong(g -> g.request().arrivedNanos()))
                        .toList();
        for (Generation generation : oldest) {
            if (remaining <= MAX_RETAINED_BYTES) {
                return;
            }
            remaining -= generation.bytes();
            remove(generation);
        }
    }

    // Nothing is kept of a request that did not run or that another instance runs.
    private static boolean isDiscardable(Generation generation) {
        return switch (generation.end()) {
            case GenerationEnd.TakenOver taken -> true;
            case GenerationEnd.Failed failed ->
                    failed.error().outcome() == Outcome.NOT_RUN
                            || failed.error().kind() == ErrorKind.INTERNAL
                            || isRestartable(generation, failed.error());
            case GenerationEnd.Finished finished -> false;
            case null -> false;
        };
    }

    private static boolean isRestartable(Generation generation, ServeError error) {
        return generation.releasedTokens() == 0 && error.kind() != ErrorKind.GENERATION_DIVERGED;
    }

    /** Ends a generation that has no reader. */
    @FunctionalInterface
    interface AbandonAction {
        void abandon(Generation generation);
    }
}
