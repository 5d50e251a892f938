package org.gentianwalk.bench.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.gentianwalk.bench.clock.VirtualClock;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.GenerationShape;
import org.gentianwalk.core.dispatch.LoadShare;
import org.gentianwalk.core.dispatch.LocationMap;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.PromptPart;
import org.gentianwalk.core.dispatch.RetryAllowance;
import org.gentianwalk.core.dispatch.RetryBounds;
import org.gentianwalk.core.dispatch.StreamScheduler;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.route.RequestKind;
import org.jspecify.annotations.Nullable;

/** Simulates one instance: runs its scheduler's decisions over a network with delays. */
final class InstanceModel {
    private static final long TICK_NANOS = 40 * VirtualClock.MILLI;
    private static final long SHARE_PAUSE_NANOS = 20 * VirtualClock.MILLI;
    private static final long FAR_PAUSE_NANOS = 2 * VirtualClock.SECOND;
    private static final long CONNECT_TIMEOUT_NANOS = 200 * VirtualClock.MILLI;

    private final FleetModel mFleet;
    private final VirtualClock mClock;
    private final String mName;
    private final String mZone;
    private final StreamScheduler mScheduler;
    private final Map<Long, Open> mOpen = new HashMap<>();
    private long mSharedChanges;
    private long mSharedAt;
    private long mSharedFarAt;

    InstanceModel(FleetModel fleet, String name, String zone, long seed) {
        mFleet = fleet;
        mClock = fleet.clock();
        mName = name;
        mZone = zone;
        RetryAllowance retries =
                new RetryAllowance(new RetryBounds(0.8, 150, Duration.ofSeconds(10)));
        retries.instances(fleet.traits().instances() * fleet.traits().zones().size());
        LocationMap locations =
                new LocationMap(
                        new Location(fleet.traits().region(zone), zone), fleet.traits().zones());
        mScheduler =
                new StreamScheduler(
                        FleetModel.SERVICE, fleet.spec(), locations, retries, new Random(seed));
        mClock.every(Math.floorMod(seed, TICK_NANOS), TICK_NANOS, this::carryOut);
    }

    String name() {
        return mName;
    }

    String zone() {
        return mZone;
    }

    void peers(Collection<String> instances) {
        mScheduler.retainPeers(instances.stream().filter(name -> !name.equals(mName)).toList());
    }

    void listed(Collection<Upstream> upstreams) {
        mScheduler.upstreams(upstreams, mClock.now());
        carryOut();
    }

    void received(String instance, LoadShare share) {
        mScheduler.peerShare(instance, share, mClock.now());
        carryOut();
    }

    void arrive(RequestModel request) {
        FleetTraits.Kind kind = request.kind();
        long arrived = request.arrivedAt();
        Work work =
                new Work(
                        request.id(),
                        "r" + request.id(),
                        FleetModel.SERVICE,
                        "team-" + request.id() % 10,
                        RequestKind.RESUMABLE_STREAM,
                        kind.priority(),
                        new GenerationShape(
                                "m",
                                request.prompt(),
                                request.output(),
                                request.output(),
                                List.of(new PromptPart(request.id(), request.prompt()))),
                        mClock.now(),
                        arrived + kind.targetMillis() * VirtualClock.MILLI,
                        arrived + kind.deadlineMillis() * VirtualClock.MILLI,
                        kind.pauseMillis() * VirtualClock.MILLI,
                        5,
                        request.events());
        mOpen.put(request.id(), new Open(request));
        mScheduler.offer(work, mClock.now());
        carryOut();
    }

    /** Ends the attempts at an engine whose connections were reset, after the network latency. */
    void connectionsBroke(EngineModel engine) {
        long delay = mFleet.latency(engine.zone(), mZone);
        for (Open open : List.copyOf(mOpen.values())) {
            if (open.mEngine == engine) {
                int attempt = open.mAttempt;
                mClock.after(delay, () -> ended(open, attempt, AttemptEnd.RESET));
            }
        }
    }

    /** Stops the instance; its open requests fail. */
    void die() {
        for (Open open : List.copyOf(mOpen.values())) {
            open.cancel();
            open.mDone = true;
            open.mRequest.failed();
            mScheduler.withdrawn(open.mRequest.id(), mClock.now());
        }
        mOpen.clear();
    }

    private void carryOut() {
        // The simulation has no unread input.
        mScheduler.inputTaken(mClock.now());
        for (Decision decision : mScheduler.advance(mClock.now())) {
            Open open = mOpen.get(decision.work().id());
            if (open == null) {
                continue;
            }
            switch (decision) {
                case Decision.Start start -> start(open, start);
                case Decision.Finish finish -> finish(open, finish);
            }
        }
        long changes = mScheduler.shareChanges();
        if (changes != mSharedChanges && mClock.now() - mSharedAt >= SHARE_PAUSE_NANOS) {
            mSharedChanges = changes;
            mSharedAt = mClock.now();
            boolean far = !mFleet.isWide() || mClock.now() - mSharedFarAt >= FAR_PAUSE_NANOS;
            if (far) {
                mSharedFarAt = mClock.now();
            }
            mFleet.share(this, mScheduler.share(mClock.now()), far);
        }
    }

