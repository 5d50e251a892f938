package org.gentianwalk.core.dispatch;

import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import org.gentianwalk.core.route.EngineSpec;
import org.gentianwalk.core.route.RequestKind;

/**
 * One instance before engines that prefill one prompt at a time, the most urgent first, in virtual
 * time. Callers of rejected requests do not come back.
 */
final class StreamFleet {
    static final Duration TIGHT = Duration.ofSeconds(4);
    static final Duration LOOSE = Duration.ofSeconds(10);

    private static final long STEP = 20 * MS;
    private static final int TOKENS_PER_MS = 8;
    private static final long DECODING = 4 * SECOND;
    private static final long EVENT_INTERVAL = 100 * MS;

    private final List<FakeEngine> mEngines = new ArrayList<>();
    final Map<Long, Work> mOffered = new HashMap<>();
    final Map<Long, Long> mFirstOutput = new HashMap<>();
    private final Map<Long, Long> mLastEvent = new HashMap<>();
    final List<Long> mLongPauses = new ArrayList<>();
    final Map<Long, Decision.Finish> mFinished = new HashMap<>();
    final StreamScheduler mScheduler;
    private long mNextId = 1;
    long mPrefilledTokens;
    long mNow;

    /** An engine with its attempts in the order of their arrival. */
    private static final class FakeEngine {
        final Upstream mUpstream;
        final List<Attempt> mQueue = new ArrayList<>();
        final List<Attempt> mDecoding = new ArrayList<>();
        Attempt mPrefill;
        long mSilentUntil;

        FakeEngine(Upstream upstream) {
            mUpstream = upstream;
        }

        List<Attempt> attempts() {
            List<Attempt> all = new ArrayList<>(mQueue);
            all.addAll(mDecoding);
            if (mPrefill != null) {
                all.add(mPrefill);
            }
            return all;
        }
    }

    private static final class Attempt {
        final Decision.Start mStart;
        long mLeft;

        Attempt(Decision.Start start) {
            mStart = start;
            mLeft = start.work().generation().promptTokens() * MS / TOKENS_PER_MS;
        }
    }

