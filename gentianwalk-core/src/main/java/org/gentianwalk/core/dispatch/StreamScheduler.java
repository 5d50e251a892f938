package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.jspecify.annotations.Nullable;

/** Places generations on the engines of a service. */
public final class StreamScheduler implements WorkScheduler {
    private static final Duration NO_ENGINE_RETRY = Duration.ofMillis(500);
    private static final int MAX_UNRUN_TRIES = 6;

    private final LocationMap mLocations;
    private final RetryAllowance mRetries;
    private final RandomGenerator mRandom;
    private final Map<String, Engine> mEngines = new LinkedHashMap<>();
    private final Map<Long, Stream> mStreams = new HashMap<>();
    private List<Decision> mDue = new ArrayList<>();

    /**
     * Creates a scheduler without engines.
     *
     * @param locations distances from this instance
     * @param retries bound on further attempts
     * @param random breaks ties
     */
    public StreamScheduler(LocationMap locations, RetryAllowance retries, RandomGenerator random) {
        mLocations = locations;
        mRetries = retries;
        mRandom = random;
    }

    @Override
    public void upstreams(Collection<Upstream> upstreams, long nowNanos) {
        Set<String> listed = new HashSet<>();
        for (Upstream upstream : upstreams) {
            listed.add(upstream.id());
            Engine known = mEngines.get(upstream.id());
            if (known != null && known.mUpstream.isSameRun(upstream)) {
                known.mUpstream = upstream;
            } else {
                mEngines.put(upstream.id(), new Engine(upstream));
            }
        }
        mEngines.keySet().retainAll(listed);
    }

    @Override
    public void offer(Work work, long nowNanos) {
        mRetries.requested(nowNanos);
        Stream stream = new Stream(work);
        mStreams.put(work.id(), stream);
        start(stream, nowNanos);
    }

    @Override
    public void progress(long work, int events, long nowNanos) {
        Stream stream = mStreams.get(work);
        if (stream != null && stream.mEngine != null && !stream.mHasOutput) {
            stream.mHasOutput = true;
            stream.mEngine.mPrefill -= stream.mPrefill;
        }
    }

    @Override
    public void attemptEnded(long work, int attempt, AttemptEnd end, long nowNanos) {
        Stream stream = mStreams.get(work);
        if (stream == null || stream.mAttempt != attempt || stream.mEngine == null) {
            return;
        }
        Engine engine = stream.mEngine;
        release(stream);
        switch (end) {
            case SUCCEEDED, ANSWERED_ERROR, REJECTED -> engine.mReachability.succeeded();
            case UNREACHABLE, RESET, LOST -> engine.mReachability.failed(nowNanos);
            default -> mEngines.remove(engine.mUpstream.id(), engine);
        }
        if (end == AttemptEnd.SUCCEEDED) {
            mStreams.remove(work);
            return;
        }
        boolean further;
        if (end.isNotRun()) {
            stream.mUnrun++;
            further =
                    stream.mUnrun < MAX_UNRUN_TRIES
                            && (end == AttemptEnd.UNREACHABLE || mRetries.tryRetry(nowNanos));
        } else {
            stream.mRan++;
            further =
                    stream.mWork.kind().isRepeatable()
                            && stream.mRan < stream.mWork.maxAttempts()
                            && mRetries.tryRetry(nowNanos);
        }
        if (further) {
            start(stream, nowNanos);
            return;
        }
        Ending ending =
                end == AttemptEnd.ANSWERED_ERROR
                        ? Ending.UPSTREAM_ERROR
                        : stream.mRan == 0 ? Ending.REFUSED : Ending.UNKNOWN;
        finish(stream, ending, NO_ENGINE_RETRY, "no further attempt is allowed", nowNanos);
    }

    @Override
    public void withdrawn(long work, long nowNanos) {
        Stream stream = mStreams.remove(work);
        if (stream != null) {
            release(stream);
        }
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        List<Stream> late = new ArrayList<>();
        for (Stream stream : mStreams.values()) {
            if (nowNanos - stream.mWork.deadlineNanos() >= 0) {
                late.add(stream);
            }
        }
        for (Stream stream : late) {
            Ending ending =
                    stream.mEngine == null && stream.mRan == 0 ? Ending.REFUSED : Ending.TIMED_OUT;
            finish(stream, ending, Duration.ZERO, "the time for the request is over", nowNanos);
        }
        List<Decision> due = mDue;
        mDue = new ArrayList<>();
        return due;
    }

    private void start(Stream stream, long nowNanos) {
        Engine engine = choose(stream, nowNanos);
        if (engine == null) {
            Ending ending = stream.mRan == 0 ? Ending.REFUSED : Ending.UNKNOWN;
            finish(stream, ending, NO_ENGINE_RETRY, "no engine can be used", nowNanos);
            return;
        }
        stream.mAttempt++;
        stream.mEngine = engine;
        stream.mHasOutput = false;
        stream.mPrefill =
                stream.mWork.generation() == null ? 0 : stream.mWork.generation().promptTokens();
        engine.mRunning++;
        engine.mPrefill += stream.mPrefill;
        mDue.add(
                new Decision.Start(
                        stream.mWork,
                        stream.mAttempt,
                        engine.mUpstream,
                        Math.min(9, stream.mWork.priority()),
                        null,
                        null,
                        "least prompt tokens to read"));
    }

    private @Nullable Engine choose(Stream stream, long nowNanos) {
        Engine best = null;
        double bestCost = 0;
        for (Engine engine : mEngines.values()) {
            if (engine.mUpstream.draining()) {
                continue;
            }
            double cost =
                    engine.mPrefill
                            + 500.0 * engine.mRunning
                            + 10 * mLocations.distance(engine.mUpstream.zone()).ordinal()
                            + 200 * mRandom.nextDouble()
                            + (engine.mReachability.isResting(nowNanos) ? 1e9 : 0);
            if (best == null || cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return best;
    }

    private void release(Stream stream) {
        Engine engine = stream.mEngine;
        if (engine == null) {
            return;
        }
        engine.mRunning--;
        if (!stream.mHasOutput) {
            engine.mPrefill -= stream.mPrefill;
        }
        stream.mEngine = null;
    }

    private void finish(
            Stream stream, Ending ending, Duration retryAfter, String reason, long nowNanos) {
        mDue.add(new Decision.Finish(stream.mWork, ending, retryAfter, reason));
        withdrawn(stream.mWork.id(), nowNanos);
    }

    /** State of an engine. */
    private static final class Engine {
        Upstream mUpstream;
        int mRunning;
        long mPrefill;
        final Reachability mReachability = new Reachability();

        Engine(Upstream upstream) {
            mUpstream = upstream;
        }
    }

    /** State of a generation. */
    private static final class Stream {
        final Work mWork;
        int mAttempt;
        int mUnrun;
        int mRan;
        int mPrefill;
        boolean mHasOutput;
        @Nullable Engine mEngine;

        Stream(Work work) {
            mWork = work;
        }
    }
}
