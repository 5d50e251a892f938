package org.gentianwalk.server.node;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.gentianwalk.core.config.MergedConfig;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.Scheduler.Availability;

/**
 * Tracks which upstreams get no new work: those that are leaving according to the platform's
 * instance list and those that operators have drained. Marks are also kept for upstreams that the
 * configuration does not name yet, since a starting instance may receive them before the
 * configuration.
 */
final class UpstreamStates {
    private final Supplier<MergedConfig> mRules;
    private final ScheduledExecutorService mControl;
    private final Set<String> mLeaving = new HashSet<>();
    private final Set<String> mUnusable = new HashSet<>();
    private Set<String> mEngineIds = Set.of();
    private BiConsumer<String, Boolean> mListener = (upstream, leaving) -> {};
    private long mLastSeenVersion;
    private volatile long mAppliedVersion;
    private volatile Set<String> mLeavingSnapshot = Set.of();
    private volatile Set<String> mDrained = Set.of();

    UpstreamStates(Supplier<MergedConfig> rules, ScheduledExecutorService control) {
        mRules = rules;
        mControl = control;
    }

    /** Sets the listener that is called when an engine stops or starts to get new work. */
    void listener(BiConsumer<String, Boolean> listener) {
        mListener = listener;
    }

    /** Updates an upstream from the platform's instance list; called on any thread. */
    void leaving(String upstream, boolean leaving) {
        try {
            mControl.execute(
                    () -> {
                        if (leaving ? mLeaving.add(upstream) : mLeaving.remove(upstream)) {
                            mLeavingSnapshot = Set.copyOf(mLeaving);
                            notifyListener();
                        }
                    });
        } catch (RejectedExecutionException ignored) {
            // The instance is stopping.
        }
    }

    /** Updates the drained upstreams from the operators' marks; called on the control thread. */
    void drained(Set<String> drained) {
        mDrained = Set.copyOf(drained);
        notifyListener();
    }

    /**
     * Applies a new configuration; called periodically on the control thread. A new version is
     * applied at the second call: by then the dispatcher, whose period is shorter, has passed its
     * engines to the scheduler.
     */
    void tick() {
        MergedConfig rules = mRules.get();
        if (rules.version() != mLastSeenVersion) {
            mLastSeenVersion = rules.version();
            return;
        }
        if (mAppliedVersion != mLastSeenVersion) {
            Set<String> engines = new HashSet<>();
            rules.engines().forEach(engine -> engines.add(engine.id()));
            mEngineIds = engines;
            notifyListener();
            mAppliedVersion = mLastSeenVersion;
        }
    }

    /** Returns whether the marks have been applied to the first configuration. */
    boolean isReady() {
        return mAppliedVersion > 0;
    }

    boolean isUsable(String upstream) {
        return !mDrained.contains(upstream) && !mLeavingSnapshot.contains(upstream);
    }

    /** Returns the names of all upstreams of the configuration. */
    Set<String> names() {
        return new TreeSet<>(upstreams().keySet());
    }

    /** Returns the state of an upstream. */
    String state(String upstream, Map<String, Availability> availability) {
        if (mDrained.contains(upstream)) {
            return "drained";
        }
        Availability known = availability.get(upstream);
        if (known == Availability.LOST || known == Availability.ENDED) {
            return "lost";
        }
        return mLeavingSnapshot.contains(upstream) ? "leaving" : "live";
    }

    /** Returns the upstreams of the configuration by identifier. */
    Map<String, UpstreamInfo> upstreams() {
        MergedConfig rules = mRules.get();
        Map<String, UpstreamInfo> upstreams = new LinkedHashMap<>();
        rules.engines().forEach(engine -> upstreams.put(engine.id(), engine));
        rules.services()
                .values()
                .forEach(
                        service ->
                                service.upstreams().forEach(one -> upstreams.put(one.id(), one)));
        return upstreams;
    }

    private void notifyListener() {
        for (String engine : mEngineIds) {
            boolean unusable = !isUsable(engine);
            if (unusable ? mUnusable.add(engine) : mUnusable.remove(engine)) {
                mListener.accept(engine, unusable);
            }
        }
    }
}
