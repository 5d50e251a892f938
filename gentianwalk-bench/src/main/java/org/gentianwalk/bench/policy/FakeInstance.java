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
    private static final long TICK = 20 * VirtualClock.MILLI;
    private static final long MESSAGE_TICK = 100 * VirtualClock.MILLI;

    /** Time after which connecting to an unreachable engine fails. */
    private static final long CONNECT_TIMEOUT = VirtualClock.SECOND;

    /** Time without a token after which a stall is reported to schedulers without health checks. */
    private static final long STALL_TIMEOUT = 2 * VirtualClock.SECOND;

    final String mId;
    final Location mLocation;
    final Scheduler mScheduler;
    private final World mWorld;
    private final Map<RequestKey, Generation> mOpen = new HashMap<>();
    private final Set<String> mUnreachable = new HashSet<>();
    private boolean mAlive = true;

    FakeInstance(String id, Location location, Scheduler scheduler, World world) {
        mId = id;
        mLocation = location;
        mScheduler = scheduler;
        mWorld = world;
        VirtualClock clock = world.mClock;
        clock.every(world.jitter(TICK), TICK, this::advance);
        clock.every(world.jitter(MESSAGE_TICK), MESSAGE_TICK, this::sendMessages);
        if (!(scheduler instanceof PolicyPeer)) {
            clock.every(world.jitter(STALL_TIMEOUT / 4), STALL_TIMEOUT / 4, this::checkStalls);
        }
    }

    boolean isAlive() {
        return mAlive;
    }

    boolean isIdle() {
        return mOpen.isEmpty();
    }

    /** Stops the instance and returns its open generations. */
    List<Generation> die() {
        mAlive = false;
        List<Generation> open = List.copyOf(mOpen.values());
        mOpen.clear();
        return open;
    }

    void offer(Generation generation) {
        long now = mWorld.mClock.now();
        OfferResult result = mScheduler.offer(generation.mItem, now);
        accept(generation, result);
    }

    void offerContinuation(Generation generation) {
        long now = mWorld.mClock.now();
        generation.mOwner = this;
        OfferResult result =
                mScheduler.offerContinuation(
                        generation.mItem, generation.mGenerated, generation.mAttempt + 1, now);
        accept(generation, result);
    }

    void token(Generation generation, FakeEngine engine) {
        long now = mWorld.mClock.now();
        if (!mAlive || mUnreachable.contains(engine.mInfo.location().availabilityZone())) {
            return;
        }
        if (generation.mCrashing && generation.mGenerated >= generation.mOutput / 2) {
            mWorld.crash(engine);
            return;
        }
        generation.mGenerated++;
        mWorld.mRecorder.token(generation, this, engine, now);
        generation.mLastToken = now;
        mScheduler.progress(generation.mItem.id(), 1, now);
        if (generation.mGenerated >= generation.mOutput) {
            generation.mEnded = true;
            mOpen.remove(generation.mItem.id());
            mWorld.mRecorder.completed(generation, now);
            mScheduler.finished(generation.mItem.id(), generation.mCachedTokens, now);
            advance();
        }
    }

    void lost(Generation generation, int attempt, Loss loss) {
        if (!mAlive || generation.mEnded || generation.mAttempt != attempt) {
            return;
        }
        long now = mWorld.mClock.now();
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
        for (Decision decision : mScheduler.advance(mWorld.mClock.now())) {
            Generation generation = mOpen.get(decision.item().id());
            if (generation == null) {
                continue;
            }
            switch (decision) {
                case Decision.Start start -> start(generation, start);
                case Decision.Refuse refuse -> end(generation, refuse.error().kind().code());
                case Decision.Cancel cancel -> cancel(generation, cancel);
            }
        }
    }

    private void accept(Generation generation, OfferResult result) {
        switch (result) {
            case OfferResult.Queued queued -> {
                mOpen.put(generation.mItem.id(), generation);
                advance();
            }
            case OfferResult.Refused refused -> {
                generation.mEnded = true;
                mWorld.mRecorder.refused(
                        generation, refused.error().kind().code(), mWorld.mClock.now());
            }
        }
    }

    private void start(Generation generation, Decision.Start start) {
        FakeEngine engine = mWorld.engine(start.upstream());
        generation.mAttempt = start.attempt();
        generation.mEngine = engine;
        mWorld.mRecorder.started(generation, this, engine, mWorld.mClock.now());
        int attempt = start.attempt();
        long delay = mWorld.latency(mLocation, engine.mInfo.location());
        mWorld.mClock.after(
                delay,
                () -> {
                    if (generation.mEngine != engine || generation.mAttempt != attempt) {
                        return;
                    }
                    if (engine.isAlive()) {
                        engine.submit(generation, attempt, start.priority());
                        return;
                    }
                    long answer = mWorld.isZoneLost(engine) ? CONNECT_TIMEOUT : delay;
                    mWorld.mClock.after(answer, () -> lost(generation, attempt, Loss.REFUSED));
                });
    }

    private void cancel(Generation generation, Decision.Cancel cancel) {
        FakeEngine engine = generation.mEngine;
        generation.mEngine = null;
        if (engine != null) {
            engine.cancel(generation);
        }
        if (cancel.error() != null) {
            end(generation, cancel.error().kind().code());
        } else if (generation.mGenerated > 0 && generation.mInterruptedAt < 0) {
            generation.mInterruptedAt = Math.max(generation.mLastToken, mWorld.faultTime(engine));
        }
    }

    private void end(Generation generation, String kind) {
        generation.mEnded = true;
        mOpen.remove(generation.mItem.id());
        mWorld.mRecorder.refused(generation, kind, mWorld.mClock.now());
    }

    private void sendMessages() {
        if (!mAlive || !(mScheduler instanceof PolicyPeer peer)) {
            return;
        }
        for (Addressed addressed : peer.messages(mWorld.mClock.now())) {
            mWorld.deliver(this, addressed);
        }
    }

    private void checkStalls() {
        long now = mWorld.mClock.now();
        for (Generation generation : List.copyOf(mOpen.values())) {
            FakeEngine engine = generation.mEngine;
            if (engine != null
                    && !engine.isResponsive()
                    && now - Math.max(generation.mLastToken, mWorld.faultTime(engine))
                            > STALL_TIMEOUT) {
                lost(generation, generation.mAttempt, Loss.STALLED);
            }
        }
    }
}