    private void start(Open open, Decision.Start start) {
        open.cancel();
        open.mAttempt = start.attempt();
        String keeper = start.copyKeeper() == null ? "nobody" : start.copyKeeper().id();
        String from = start.copy() == null ? "" : ", from its copy";
        open.mRequest.note(
                mClock.now(),
                start.upstream().id() + from + ", copies to " + keeper + ", " + start.reason());
        long delay = mFleet.latency(mZone, start.upstream().zone());
        int attempt = start.attempt();
        if (mFleet.isSilent(start.upstream())) {
            mClock.after(CONNECT_TIMEOUT_NANOS, () -> ended(open, attempt, AttemptEnd.UNREACHABLE));
            return;
        }
        mClock.after(2 * delay, () -> reached(open, start));
    }

    private void reached(Open open, Decision.Start start) {
        if (open.mAttempt != start.attempt() || open.mDone) {
            return;
        }
        EngineModel engine = mFleet.at(start.upstream());
        long delay = mFleet.latency(mZone, engine.zone());
        AttemptEnd failure = null;
        if (engine.isDead()) {
            failure = AttemptEnd.NOT_LISTENING;
        } else if (!engine.id().equals(start.upstream().id())) {
            failure = AttemptEnd.MISDIRECTED;
        } else if (!submit(open, start, engine)) {
            failure = AttemptEnd.REJECTED;
        }
        if (failure != null) {
            AttemptEnd end = failure;
            mClock.after(delay, () -> ended(open, start.attempt(), end));
        }
    }

    private boolean submit(Open open, Decision.Start start, EngineModel engine) {
        RequestModel request = open.mRequest;
        int perEvent = mFleet.traits().engine().tokensPerEvent();
        EngineModel keeper =
                start.copyKeeper() == null ? null : mFleet.alive(start.copyKeeper().address());
        long delay = mFleet.latency(engine.zone(), mZone);
        int attempt = start.attempt();
        EngineModel.Job job =
                new EngineModel.Job(
                        "r" + request.id(),
                        request.prompt(),
                        request.output(),
                        Math.min(request.output(), request.events() * perEvent),
                        start.urgency(),
                        keeper,
                        new EngineModel.Listener() {
                            @Override
                            public void event(int number) {
                                mClock.after(delay, () -> arrived(open, attempt, number));
                            }

                            @Override
                            public void finished() {
                                mClock.after(delay, () -> wholeAnswer(open, attempt));
                            }
                        });
        if (!engine.submit(job, start.copy() != null)) {
            return false;
        }
        open.mEngine = engine;
        open.mJob = job;
        return true;
    }

    private void arrived(Open open, int attempt, int number) {
        if (open.mDone || open.mAttempt != attempt) {
            return;
        }
        long now = mClock.now();
        boolean first = open.mLastEventAt == 0;
        long pause = first ? 0 : now - open.mLastEventAt;
        open.mLastEventAt = now;
        open.mRequest.event(number, now);
        mScheduler.progress(open.mRequest.id(), attempt, new Progress(1, now, pause));
        if (first) {
            carryOut();
        }
    }

    private void wholeAnswer(Open open, int attempt) {
        if (open.mDone || open.mAttempt != attempt) {
            return;
        }
        open.mDone = true;
        mOpen.remove(open.mRequest.id());
        open.mRequest.finished();
        mScheduler.attemptEnded(open.mRequest.id(), attempt, AttemptEnd.SUCCEEDED, mClock.now());
        carryOut();
    }

    private void ended(Open open, int attempt, AttemptEnd end) {
        if (open.mDone || open.mAttempt != attempt) {
            return;
        }
        open.mEngine = null;
        open.mJob = null;
        open.mLastEventAt = 0;
        open.mRequest.note(mClock.now(), end + " after event " + open.mRequest.events());
        mScheduler.attemptEnded(open.mRequest.id(), attempt, end, mClock.now());
        carryOut();
    }

    private void finish(Open open, Decision.Finish finish) {
        open.cancel();
        open.mDone = true;
        RequestModel request = open.mRequest;
        mOpen.remove(request.id());
        if (finish.ending() != Decision.Ending.REFUSED) {
            request.failed();
        } else if (request.refused()) {
            mClock.after(
                    finish.retryAfter().toNanos(), () -> mFleet.otherThan(this).arrive(request));
        }
    }

    /** An open request and its current attempt. */
    private static final class Open {
        final RequestModel mRequest;
        int mAttempt;
        boolean mDone;
        long mLastEventAt;
        @Nullable EngineModel mEngine;
        EngineModel.@Nullable Job mJob;

        Open(RequestModel request) {
            mRequest = request;
        }

        void cancel() {
            if (mEngine != null && mJob != null) {
                mEngine.cancel(mJob);
            }
            mEngine = null;
            mJob = null;
            mLastEventAt = 0;
        }
    }
}
