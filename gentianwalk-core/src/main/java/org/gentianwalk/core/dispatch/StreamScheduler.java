package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.route.EngineSpec;
import org.jspecify.annotations.Nullable;

/**
 * Places generations on the engines of a service.
 *
 * <p>Engines read one prompt at a time, so the time to the first output is that of all prompts
 * before it. A generation therefore waits in the instance until an engine has little left to read,
 * which leaves room for more urgent ones. Where engines allow it, another engine in another
 * availability zone keeps a copy of the memory, from which the generation goes on when its engine
 * is lost.
 */
public final class StreamScheduler implements WorkScheduler {
    private static final Duration NO_ENGINE_RETRY = Duration.ofMillis(500);
    private static final int MAX_UNRUN_TRIES = 8;
    private static final int LEAST_URGENT = 9;

    /**
     * Reading that an engine may have before it when a generation is sent there. It has to cover
     * the time until other instances learn of it, so that engines do not run dry.
     */
    private static final long MAX_BACKLOG_NANOS = Duration.ofMillis(400).toNanos();

    /** Part of an engine's memory that is planned for; estimates of the output are often off. */
    private static final double MEMORY_PART = 0.92;

    /** Backlog that a longer path to an engine is worth. */
    private static final long ZONE_COST_NANOS = Duration.ofMillis(20).toNanos();

    private static final long REGION_COST_NANOS = Duration.ofMillis(60).toNanos();
    private static final long TIE_COST_NANOS = Duration.ofMillis(10).toNanos();

    /** Backlog that a full memory is worth, so that load spreads. */
    private static final long MEMORY_COST_NANOS = Duration.ofMillis(300).toNanos();

    private final EngineSpec mSpec;
    private final LocationMap mLocations;
    private final RetryAllowance mRetries;
    private final RandomGenerator mRandom;
    private final EnginePace mPace = new EnginePace();
    private final Map<String, EngineState> mEngines = new LinkedHashMap<>();
    private final Map<Long, Stream> mStreams = new HashMap<>();
    private final List<Stream> mWaiting = new ArrayList<>();
    private List<Decision> mDue = new ArrayList<>();

    /**
     * Creates a scheduler without engines.
     *
     * @param spec properties of the engines
     * @param locations distances from this instance
     * @param retries bound on further attempts
     * @param random breaks ties
     */
    public StreamScheduler(
            EngineSpec spec,
            LocationMap locations,
            RetryAllowance retries,
            RandomGenerator random) {
        mSpec = spec;
        mLocations = locations;
        mRetries = retries;
        mRandom = random;
    }

    @Override
    public void upstreams(Collection<Upstream> upstreams, long nowNanos) {
        Set<String> listed = new HashSet<>();
        for (Upstream upstream : upstreams) {
            listed.add(upstream.id());
            EngineState known = mEngines.get(upstream.id());
            if (known != null && known.upstream().isSameRun(upstream)) {
                known.upstream(upstream);
            } else {
                mEngines.put(upstream.id(), new EngineState(upstream));
            }
        }
        mEngines.keySet().retainAll(listed);
    }

    @Override
    public void offer(Work work, long nowNanos) {
        mRetries.requested(nowNanos);
        Stream stream = new Stream(work);
        mStreams.put(work.id(), stream);
        mWaiting.add(stream);
        dispatch(nowNanos);
    }

    @Override
    public void progress(long work, int attempt, Progress progress) {
        Stream stream = mStreams.get(work);
        if (stream == null || stream.mEngine == null || stream.mAttempt != attempt) {
            return;
        }
        EngineState engine = stream.mEngine;
        engine.output(progress.lastNanos());
        engine.reachability().succeeded();
        mPace.paused(progress.pauseNanos());
        stream.mLastOutput = progress.lastNanos();
        stream.mEvents += progress.events();
        if (!stream.mHasOutput) {
            stream.mHasOutput = true;
            if (stream.mFirstInLine) {
                mPace.read(stream.mPrompt, progress.lastNanos() - stream.mStartedAt);
            }
            engine.own(work, load(stream, false));
            dispatch(progress.lastNanos());
        }
    }

