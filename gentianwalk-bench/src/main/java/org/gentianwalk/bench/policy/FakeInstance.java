package org.gentianwalk.bench.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.core.policy.OfferResult;
import org.gentianwalk.core.policy.PolicyPeer;
import org.gentianwalk.core.policy.Scheduler;
import org.gentianwalk.core.policy.Scheduler.Loss;
import org.gentianwalk.core.policy.fairness.PolicyMessage.Addressed;

/** Simulates one instance: runs its own scheduler's decisions on the fake engines. */
final class FakeInstance {
    private static final long TICK_NANOS = 20 * VirtualClock.MILLI;
    private static final long MESSAGE_TICK_NANOS = 100 * VirtualClock.MILLI;

    /** Time after which connecting to an unreachable engine fails. */
    private static final long CONNECT_TIMEOUT = VirtualClock.SECOND;

    /** Time without a token after which a stall is reported to schedulers without health checks. */
    private static final long STALL_TIMEOUT = 2 * VirtualClock.SECOND;

    final String mId;
    final Location mLocation;
    final Scheduler mScheduler;
    private final Simulation mSimulation;
    private final Map<RequestKey, Generation> mOpen = new HashMap<>();
    private final Set<String> mUnreachable = new HashSet<>();
    private boolean mAlive = true;

    FakeInstance(String id, Location location, Scheduler scheduler, Simulation simulation) {
        mId = id;
        mLocation = location;
        mScheduler = scheduler;
        mSimulation = simulation;
        VirtualClock clock = simulation.mClock;
        clock.every(simulation.jitter(TICK_NANOS), TICK_NANOS, this::advance);
        clock.every(simulation.jitter(MESSAGE_TICK_NANOS), MESSAGE_TICK_NANOS, this::sendMessages);
        if (!(scheduler instanceof PolicyPeer)) {
            clock.every(simulation.jitter(STALL_TIMEOUT / 4), STALL_TIMEOUT / 4, this::checkStalls);
        }
    }

    boolean isAlive() {
        return mAlive;
    }

    boolean isIdle() {
        return mOpen.isEmpty();
    }

    /** Stops the instance and returns its open generations. */
    List<Generation> stop() {
        mAlive = false;
        List<Generation> open = List.copyOf(mOpen.values());
        mOpen.clear();
        return open;
    }

    void offer(Generation generation) {
        long now = mSimulation.mClock.now();
        OfferResult result = mScheduler.offer(generation.mItem, now);
        handleOfferResult(generation, result);
    }

    void offerContinuation(Generation generation) {
        long now = mSimulation.mClock.now();
        generation.mOwner = this;
        OfferResult result =
                mScheduler.offerContinuation(
                        generation.mItem, generation.mGenerated, generation.mAttempt + 1, now);
        handleOfferResult(generation, result);
    }

    void receiveToken(Generation generation, FakeEngine engine) {
        long now = mSimulation.mClock.now();
        if (!mAlive || mUnreachable.contains(engine.mInfo.location().availabilityZone())) {
            return;
        }
        if (generation.mCrashing && generation.mGenerated >= generation.mOutput / 2) {
            mSimulation.crash(engine);
            return;
        }
        generation.mGenerated++;
        mSimulation.mRecorder.recordToken(generation, this, engine, now);
        generation.mLastToken = now;
        mScheduler.progress(generation.mItem.id(), 1, now);
        if (generation.mGenerated >= generation.mOutput) {
            generation.mEnded = true;
            mOpen.remove(generation.mItem.id());
            mSimulation.mRecorder.recordCompletion(generation, now);
            mScheduler.finished(generation.mItem.id(), generation.mCachedTokens, now);
            advance();
        }
    }

    void handleLostAttempt(Generation generation, int attempt, Loss loss) {
        if (!mAlive || generation.mEnded || generation.mAttempt != attempt) {
            return;
        }
        long now = mSimulation.mClock.now();
        if (generation.mEngine == null) {
            return;
        }
        if (generation.mGenerated > 0 && generation.mInterruptedAt < 0) {
            generation.mInterruptedAt = now;
        }
        generation.mEngine.cancel(generation);
        generation.mEngine = null;
        mScheduler.attemptLost(generation.mItem.id(), loss, now);
        advance();
    }

    void advance() {
        if (!mAlive) {
            return;
        }
        for (Decision decision : mScheduler.advance(mSimulation.mClock.now())) {
            Generation generation = mOpen.get(decision.item().id());
            if (generation == null) {
                continue;
            }
            switch (decision) {
                case Decision.Start start -> startAttempt(generation, start);
                case Decision.Refuse refuse -> endRefused(generation, refuse.error().kind().code());
                case Decision.Cancel cancel -> cancelAttempt(generation, cancel);
            }
        }
    }

    private void handleOfferResult(Generation generation, OfferResult result) {
        switch (result) {
            case OfferResult.Queued queued -> {
                mOpen.put(generation.mItem.id(), generation);
                advance();
            }
            case OfferResult.Refused refused -> {
                generation.mEnded = true;
                mSimulation.mRecorder.recordRefusal(
                        generation, refused.error().kind().code(), mSimulation.mClock.now());
            }
        }
    }

    private void startAttempt(Generation generation, Decision.Start start) {
        FakeEngine engine = mSimulation.engine(start.upstream());
        generation.mAttempt = start.attempt();
        generation.mEngine = engine;
        mSimulation.mRecorder.recordStart(generation, this, engine, mSimulation.mClock.now());
        int attempt = start.attempt();
        long delay = mSimulation.latency(mLocation, engine.mInfo.location());
        mSimulation.mClock.after(
                delay,
                () -> {
                    if (generation.mEngine != engine || generation.mAttempt != attempt) {
                        return;
                    }
                    if (engine.isAlive()) {
                        engine.submit(generation, attempt, start.priority());
                        return;
                    }
                    long errorDelay = mSimulation.isZoneLost(engine) ? CONNECT_TIMEOUT : delay;
                    mSimulation.mClock.after(
                            errorDelay, () -> handleLostAttempt(generation, attempt, Loss.REFUSED));
                });
    }

    private void cancelAttempt(Generation generation, Decision.Cancel cancel) {
        FakeEngine engine = generation.mEngine;
        generation.mEngine = null;
        if (engine != null) {
            engine.cancel(generation);
        }
        if (cancel.error() != null) {
            endRefused(generation, cancel.error().kind().code());
        } else if (generation.mGenerated > 0 && generation.mInterruptedAt < 0) {
            generation.mInterruptedAt =
                    Math.max(generation.mLastToken, mSimulation.faultTime(engine));
        }
    }

    private void endRefused(Generation generation, String kind) {
        generation.mEnded = true;
        mOpen.remove(generation.mItem.id());
        mSimulation.mRecorder.recordRefusal(generation, kind, mSimulation.mClock.now());
    }

    private void sendMessages() {
        if (!mAlive || !(mScheduler instanceof PolicyPeer peer)) {
            return;
        }
        for (Addressed addressed : peer.messages(mSimulation.mClock.now())) {
            mSimulation.deliver(this, addressed);
        }
    }

    private void checkStalls() {
        long now = mSimulation.mClock.now();
        for (Generation generation : List.copyOf(mOpen.values())) {
            FakeEngine engine = generation.mEngine;
            if (engine != null
                    && !engine.isResponsive()
                    && now - Math.max(generation.mLastToken, mSimulation.faultTime(engine))
                            > STALL_TIMEOUT) {
                handleLostAttempt(generation, generation.mAttempt, Loss.STALLED);
            }
        }
    }
}
