package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.dispatch.LivenessAware.LivenessCheck;
import org.gentianwalk.core.model.Location.Distance;
import org.jspecify.annotations.Nullable;

/**
 * Detects attempts that may be lost although their connections are still open. Missing output makes
 * an engine suspect, as does the report of another instance, which may have been paused itself. A
 * check that gets no response makes it unresponsive until its next sign of life. A sound engine may
 * be silent for a second or so, so no diagnosis shows a loss.
 */
final class LossDetector {
    /** Time past the expected first output after which the engine is checked. */
    private static final long OVERDUE_CHECK_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * Margin after which the first output counts as stalled although the engine responds. It is
     * large, since the backlog of other instances may not have been reported yet.
     */
    private static final long OVERDUE_MARGIN_NANOS = Duration.ofMillis(1_500).toNanos();

    private static final double OVERDUE_FACTOR = 2.5;

    /**
     * Time without output after which a stream counts as stalled although the engine responds. A
     * machine that is slow for a moment takes up to about two thirds of a second for an event.
     */
    private static final long STALL_NANOS = Duration.ofMillis(2_000).toNanos();

    /** Minimum time between two checks of an engine. */
    private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    /** Timeout of a check within the region: a new connection and a round trip. */
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(50);

    /** Timeout of a check in another region, where each round trip takes about 25 ms. */
    private static final Duration REMOTE_CHECK_TIMEOUT = Duration.ofMillis(100);

    private final EngineView mEngineView;
    private final EngineSpeed mSpeed;
    private final LocationMap mLocations;
    private final UpstreamLimits mLimits;
    private final Map<Upstream, EngineState> mPendingChecks = new HashMap<>();
    private List<LivenessCheck> mChecks = new ArrayList<>();
    private boolean mAwaitsInput;
    private boolean mHasInput;
    private long mInputProcessedAt;

    LossDetector(
            EngineView engineView,
            EngineSpeed speed,
            LocationMap locations,
            UpstreamLimits limits) {
        mEngineView = engineView;
        mSpeed = speed;
        mLocations = locations;
        mLimits = limits;
    }

    /** State of an attempt. */
    enum Diagnosis {
        /** There is no sign of a loss, or it is not confirmed yet. */
        SOUND,
        /** The engine produces no output and does not respond to checks. */
        UNRESPONSIVE,
        /** The engine responds, but output of this attempt is long overdue. */
        STALLED
    }

    /** Records that all data received from engines up to a time has been processed. */
    void recordProcessedInput(long nanos) {
        mHasInput = true;
        mInputProcessedAt = nanos;
        mAwaitsInput = false;
    }

    /** Returns whether a diagnosis depends on input that may be received but unprocessed. */
    boolean awaitsInput() {
        return mAwaitsInput;
    }

    /** Returns the checks requested since the last call. */
    List<LivenessCheck> takeChecks() {
        List<LivenessCheck> checks = mChecks;
        mChecks = new ArrayList<>();
        return checks;
    }

    /** Returns the engine of a check in progress, or null. */
    @Nullable EngineState checkedEngine(Upstream upstream) {
        return mPendingChecks.get(upstream);
    }

    /** Records the result of a check, and returns the engine that was checked. */
    @Nullable EngineState recordCheck(Upstream upstream, boolean responded, long nowNanos) {
        EngineState engine = mPendingChecks.remove(upstream);
        if (engine != null && !engine.endCheck(responded, nowNanos)) {
            if (engine.isNotListening()) {
                // The loss has been recorded. Another one would prolong the failure of its zone.
                engine.reachability().recordFailure(nowNanos);
            } else {
                mEngineView.recordFailure(engine, true, nowNanos);
            }
        }
        return engine;
    }

    Diagnosis diagnose(StreamAttempt attempt, long nowNanos) {
        if (!attempt.run().work().kind().isRepeatable()) {
            return Diagnosis.SOUND;
        }
        return attempt.hasOutput()
                ? diagnoseDecoding(attempt, nowNanos)
                : diagnosePrefill(attempt, nowNanos);
    }

    private Diagnosis diagnoseDecoding(StreamAttempt attempt, long nowNanos) {
        EngineState engine = attempt.engine();
        if (!attempt.run().work().kind().isStream()) {
            // No other attempt can continue a response that has begun and is no stream.
            return Diagnosis.SOUND;
        }
        if (!isSilent(attempt.lastOutput(), mSpeed.suspicionNanos(), nowNanos)) {
            return Diagnosis.SOUND;
        }
        if (engine.isSilentAfter(attempt.lastOutput())) {
            return Diagnosis.UNRESPONSIVE;
        }
        if (nowNanos - attempt.lastOutput() > STALL_NANOS) {
            return Diagnosis.STALLED;
        }
        requestCheck(engine, nowNanos);
        return Diagnosis.SOUND;
    }

    private Diagnosis diagnosePrefill(StreamAttempt attempt, long nowNanos) {
        EngineState engine = attempt.engine();
        if (engine.isSilentAfter(attempt.startedAt())) {
            return Diagnosis.UNRESPONSIVE;
        }
        long expected = attempt.expectedAt() - attempt.startedAt();
        if (engine.isReportedSilentAfter(attempt.startedAt())
                || mEngineView.isZoneSilentAfter(engine, attempt.startedAt(), nowNanos)
                || isSilent(attempt.startedAt(), expected + OVERDUE_CHECK_NANOS, nowNanos)) {
            requestCheck(engine, nowNanos);
        }
        long timeout = Math.round(expected * OVERDUE_FACTOR) + OVERDUE_MARGIN_NANOS;
        // Other requests have no output before their whole response.
        boolean stalled =
                attempt.run().work().kind().isStream()
                        && isSilent(attempt.startedAt(), timeout, nowNanos)
                        && !engine.hasOutputSince(nowNanos - timeout / 2);
        return stalled ? Diagnosis.STALLED : Diagnosis.SOUND;
    }

    /**
     * Requests a check of an engine unless one is in progress or recent, or the engine has asked
     * this instance to send nothing.
     */
    void requestCheck(EngineState engine, long nowNanos) {
        if (mLimits.isPausing(engine.upstream(), nowNanos)
                || !engine.startCheck(nowNanos, CHECK_INTERVAL_NANOS)) {
            return;
        }
        Upstream upstream = engine.upstream();
        boolean remote = mLocations.distance(upstream.zone()) == Distance.OTHER_REGION;
        mPendingChecks.put(upstream, engine);
        mChecks.add(new LivenessCheck(upstream, remote ? REMOTE_CHECK_TIMEOUT : CHECK_TIMEOUT));
    }

    /**
     * Returns whether no output has arrived for a time. An instance that was stalled has unread
     * output in its connections, so the time only counts once that has been processed.
     */
    private boolean isSilent(long sinceNanos, long timeoutNanos, long nowNanos) {
        if (nowNanos - sinceNanos <= timeoutNanos) {
            return false;
        }
        if (mHasInput && mInputProcessedAt - sinceNanos > timeoutNanos) {
            return true;
        }
        mAwaitsInput = true;
        return false;
    }
}
