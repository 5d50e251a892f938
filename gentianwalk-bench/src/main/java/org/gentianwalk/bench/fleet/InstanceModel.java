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
import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.GenerationShape;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.LocationMap;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.PromptPart;
import org.gentianwalk.core.dispatch.RetryBounds;
import org.gentianwalk.core.dispatch.StreamScheduler;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.route.RequestKind;
import org.jspecify.annotations.Nullable;

/** One instance: carries out what its scheduler decides, over a network with delays. */
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
        FleetRetryBudget retries =
                new FleetRetryBudget(new RetryBounds(0.8, 150, Duration.ofSeconds(10)));
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
        mScheduler.replaceUpstreams(upstreams, mClock.now());
        carryOut();
    }

    void received(String instance, InstanceLoad share) {
        mScheduler.recordPeerLoad(instance, share, mClock.now());
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

    /** Tells of a crash that resets the connections to an engine. */
    void connectionsBroke(EngineModel engine) {
        long delay = mFleet.latency(engine.zone(), mZone);
        for (Open open : List.copyOf(mOpen.values())) {
            if (open.mEngine == engine) {
                int attempt = open.mAttempt;
                mClock.after(delay, () -> ended(open, attempt, AttemptEnd.RESET));
            }
        }
    }

    /** Ends the instance; what it has open is cut off. */
    void die() {
        for (Open open : List.copyOf(mOpen.values())) {
            open.cancel();
            open.mDone = true;
            open.mRequest.failed();
            mScheduler.remove(open.mRequest.id(), mClock.now());
        }
        mOpen.clear();
    }

    private void carryOut() {
        // The model has no input that waits to be read.
        mScheduler.recordProcessedInput(mClock.now());
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
        long changes = mScheduler.loadChanges();
        if (changes != mSharedChanges && mClock.now() - mSharedAt >= SHARE_PAUSE_NANOS) {
            mSharedChanges = changes;
            mSharedAt = mClock.now();
            boolean far = !mFleet.isWide() || mClock.now() - mSharedFarAt >= FAR_PAUSE_NANOS;
            if (far) {
                mSharedFarAt = mClock.now();
            }
            mFleet.share(this, mScheduler.load(mClock.now()), far);
        }
    }

    private void start(Open open, Decision.Start start) {
        open.cancel();
        open.mAttempt = start.attempt();
        String keeper = start.copyHolder() == null ? "nobody" : start.copyHolder().id();
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
                start.copyHolder() == null ? null : mFleet.alive(start.copyHolder().address());
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
        mScheduler.recordProgress(open.mRequest.id(), attempt, new Progress(1, now, pause));
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
        mScheduler.recordAttemptEnd(
                open.mRequest.id(), attempt, AttemptEnd.SUCCEEDED, mClock.now());
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
        mScheduler.recordAttemptEnd(open.mRequest.id(), attempt, end, mClock.now());
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

    /** A request at this instance. */
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