    StreamFleet(Set<Duration> targets, String... zones) {
        EngineSpec spec = new EngineSpec(12, 88_000, 6, false, Duration.ofSeconds(4));
        mScheduler =
                new StreamScheduler(
                        "service",
                        spec,
                        Samples.LOCATIONS,
                        Samples.retries(),
                        Samples.limits(),
                        Samples.random());
        mScheduler.updateTargets(targets);
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < zones.length; i++) {
            upstreams.add(Samples.upstream("e" + i, zones[i]));
        }
        upstreams.forEach(upstream -> mEngines.add(new FakeEngine(upstream)));
        mScheduler.replaceUpstreams(upstreams, 0);
    }

    /** Offers a request of rank 2 and returns its number. */
    long offer(String team, Duration target, int promptTokens, Duration limit) {
        long id = mNextId++;
        Work work =
                new Work(
                        id,
                        "request-" + id,
                        "service",
                        team,
                        RequestKind.RESUMABLE_STREAM,
                        2,
                        new GenerationShape(
                                "m",
                                promptTokens,
                                900,
                                780,
                                List.of(new PromptPart(1000 + id, promptTokens))),
                        mNow,
                        mNow + target.toNanos(),
                        mNow + limit.toNanos(),
                        700 * MS,
                        5,
                        0,
                        null);
        mOffered.put(id, work);
        mScheduler.offer(work, mNow);
        execute();
        return id;
    }

    /** Makes the engines of a zone stop for a time without closing connections. */
    void silence(String zone, long nanos) {
        for (FakeEngine engine : mEngines) {
            if (engine.mUpstream.zone().equals(zone)) {
                engine.mSilentUntil = mNow + nanos;
            }
        }
    }

    void step() {
        mNow += STEP;
        for (FakeEngine engine : mEngines) {
            if (mNow >= engine.mSilentUntil) {
                work(engine);
            }
        }
        mScheduler.recordProcessedInput(mNow);
        execute();
        for (LivenessAware.LivenessCheck check : mScheduler.takeLivenessChecks()) {
            FakeEngine engine = engine(check.engine());
            mScheduler.recordLivenessCheck(check.engine(), mNow >= engine.mSilentUntil, mNow);
        }
        execute();
    }

    /** Returns the number of requests with a target that were late, rejected or not served. */
    long missed(String team, Duration target) {
        return mOffered.values().stream()
                .filter(work -> team.isEmpty() || work.team().equals(team))
                .filter(work -> work.targetNanos() - work.arrivedNanos() == target.toNanos())
                .filter(
                        work ->
                                mFirstOutput.getOrDefault(work.id(), Long.MAX_VALUE)
                                        > work.targetNanos())
                .count();
    }

    private void work(FakeEngine engine) {
        for (Attempt attempt : List.copyOf(engine.mDecoding)) {
            Decision.Start start = attempt.mStart;
            attempt.mLeft -= STEP;
            if (attempt.mLeft <= 0) {
                engine.mDecoding.remove(attempt);
                mScheduler.recordAttemptEnd(
                        start.work().id(), start.attempt(), AttemptEnd.SUCCEEDED, mNow);
            } else if (attempt.mLeft % EVENT_INTERVAL < STEP) {
                recordProgress(start, EVENT_INTERVAL);
            }
        }
        if (engine.mPrefill == null && !engine.mQueue.isEmpty()) {
            Attempt next = engine.mQueue.getFirst();
            for (Attempt attempt : engine.mQueue) {
                next = attempt.mStart.urgency() < next.mStart.urgency() ? attempt : next;
            }
            engine.mQueue.remove(next);
            engine.mPrefill = next;
            mPrefilledTokens += next.mStart.work().generation().promptTokens();
        }
        Attempt prefill = engine.mPrefill;
        if (prefill != null) {
            prefill.mLeft -= STEP;
            if (prefill.mLeft <= 0) {
                engine.mPrefill = null;
                prefill.mLeft = DECODING;
                engine.mDecoding.add(prefill);
                recordProgress(prefill.mStart, 0);
                mFirstOutput.putIfAbsent(prefill.mStart.work().id(), mNow);
                cancelOthers(prefill.mStart.work().id(), prefill.mStart.attempt());
            }
        }
    }

    private void recordProgress(Decision.Start start, long pause) {
        Long last = mLastEvent.put(start.work().id(), mNow);
        if (last != null && mNow - last > start.work().maxPauseNanos()) {
            mLongPauses.add(mNow - last);
        }
        mScheduler.recordProgress(start.work().id(), start.attempt(), new Progress(1, mNow, pause));
    }

    /** Ends the other attempts of a request, as the first output does. */
    private void cancelOthers(long work, int attempt) {
        endAttempts(work, number -> number != attempt);
    }

    private void endAttempts(long work, IntPredicate ended) {
        for (FakeEngine engine : mEngines) {
            for (Attempt attempt : engine.attempts()) {
                int number = attempt.mStart.attempt();
                if (attempt.mStart.work().id() == work && ended.test(number)) {
                    remove(engine, attempt);
                    mScheduler.recordAttemptEnd(work, number, AttemptEnd.SUPERSEDED, mNow);
                }
            }
        }
    }

    private static void remove(FakeEngine engine, Attempt attempt) {
        engine.mQueue.remove(attempt);
        engine.mDecoding.remove(attempt);
        engine.mPrefill = engine.mPrefill == attempt ? null : engine.mPrefill;
    }

    private FakeEngine engine(Upstream upstream) {
        return mEngines.stream()
                .filter(engine -> engine.mUpstream.id().equals(upstream.id()))
                .findFirst()
                .orElseThrow();
    }

    private void execute() {
        for (Decision decision : mScheduler.advance(mNow)) {
            if (decision instanceof Decision.Start start) {
                engine(start.upstream()).mQueue.add(new Attempt(start));
            } else if (decision instanceof Decision.Finish finish) {
                mFinished.put(finish.work().id(), finish);
                endAttempts(finish.work().id(), number -> true);
            } else if (decision instanceof Decision.Cancel cancel) {
                endAttempts(cancel.work().id(), number -> number == cancel.attempt());
            }
        }
    }
}
