package org.gentianwalk.core.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.ListIterator;
import org.gentianwalk.core.policy.retry.RetryBudget;
import org.gentianwalk.core.policy.routing.EngineState;
import org.gentianwalk.core.policy.routing.HealthMonitor;
import org.gentianwalk.core.policy.suspect.SuspectTable;

/**
 * Finds the work to move away from silent engines, and counts its attempts as lost only when the
 * loss of the engine is confirmed: its process has ended, or it has not responded to a check for
 * longer than a second. An engine may also be silent for a second and go on.
 */
final class SilentWork {
    /** Interval between two ticks after which this process itself was paused. */
    private static final long LATE_TICK_NANOS = 200_000_000L;

    /** Time after a pause of this process in which engines that are sound give a sign of life. */
    private static final long GRACE_NANOS = 1_000_000_000L;

    /** Time after which a loss that nothing has confirmed is no longer waited for. */
    private static final long MAX_WAIT_NANOS = 30_000_000_000L;

    private final HealthMonitor mHealth;
    private final Dispatcher mDispatcher;
    private final RetryBudget mRetries;
    private final SuspectTable mSuspects;
    private final List<Unconfirmed> mUnconfirmed = new ArrayList<>();
    private boolean mStarted;
    private long mLastTick;
    private long mGraceEnd;

    SilentWork(
            HealthMonitor health,
            Dispatcher dispatcher,
            RetryBudget retries,
            SuspectTable suspects) {
        mHealth = health;
        mDispatcher = dispatcher;
        mRetries = retries;
        mSuspects = suspects;
    }

    /** Records a tick; must precede the checks of the pools. */
    void recordTick(Iterable<EngineState> engines, long nowNanos) {
        if (mStarted && nowNanos - mLastTick > LATE_TICK_NANOS) {
            mGraceEnd = nowNanos + GRACE_NANOS;
            engines.forEach(engine -> engine.health().restartSilence(nowNanos));
        }
        if (!mStarted) {
            mGraceEnd = nowNanos;
        }
        mStarted = true;
        mLastTick = nowNanos;
        countConfirmed(nowNanos - mGraceEnd < 0, nowNanos);
    }

    /** Returns the running work of a pool that moves to another engine. */
    List<ScheduledWork> toMove(Pool pool, long nowNanos) {
        List<ScheduledWork> moved = new ArrayList<>();
        if (nowNanos - mGraceEnd < 0) {
            return moved;
        }
        for (EngineState engine : mHealth.check(pool.mEngines, nowNanos)) {
            for (ScheduledWork work : mDispatcher.running().values()) {
                if (work.mEngine == engine && mayMove(pool, work, nowNanos)) {
                    moved.add(work);
                }
            }
        }
        return moved;
    }

    /**
     * Returns whether work may leave its silent engine: another engine can take it, and there is
     * credit. Before the loss is confirmed, the last half of the credit is left for other losses,
     * and a request with an earlier loss stays, since it would have to wait elsewhere.
     */
    boolean mayMove(Pool pool, ScheduledWork work, long nowNanos) {
        EngineState engine = work.mEngine;
        if (engine == null) {
            return true;
        }
        boolean confirmed = engine.isProcessEnded() || engine.isUnresponsive(nowNanos);
        if (!confirmed && mSuspects.hasLoss(work.mItem.fingerprint(), nowNanos)) {
            return false;
        }
        String team = work.mItem.team();
        boolean hasCredit =
                confirmed ? mRetries.isAvailable(team) : mRetries.isAvailableForSilence(team);
        return hasCredit && hasOtherEngine(pool, engine, nowNanos);
    }

    /** Records that work has left an engine that may be lost. */
    void moved(ScheduledWork work, EngineState engine, long nowNanos) {
        // The loss is as old as the silence, so that a long silence does not hold the request
        // twice.
        long atNanos = nowNanos - engine.health().knownSilenceNanos(nowNanos);
        mUnconfirmed.add(new Unconfirmed(work, engine, atNanos, false));
        if (engine.report() != null) {
            mSuspects.recordUnsettledLoss(work.mItem.fingerprint(), engine.id(), atNanos);
        }
    }

    /**
     * Counts the losses that are confirmed. After a pause of this process only the end of an
     * engine's process confirms one: a refused connection does not depend on the pause, as silence
     * and the time of a sign of life do.
     */
    private void countConfirmed(boolean wasPaused, long nowNanos) {
        ListIterator<Unconfirmed> losses = mUnconfirmed.listIterator();
        while (losses.hasNext()) {
            Unconfirmed loss = losses.next();
            EngineState engine = loss.engine();
            if (engine.isProcessEnded()) {
                losses.remove();
                count(loss, SuspectTable.Proof.PROCESS_ENDED, nowNanos);
            } else if (wasPaused) {
                continue;
            } else if (engine.hasSignOfLifeSince(loss.atNanos())) {
                losses.remove();
                loss.work().mCountedAttempts -= loss.counted() ? 1 : 0;
            } else if (nowNanos - loss.atNanos() > MAX_WAIT_NANOS) {
                losses.remove();
            } else if (!loss.counted() && engine.isUnresponsive(nowNanos)) {
                losses.set(new Unconfirmed(loss.work(), engine, loss.atNanos(), true));
                count(loss, SuspectTable.Proof.UNRESPONSIVE, nowNanos);
            }
        }
    }

    private void count(Unconfirmed loss, SuspectTable.Proof proof, long nowNanos) {
        loss.work().mCountedAttempts += loss.counted() ? 0 : 1;
        mSuspects.recordLoss(
                loss.work().mItem.fingerprint(),
                loss.engine().id(),
                loss.atNanos(),
                nowNanos,
                proof);
    }

    private static boolean hasOtherEngine(Pool pool, EngineState engine, long nowNanos) {
        for (EngineState other : pool.mEngines) {
            if (other != engine && !other.isKnownSilent() && other.isUsable(nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /** An attempt that left an engine which may be lost or only silent. */
    private record Unconfirmed(
            ScheduledWork work, EngineState engine, long atNanos, boolean counted) {}
}