    @Override
    public void attemptEnded(long work, int attempt, AttemptEnd end, long nowNanos) {
        Stream stream = mStreams.get(work);
        if (stream == null || stream.mAttempt != attempt || stream.mEngine == null) {
            return;
        }
        EngineState engine = stream.mEngine;
        switch (end) {
            case SUCCEEDED, REJECTED -> engine.reachability().succeeded();
            case UNREACHABLE, RESET, LOST, ANSWERED_ERROR -> engine.reachability().failed(nowNanos);
            default -> mEngines.remove(engine.upstream().id(), engine);
        }
        EngineState keeper = stream.mKeeper;
        release(stream);
        if (end == AttemptEnd.SUCCEEDED) {
            mStreams.remove(work);
            dispatch(nowNanos);
            return;
        }
        if (!mayRepeat(stream, end, nowNanos)) {
            Ending ending =
                    end == AttemptEnd.ANSWERED_ERROR
                            ? Ending.UPSTREAM_ERROR
                            : stream.mRan == 0 ? Ending.REFUSED : Ending.UNKNOWN;
            finish(stream, ending, NO_ENGINE_RETRY, "no further attempt is allowed", nowNanos);
        } else {
            again(stream, keeper, end, nowNanos);
        }
        dispatch(nowNanos);
    }

    @Override
    public void withdrawn(long work, long nowNanos) {
        Stream stream = mStreams.remove(work);
        if (stream != null) {
            mWaiting.remove(stream);
            release(stream);
            dispatch(nowNanos);
        }
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        for (Stream stream : List.copyOf(mStreams.values())) {
            if (nowNanos - stream.mWork.deadlineNanos() >= 0) {
                Ending ending =
                        stream.mEngine == null && stream.mRan == 0
                                ? Ending.REFUSED
                                : Ending.TIMED_OUT;
                finish(stream, ending, Duration.ZERO, "the time for the request is over", nowNanos);
            } else if (isSilent(stream, nowNanos)) {
                moveFromSilent(stream, nowNanos);
            }
        }
        dispatch(nowNanos);
        List<Decision> due = mDue;
        mDue = new ArrayList<>();
        return due;
    }

    private boolean mayRepeat(Stream stream, AttemptEnd end, long nowNanos) {
        if (end.isNotRun()) {
            stream.mUnrun++;
            return stream.mUnrun < MAX_UNRUN_TRIES
                    && (end == AttemptEnd.UNREACHABLE || mRetries.tryRetry(nowNanos));
        }
        stream.mRan++;
        return stream.mWork.kind().isRepeatable()
                && stream.mRan < stream.mWork.maxAttempts()
                && mRetries.tryRetry(nowNanos);
    }

    /** Continues from a copy where there is one, and puts the stream first in line otherwise. */
    private void again(Stream stream, @Nullable EngineState keeper, AttemptEnd end, long nowNanos) {
        stream.mResumed = true;
        boolean lost = end == AttemptEnd.RESET || end == AttemptEnd.LOST;
        if (lost && keeper != null && isUsable(keeper, nowNanos)) {
            MemoryCopy copy = new MemoryCopy(keeper.upstream().address(), stream.mWork.requestId());
            start(stream, keeper, copy, "keeps a copy of the memory", nowNanos);
            return;
        }
        mWaiting.add(stream);
    }

    private boolean isSilent(Stream stream, long nowNanos) {
        if (stream.mEngine == null || !stream.mWork.kind().isRepeatable()) {
            return false;
        }
        if (stream.mHasOutput) {
            return nowNanos - stream.mLastOutput > mPace.silenceNanos();
        }
        return false;
    }

    private void moveFromSilent(Stream stream, long nowNanos) {
        attemptEnded(stream.mWork.id(), stream.mAttempt, AttemptEnd.LOST, nowNanos);
    }

    private void dispatch(long nowNanos) {
        if (mWaiting.isEmpty()) {
            return;
        }
        mWaiting.sort(Stream.ORDER);
        for (Stream stream : List.copyOf(mWaiting)) {
            EngineState engine = chooseEngine(stream, nowNanos);
            if (engine != null) {
                mWaiting.remove(stream);
                start(stream, engine, null, "least time until the first output", nowNanos);
            } else if (mEngines.isEmpty()) {
                Ending ending = stream.mRan == 0 ? Ending.REFUSED : Ending.UNKNOWN;
                finish(stream, ending, NO_ENGINE_RETRY, "no engine is listed", nowNanos);
            }
        }
    }

