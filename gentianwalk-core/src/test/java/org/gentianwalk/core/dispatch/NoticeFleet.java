package org.gentianwalk.core.dispatch;

import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.gentianwalk.core.route.RequestKind;

/**
 * Instances with callers before upstreams that ask for pauses or announce their end, in virtual
 * time. Callers whose call is refused come back after the stated time until they lose patience.
 */
final class NoticeFleet {
    /** One-way latency between an instance and an upstream. */
    private static final long HOP = MS;

    private static final long SERVICE_TIME = 30 * MS;

    /** Delay until other instances receive a report. */
    private static final long REPORT_DELAY = 60 * MS;

    /** Time after a pause was asked for from which at most two requests may arrive. */
    private static final long PAUSE_EFFECT = 500 * MS;

    private static final int REQUESTS_IN_PAUSE = 2;

    private static final long PATIENCE = 30 * SECOND;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final Random mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Map<String, FakeUpstream> mUpstreams = new HashMap<>();
    private final Map<Long, Caller> mCallers = new HashMap<>();
    final List<Instance> mInstances = new ArrayList<>();
    final List<Long> mServed = new ArrayList<>();
    final List<Long> mRetriesAt = new ArrayList<>();
    private long mNumber;
    private long mNow;
    private long mCpuNanos;
    long mLastServedAt;
    int mSentAfterNotice;
    int mOffered;
    int mGivenUp;
    int mRefusals;

    private record Event(long at, long number, Runnable action) {}

    private record Caller(int instance, long firstAt) {}

    /** An instance and the reports that it does not receive. */
    static final class Instance {
        final UpstreamLimits mLimits;
        final CallScheduler mScheduler;
        final Set<String> mNoticedLeaving = new HashSet<>();
        boolean mGetsReports = true;

        Instance(UpstreamLimits limits, CallScheduler scheduler) {
            mLimits = limits;
            mScheduler = scheduler;
        }
    }

    /** An upstream that records the requests that arrive. */
    static final class FakeUpstream {
        final Upstream mUpstream;
        final List<Long> mArrivals = new ArrayList<>();
        final Map<Integer, List<Long>> mPauseAnswers = new HashMap<>();
        final Map<Integer, List<Long>> mArrivalsByInstance = new HashMap<>();
        boolean mLeaving;
        long mPauseFrom;
        long mPauseUntil;

        FakeUpstream(Upstream upstream) {
            mUpstream = upstream;
        }

        boolean isPausing(long now) {
            return now >= mPauseFrom && now < mPauseUntil;
        }

        /** Returns the largest number of arrivals in a window that starts at or after a time. */
        int mostArrivals(long window, long from) {
            int most = 0;
            int first = 0;
            for (int i = 0; i < mArrivals.size(); i++) {
                while (mArrivals.get(i) - mArrivals.get(first) >= window) {
                    first++;
                }
                if (mArrivals.get(first) >= from) {
                    most = Math.max(most, i - first + 1);
                }
            }
            return most;
        }

        int arrivals(long from, long until) {
            return (int) mArrivals.stream().filter(at -> at >= from && at < until).count();
        }
    }

