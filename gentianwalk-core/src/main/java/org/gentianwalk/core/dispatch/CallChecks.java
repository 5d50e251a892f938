package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.dispatch.LivenessAware.LivenessCheck;
import org.jspecify.annotations.Nullable;

/** The liveness checks of the upstreams of a plain service. */
final class CallChecks {
    /**
     * Timeout of a check: a new connection to another region and a round trip, on a busy machine.
     */
    private static final Duration TIMEOUT = Duration.ofMillis(250);

    /** Minimum time between the start of two checks of an upstream. */
    private static final long INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    private final UpstreamLimits mLimits;
    private final Map<Upstream, CallTarget> mPending = new HashMap<>();
    private List<LivenessCheck> mChecks = new ArrayList<>();

    CallChecks(UpstreamLimits limits) {
        mLimits = limits;
    }

    /**
     * Requests a check of an upstream unless one is in progress or recent, or the upstream has
     * asked this instance to send nothing.
     */
    void request(CallTarget target, long nowNanos) {
        if (mLimits.isPausing(target.upstream(), nowNanos)
                || !target.startCheck(nowNanos, INTERVAL_NANOS)) {
            return;
        }
        mPending.put(target.upstream(), target);
        mChecks.add(new LivenessCheck(target.upstream(), TIMEOUT));
    }

    /** Returns the checks requested since the last call. */
    List<LivenessCheck> take() {
        List<LivenessCheck> checks = mChecks;
        mChecks = new ArrayList<>();
        return checks;
    }

    /** Returns the upstream of a check in progress, or null. */
    @Nullable CallTarget checkedTarget(Upstream upstream) {
        return mPending.get(upstream);
    }

    /** Ends a check, and returns the upstream that was checked. */
    @Nullable CallTarget end(Upstream upstream, boolean responded) {
        CallTarget target = mPending.remove(upstream);
        if (target != null) {
            target.endCheck(responded);
        }
        return target;
    }
}
