package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.route.EngineSpec;
import org.jspecify.annotations.Nullable;

/**
 * Assigns generations to the engines of a service.
 *
 * <p>Engines prefill one prompt at a time, so the time to the first output includes the prefill of
 * all prompts ahead. A generation therefore waits in the instance until an engine has a short
 * prefill backlog, so that more urgent ones can overtake it. Where engines support it, an engine in
 * another availability zone keeps a copy of the KV cache, from which the generation continues when
 * its engine is lost.
 */
public final class StreamScheduler implements WorkScheduler, LoadSharing, CacheAware, InputAware {
    private static final Duration NO_ENGINE_RETRY = Duration.ofMillis(500);

    /** Maximum number of rejections by engines before a generation is refused. */
    private static final int MAX_REJECTIONS = 8;

    private static final int LEAST_URGENT = 9;

    /**
     * Minimum interval between two rounds of cache queries. Each query delays an engine's work, and
     * load reports of other instances usually contain the answer already.
     */
    private static final long INQUIRY_NANOS = Duration.ofSeconds(5).toNanos();

    /** Maximum time for which a generation waits for the answers to cache queries. */
    private static final long ANSWER_NANOS = Duration.ofMillis(200).toNanos();

    /** Queue order: interrupted streams first, then by rank, then by arrival. */
    private static final Comparator<StreamRun> ORDER =
            Comparator.<StreamRun>comparingInt(run -> run.isInterrupted() ? 0 : 1)
                    .thenComparingInt(run -> run.work().priority())
                    .thenComparingLong(run -> run.work().arrivedNanos());

    private final EngineSpec mSpec;
    private final String mService;
    private final RetryAllowance mRetries;
    private final EnginePace mPace = new EnginePace();
    private final EngineBoard mBoard = new EngineBoard();
    private final EngineChoice mChoice;
    private final LossDetector mLosses = new LossDetector(mBoard, mPace);
    private final Map<Long, StreamRun> mRuns = new HashMap<>();
    private final List<StreamRun> mWaiting = new ArrayList<>();
    private List<Decision> mDue = new ArrayList<>();
    private long mShareChanges;
    private List<Upstream> mInquiries = new ArrayList<>();
    private int mOpenInquiries;
    private boolean mInquired;
    private long mInquiredAt;

    /**
     * Creates a scheduler without engines.
     *
     * @param service name of the service
     * @param spec properties of its engines
     * @param locations distances from this instance
     * @param retries retry budget of the service
     * @param random source of randomness for breaking ties
     */
    public StreamScheduler(
            String service,
            EngineSpec spec,
            LocationMap locations,
            RetryAllowance retries,
            RandomGenerator random) {
        mService = service;
        mSpec = spec;
        mRetries = retries;
        mChoice = new EngineChoice(spec, locations, mBoard, mPace, random);
    }

    @Override
    public void upstreams(Collection<Upstream> upstreams, long nowNanos) {
        for (EngineState ended : mBoard.listed(upstreams, nowNanos)) {
            loseAll(ended, nowNanos);
        }
        dispatch(nowNanos);
    }

    @Override
    public void offer(Work work, long nowNanos) {
        mRetries.requested(nowNanos);
        StreamRun run = new StreamRun(work);
        mRuns.put(work.id(), run);
        mWaiting.add(run);
        if (work.eventsSeen() > 0 && mBoard.holder(run.part(), nowNanos) == null) {
            inquire(run, nowNanos);
        }
        dispatch(nowNanos);
    }

    @Override
    public List<Upstream> takeInquiries() {
        List<Upstream> inquiries = mInquiries;
        mInquiries = new ArrayList<>();
        return inquiries;
    }

    @Override
    public void kept(Upstream engine, List<Long> parts, long nowNanos) {
        parts.forEach(part -> mBoard.kept(part, engine.id()));
        mOpenInquiries--;
        for (StreamRun run : mWaiting) {
            if (mOpenInquiries == 0 || mBoard.holder(run.part(), nowNanos) != null) {
                run.asked();
            }
        }
        dispatch(nowNanos);
    }

    /** Queries the engines for the cached prompt of a resumed generation. */
    private void inquire(StreamRun run, long nowNanos) {
        if (!mInquired || nowNanos - mInquiredAt > INQUIRY_NANOS) {
            mInquired = true;
            mInquiredAt = nowNanos;
            for (EngineState engine : mBoard.engines()) {
                if (mBoard.isUsable(engine, nowNanos)) {
                    mInquiries.add(engine.upstream());
                    mOpenInquiries++;
                }
            }
        }
        if (mOpenInquiries > 0) {
            run.asks(nowNanos + ANSWER_NANOS);
        }
    }