    NoticeFleet(int instances, int upstreams, long seed) {
        mRandom = new Random(seed);
        List<Upstream> listed = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            Upstream upstream = Samples.upstream("u" + i, i % 2 == 0 ? "a" : "b");
            listed.add(upstream);
            mUpstreams.put(upstream.id(), new FakeUpstream(upstream));
        }
        Set<String> peers = new HashSet<>();
        for (int i = 1; i < instances; i++) {
            peers.add("peer-" + i);
        }
        for (int i = 0; i < instances; i++) {
            UpstreamLimits limits = new UpstreamLimits(new Random(seed * 1_000 + i));
            limits.updatePeers(new PeerView(peers, i));
            CallScheduler scheduler =
                    new CallScheduler(
                            "service",
                            Samples.LOCATIONS,
                            Samples.retries(),
                            limits,
                            new Random(seed * 2_000 + i));
            scheduler.replaceUpstreams(listed, 0);
            mInstances.add(new Instance(limits, scheduler));
        }
    }

    /** Returns the processor time that this thread has used. */
    static long cpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    List<FakeUpstream> upstreams() {
        return mUpstreams.values().stream()
                .sorted(Comparator.comparing(fake -> fake.mUpstream.id()))
                .toList();
    }

    void at(long time, Runnable action) {
        mEvents.add(new Event(time, mNumber++, action));
    }

    /** Lets new callers arrive at an instance at random times. */
    void offer(int instance, int calls, long from, long until) {
        for (int i = 0; i < calls; i++) {
            long at = from + (long) (mRandom.nextDouble() * (until - from));
            at(at, () -> call(mNumber++, new Caller(instance, mNow)));
        }
        mOffered += calls;
    }

    void run(long until) {
        while (!mEvents.isEmpty() && mEvents.peek().at() < until) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.action().run();
        }
        mNow = until;
    }

    private void call(long id, Caller caller) {
        mCallers.put(id, caller);
        long now = mNow;
        decide(
                caller.instance(),
                scheduler ->
                        scheduler.offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, now), now));
    }

    private interface Step {
        void apply(CallScheduler scheduler);
    }

    private void decide(int index, Step step) {
        Instance instance = mInstances.get(index);
        long start = cpuNanos();
        step.apply(instance.mScheduler);
        List<Decision> decisions = instance.mScheduler.advance(mNow);
        mCpuNanos += cpuNanos() - start;
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Start start1) {
                send(index, start1);
            } else if (decision instanceof Decision.Finish finish) {
                refused(finish);
            }
        }
    }

    private void refused(Decision.Finish finish) {
        mRefusals++;
        Caller caller = mCallers.remove(finish.work().id());
        // The header has milliseconds.
        long back = mNow + finish.retryAfter().toMillis() * MS;
        mRetriesAt.add(back);
        if (back - caller.firstAt() > PATIENCE) {
            mGivenUp++;
        } else {
            at(back, () -> call(mNumber++, caller));
        }
    }

    private void send(int index, Decision.Start start) {
        if (mInstances.get(index).mNoticedLeaving.contains(start.upstream().process())) {
            mSentAfterNotice++;
        }
        at(mNow + HOP, () -> arrive(index, start));
    }

    private void arrive(int index, Decision.Start start) {
        FakeUpstream fake = mUpstreams.get(start.upstream().id());
        fake.mArrivals.add(mNow);
        fake.mArrivalsByInstance.computeIfAbsent(index, i -> new ArrayList<>()).add(mNow);
        if (fake.mLeaving) {
            at(mNow + HOP, () -> leaving(index, start));
        } else if (fake.isPausing(mNow)) {
            fake.mPauseAnswers.computeIfAbsent(index, i -> new ArrayList<>()).add(mNow);
            Duration pause = Duration.ofNanos(fake.mPauseUntil - mNow);
            at(mNow + HOP, () -> paused(index, start, pause));
        } else {
            at(mNow + SERVICE_TIME + HOP, () -> served(index, start));
        }
    }

    private void leaving(int index, Decision.Start start) {
        Instance instance = mInstances.get(index);
        instance.mNoticedLeaving.add(start.upstream().process());
        if (instance.mLimits.recordLeaving(start.upstream(), mNow)) {
            List<String> report = instance.mLimits.recentlyLeaving(mNow);
            mInstances.stream()
                    .filter(peer -> peer != instance && peer.mGetsReports)
                    .forEach(peer -> at(mNow + REPORT_DELAY, () -> merge(peer, report)));
        }
        end(index, start, AttemptEnd.REJECTED);
    }

    void merge(Instance peer, List<String> report) {
        peer.mNoticedLeaving.addAll(report);
        peer.mLimits.mergeLeaving(report, mNow);
    }

    private void paused(int index, Decision.Start start, Duration pause) {
        mInstances.get(index).mLimits.recordPause(start.upstream(), pause, mNow);
        end(index, start, AttemptEnd.REJECTED);
    }

    private void served(int index, Decision.Start start) {
        Caller caller = mCallers.remove(start.work().id());
        mServed.add(mNow - caller.firstAt());
        mLastServedAt = mNow;
        end(index, start, AttemptEnd.SUCCEEDED);
    }

    private void end(int index, Decision.Start start, AttemptEnd end) {
        long now = mNow;
        decide(
                index,
                scheduler ->
                        scheduler.recordAttemptEnd(start.work().id(), start.attempt(), end, now));
    }

    /** Returns the requests that arrived beyond what the pauses allow. */
    int requestsInBreachOfPauses() {
        int breaches = 0;
        for (FakeUpstream fake : mUpstreams.values()) {
            for (Map.Entry<Integer, List<Long>> answers : fake.mPauseAnswers.entrySet()) {
                long from = answers.getValue().getFirst() + PAUSE_EFFECT;
                long arrived =
                        fake.mArrivalsByInstance.get(answers.getKey()).stream()
                                .filter(at -> at >= from && at < fake.mPauseUntil)
                                .count();
                breaches += (int) Math.max(0, arrived - REQUESTS_IN_PAUSE);
            }
        }
        return breaches;
    }

    /** Returns the calls that were answered within a time of their first arrival. */
    long servedWithin(long nanos) {
        return mServed.stream().filter(time -> time <= nanos).count();
    }

    /** Returns the processor time of the decisions at one instance for each call, microseconds. */
    double cpuMicrosPerCall() {
        return mCpuNanos / 1e3 / mOffered;
    }

    /** Returns the processor time of the decisions at one instance, milliseconds. */
    double cpuMillisPerInstance() {
        return mCpuNanos / 1e6 / mInstances.size();
    }

    String summary(String name) {
        return String.format(
                Locale.ROOT,
                "%s: %d instances, %d calls, in breach %d, served %d (within 1 s %d, 5 s %d),"
                        + " given up %d, refusals %d, decisions %.2f ms/instance, %.1f us/call",
                name,
                mInstances.size(),
                mOffered,
                mSentAfterNotice + requestsInBreachOfPauses(),
                mServed.size(),
                servedWithin(SECOND),
                servedWithin(5 * SECOND),
                mGivenUp,
                mRefusals,
                cpuMillisPerInstance(),
                cpuMicrosPerCall());
    }
}