    private @Nullable EngineState chooseEngine(Stream stream, long nowNanos) {
        EngineState best = null;
        double bestCost = 0;
        for (EngineState engine : mEngines.values()) {
            if (!isUsable(engine, nowNanos) || engine.running() >= mSpec.slots()) {
                continue;
            }
            long backlog = engine.backlog(mPace.tokensPerNano(), nowNanos);
            double memory = (double) engine.memory() / mSpec.memoryTokens();
            double fill = memory + (double) stream.mMemory / mSpec.memoryTokens();
            if (backlog > MAX_BACKLOG_NANOS && !stream.mResumed || fill > MEMORY_PART) {
                continue;
            }
            double cost =
                    backlog
                            + memory * MEMORY_COST_NANOS
                            + distanceCost(engine)
                            + TIE_COST_NANOS * mRandom.nextDouble();
            if (best == null || cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Chooses the engine that keeps a copy: in another zone, with the most room. */
    private @Nullable EngineState chooseKeeper(EngineState engine, Stream stream, long nowNanos) {
        if (!mSpec.keepsCopies() || !stream.mWork.kind().isRepeatable()) {
            return null;
        }
        EngineState best = null;
        double bestCost = 0;
        for (EngineState other : mEngines.values()) {
            if (other == engine
                    || other.upstream().zone().equals(engine.upstream().zone())
                    || !isUsable(other, nowNanos)) {
                continue;
            }
            double fill = (double) (other.memory() + stream.mMemory) / mSpec.memoryTokens();
            if (fill > MEMORY_PART) {
                continue;
            }
            double cost = fill + 0.01 * mRandom.nextDouble();
            if (best == null || cost < bestCost) {
                best = other;
                bestCost = cost;
            }
        }
        return best;
    }

    private static boolean isUsable(EngineState engine, long nowNanos) {
        return !engine.upstream().draining() && !engine.reachability().isResting(nowNanos);
    }

    private long distanceCost(EngineState engine) {
        return switch (mLocations.distance(engine.upstream().zone())) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> ZONE_COST_NANOS;
            case OTHER_REGION -> REGION_COST_NANOS;
        };
    }

    private void start(
            Stream stream,
            EngineState engine,
            @Nullable MemoryCopy copy,
            String reason,
            long nowNanos) {
        EngineState keeper = chooseKeeper(engine, stream, nowNanos);
        stream.mAttempt++;
        stream.mEngine = engine;
        stream.mKeeper = keeper;
        stream.mHasOutput = false;
        stream.mStartedAt = nowNanos;
        stream.mLastOutput = nowNanos;
        stream.mPrompt = copy == null ? stream.mPromptTokens : 0;
        stream.mFirstInLine = engine.backlog(mPace.tokensPerNano(), nowNanos) == 0 && copy == null;
        engine.own(stream.mWork.id(), load(stream, true));
        if (keeper != null) {
            keeper.own(
                    -stream.mWork.id(),
                    new EngineState.Load(nowNanos, 0, stream.mMemory, false, true));
        }
        mDue.add(
                new Decision.Start(
                        stream.mWork,
                        stream.mAttempt,
                        engine.upstream(),
                        Math.min(LEAST_URGENT, stream.mWork.priority()),
                        keeper == null ? null : keeper.upstream(),
                        copy,
                        reason));
    }

    private static EngineState.Load load(Stream stream, boolean reading) {
        return new EngineState.Load(
                stream.mStartedAt, stream.mPrompt, stream.mMemory, reading, false);
    }

    private void release(Stream stream) {
        if (stream.mEngine != null) {
            stream.mEngine.withoutOwn(stream.mWork.id());
            stream.mEngine = null;
        }
        if (stream.mKeeper != null) {
            stream.mKeeper.withoutOwn(-stream.mWork.id());
            stream.mKeeper = null;
        }
    }

    private void finish(
            Stream stream, Ending ending, Duration retryAfter, String reason, long nowNanos) {
        mDue.add(new Decision.Finish(stream.mWork, ending, retryAfter, reason));
        mStreams.remove(stream.mWork.id());
        mWaiting.remove(stream);
        release(stream);
    }

    /** State of a generation. */
    private static final class Stream {
        /** Interrupted streams first, then by rank, then by arrival. */
        static final Comparator<Stream> ORDER =
                Comparator.<Stream>comparingInt(stream -> stream.mResumed ? 0 : 1)
                        .thenComparingInt(stream -> stream.mWork.priority())
                        .thenComparingLong(stream -> stream.mWork.arrivedNanos());

        final Work mWork;
        final int mPromptTokens;
        final int mMemory;
        int mAttempt;
        int mUnrun;
        int mRan;
        boolean mResumed;

        // State of the running attempt.
        @Nullable EngineState mEngine;
        @Nullable EngineState mKeeper;
        int mPrompt;
        long mEvents;
        long mStartedAt;
        long mLastOutput;
        boolean mHasOutput;
        boolean mFirstInLine;

        Stream(Work work) {
            mWork = work;
            GenerationShape shape = work.generation();
            mPromptTokens = shape == null ? 0 : shape.promptTokens();
            mMemory = shape == null ? 0 : shape.promptTokens() + shape.expectedOutputTokens();
        }
    }
}