    @Override
    public void progress(long work, int attempt, Progress progress) {
        StreamRun run = mRuns.get(work);
        if (run == null || run.engine() == null || run.attempt() != attempt) {
            return;
        }
        EngineState engine = run.engine();
        engine.output(progress.lastNanos());
        engine.reachability().succeeded();
        mPace.paused(progress.pauseNanos());
        if (run.progressed(progress.lastNanos())) {
            if (run.isAlone()) {
                mPace.read(run.toRead(), progress.lastNanos() - run.startedAt());
            }
            mBoard.kept(run.part(), engine.upstream().id());
            mShareChanges++;
            dispatch(progress.lastNanos());
        }
    }

    @Override
    public void loadStated(long work, UpstreamLoad load, long nowNanos) {
        // Load reports of instances are newer and contain the prompts still to be prefilled.
    }

    @Override
    public void attemptEnded(long work, int attempt, AttemptEnd end, long nowNanos) {
        StreamRun run = mRuns.get(work);
        if (run == null || run.attempt() != attempt || run.engine() == null) {
            return;
        }
        EngineState engine = run.engine();
        switch (end) {
            case SUCCEEDED, REJECTED -> engine.reachability().succeeded();
            case UNREACHABLE, SILENT -> mBoard.failed(engine, true, nowNanos);
            case MISDIRECTED, NOT_LISTENING -> {
                // The listed process has ended; the list has not been updated yet.
                mBoard.failed(engine, false, nowNanos);
                engine.over();
            }
            default -> mBoard.failed(engine, false, nowNanos);
        }
        ended(run, end, end.name().toLowerCase(Locale.ROOT), nowNanos);
    }

    /** Ends an attempt whose engine is lost although its connection is still open. */
    private void judge(StreamRun run, long nowNanos) {
        EngineState engine = run.engine();
        LossDetector.Finding finding = mLosses.judge(run, nowNanos);
        if (engine == null || finding == LossDetector.Finding.SOUND) {
            return;
        }
        if (finding == LossDetector.Finding.SILENT) {
            mBoard.failed(engine, true, nowNanos);
        } else if (finding == LossDetector.Finding.OVERDUE) {
            engine.reachability().failed(nowNanos);
        }
        ended(run, AttemptEnd.SILENT, finding.name().toLowerCase(Locale.ROOT), nowNanos);
    }

    private void ended(StreamRun run, AttemptEnd end, String why, long nowNanos) {
        EngineState keeper = usefulKeeper(run, end, nowNanos);
        run.ended(end, why);
        run.released();
        mShareChanges++;
        if (end == AttemptEnd.SUCCEEDED) {
            mRuns.remove(run.work().id());
        } else if (!mayRepeat(run, end, nowNanos)) {
            Ending ending =
                    end == AttemptEnd.ANSWERED_ERROR
                            ? Ending.UPSTREAM_ERROR
                            : run.ran() == 0 ? Ending.REFUSED : Ending.UNKNOWN;
            finish(run, ending, NO_ENGINE_RETRY, "no retry is allowed");
        } else if (keeper != null) {
            MemoryCopy copy = new MemoryCopy(keeper.upstream().address(), run.work().requestId());
            start(run, keeper, copy, "has a copy of the KV cache", nowNanos);
        } else {
            mWaiting.add(run);
        }
        dispatch(nowNanos);
    }

    @Override
    public void withdrawn(long work, long nowNanos) {
        StreamRun run = mRuns.remove(work);
        if (run != null) {
            mWaiting.remove(run);
            run.released();
            mShareChanges++;
            dispatch(nowNanos);
        }
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        for (StreamRun run : List.copyOf(mRuns.values())) {
            if (nowNanos - run.work().deadlineNanos() >= 0) {
                boolean untried = run.engine() == null && run.ran() == 0;
                finish(
                        run,
                        untried ? Ending.REFUSED : Ending.TIMED_OUT,
                        Duration.ZERO,
                        "deadline exceeded");
            } else {
                judge(run, nowNanos);
            }
        }
        dispatch(nowNanos);
        List<Decision> due = mDue;
        mDue = new ArrayList<>();
        return due;
    }

    @Override
    public boolean awaitsInput() {
        return mLosses.awaitsInput();
    }

    @Override
    public void inputTaken(long nanos) {
        mLosses.inputTaken(nanos);
    }

    @Override
    public LoadShare share(long nowNanos) {
        List<RunShare> runs = new ArrayList<>();
        int waiting = 0;
        for (StreamRun run : mRuns.values()) {
            if (run.engine() == null) {
                waiting += run.promptTokens();
            } else {
                runs.add(run.share(nowNanos));
            }
        }
        return new LoadShare(
                mService,
                mShareChanges,
                runs,
                waiting,
                mBoard.doubts(nowNanos),
                mRetries.own(nowNanos));
    }

    @Override
    public long shareChanges() {
        return mShareChanges;
    }

    @Override
    public void peerShare(String instance, LoadShare share, long nowNanos) {
        mBoard.peerShare(instance, share, nowNanos);
        mRetries.others(instance, share.usage());
    }

    @Override
    public void retainPeers(Collection<String> instances) {
        mBoard.retainPeers(instances);
        mChoice.wide(instances.size() >= WIDE_FLEET);
        mRetries.retainOthers(instances);
    }

    /** Ends all attempts at an engine process that is known to have ended. */
    private void loseAll(EngineState engine, long nowNanos) {
        for (StreamRun run : List.copyOf(mRuns.values())) {
            if (run.engine() == engine) {
                ended(run, AttemptEnd.RESET, "engine restart listed", nowNanos);
            }
        }
    }

    private boolean mayRepeat(StreamRun run, AttemptEnd end, long nowNanos) {
        if (end.isNotSent()) {
            return true;
        }
        if (end.isNotRun()) {
            return run.rejected() < MAX_REJECTIONS && mRetries.tryRetry(nowNanos);
        }
        return run.work().kind().isRepeatable()
                && run.ran() < run.work().maxAttempts()
                && mRetries.tryRetry(nowNanos);
    }

    /** Returns the engine from whose copy the next attempt can continue, or null. */
    private @Nullable EngineState usefulKeeper(StreamRun run, AttemptEnd end, long nowNanos) {
        EngineState keeper = run.keeper();
        boolean lost = !end.isNotRun() && end != AttemptEnd.ANSWERED_ERROR;
        // Before the first output the copy is incomplete. Prefilling the rest would delay other
        // generations that continue at the keeper in the middle of their output.
        if (keeper == null || !lost || !run.hasOutput() || !mBoard.isUsable(keeper, nowNanos)) {
            return null;
        }
        return keeper;
    }

    private void dispatch(long nowNanos) {
        if (mWaiting.isEmpty()) {
            return;
        }
        mWaiting.sort(ORDER);
        for (StreamRun run : List.copyOf(mWaiting)) {
            if (run.isAsking(nowNanos)) {
                continue;
            }
            EngineState engine = mChoice.engine(run, nowNanos);
            if (engine != null) {
                mWaiting.remove(run);
                start(run, engine, null, "shortest expected time to first output", nowNanos);
            } else if (mBoard.engines().isEmpty()) {
                Ending ending = run.ran() == 0 ? Ending.REFUSED : Ending.UNKNOWN;
                finish(run, ending, NO_ENGINE_RETRY, "no engine is listed");
            }
        }
    }

    private void start(
            StreamRun run,
            EngineState engine,
            @Nullable MemoryCopy copy,
            String reason,
            long nowNanos) {
        boolean copies = mSpec.keepsCopies() && run.work().kind().isRepeatable();
        EngineState keeper = copies ? mChoice.keeper(engine, run, nowNanos) : null;
        long backlog = engine.backlog(mPace.tokensPerNano(), nowNanos);
        EngineState holder = copy == null ? mBoard.holder(run.part(), nowNanos) : null;
        int toRead = copy == null && holder == null ? run.promptTokens() : 0;
        String after = run.before().isEmpty() ? "" : "after " + run.before() + ": ";
        String why = after + reason + "; " + describe(engine, backlog);
        long expected = nowNanos + backlog + Math.round(toRead / mPace.tokensPerNano());
        boolean alone = backlog == 0 && toRead > 0;
        run.started(engine, keeper, toRead, alone, expected, nowNanos);
        mShareChanges++;
        mDue.add(
                new Decision.Start(
                        run.work(),
                        run.attempt(),
                        engine.upstream(),
                        copy == null ? Math.min(LEAST_URGENT, 1 + run.work().priority()) : 0,
                        keeper == null ? null : keeper.upstream(),
                        copy,
                        holder == null || holder == engine ? null : holder.upstream(),
                        why));
    }

    private String describe(EngineState engine, long backlogNanos) {
        return String.format(
                Locale.ROOT,
                "%d running, %d ms prefill backlog, %d of %d KV cache tokens reserved",
                engine.running(),
                backlogNanos / EngineState.NANOS_PER_MILLI,
                engine.memory(),
                mSpec.memoryTokens());
    }

    private void finish(StreamRun run, Ending ending, Duration retryAfter, String reason) {
        mDue.add(new Decision.Finish(run.work(), ending, retryAfter, reason));
        mRuns.remove(run.work().id());
        mWaiting.remove(run);
        run.released();
        mShareChanges++;
    }
}
