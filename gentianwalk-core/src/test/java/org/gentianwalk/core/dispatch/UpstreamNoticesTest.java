package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.dispatch.NoticeFleet.FakeUpstream;
import org.gentianwalk.core.dispatch.NoticeFleet.Instance;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests to upstreams that leave or pause, and against all that waited arriving at
 * once, with many instances and requests in virtual time.
 */
class UpstreamNoticesTest {
    private static final long SEED = 20261205;
    private static final int UPSTREAMS = 10;

    /** Requests a second of all instances together at an upstream after its pause. */
    private static final int RECOVERY_RATE = 20;

    private final List<Upstream> mEngines = new ArrayList<>();

    private void listEngines(int count) {
        for (int i = 0; i < count; i++) {
            mEngines.add(upstream("e" + i, i % 2 == 0 ? "a" : "b"));
        }
    }

    /** Calls in progress must be answered, and all others go elsewhere without a refusal. */
    @ParameterizedTest
    @CsvSource({"1, 10", "1, 100", "1, 1000", "95, 10", "95, 100", "350, 30"})
    void noCallIsSentToAnUpstreamThatLeaves(int instances, int calls) {
        NoticeFleet fleet = new NoticeFleet(instances, UPSTREAMS, SEED);
        for (int i = 0; i < instances; i++) {
            fleet.offer(i, calls, 0, 2 * SECOND);
        }
        FakeUpstream leaving = fleet.upstreams().getFirst();
        fleet.at(SECOND, () -> leaving.mLeaving = true);
        fleet.run(10 * SECOND);
        System.out.println(fleet.summary("one of " + UPSTREAMS + " leaves"));

        assertThat(fleet.mSentAfterNotice).isZero();
        assertThat(fleet.mServed).hasSize(fleet.mOffered);
        // The first answer after the announcement reaches all instances by the next report.
        long told = leaving.mArrivals.stream().filter(at -> at >= SECOND).findFirst().orElse(0L);
        assertThat(leaving.arrivals(told + 100 * MS, 10 * SECOND)).isZero();
    }

    /** A report can be lost; the upstream's own answer then has to stop the requests. */
    @ParameterizedTest
    @ValueSource(ints = {95, 350})
    void anInstanceWithoutTheReportStopsAfterTheFirstAnswer(int instances) {
        NoticeFleet fleet = new NoticeFleet(instances, UPSTREAMS, SEED);
        Instance deaf = fleet.mInstances.getLast();
        deaf.mGetsReports = false;
        for (int i = 0; i < instances; i++) {
            fleet.offer(i, 30, 0, 3 * SECOND);
        }
        FakeUpstream leaving = fleet.upstreams().getFirst();
        fleet.at(SECOND, () -> leaving.mLeaving = true);
        fleet.run(10 * SECOND);
        System.out.println(fleet.summary("one instance gets no report"));

        assertThat(fleet.mSentAfterNotice).isZero();
        assertThat(fleet.mServed).hasSize(fleet.mOffered);
        List<Long> late = leaving.mArrivalsByInstance.getOrDefault(instances - 1, List.of());
        long sentUnaware = late.stream().filter(at -> at >= 1_100 * MS).count();
        assertThat(sentUnaware).as("ended by its answer").isLessThanOrEqualTo(1);
    }

    /** Those that do not pause must serve everything meanwhile. */
    @ParameterizedTest
    @ValueSource(ints = {1, 95, 350})
    void halfOfTheUpstreamsPauseWithoutARefusal(int instances) {
        NoticeFleet fleet = new NoticeFleet(instances, UPSTREAMS, SEED);
        pause(fleet, UPSTREAMS / 2, SECOND, 4 * SECOND);
        for (int i = 0; i < instances; i++) {
            fleet.offer(i, 50, 0, 5 * SECOND);
        }
        fleet.run(20 * SECOND);
        System.out.println(fleet.summary("half of the upstreams pause"));

        assertThat(fleet.requestsInBreachOfPauses()).isZero();
        assertThat(fleet.mServed).hasSize(fleet.mOffered);
        assertThat(fleet.servedWithin(SECOND)).isEqualTo(fleet.mOffered);
    }

    /** Callers that all come back in the same moment are refused again, or flood the upstreams. */
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void callsRefusedDuringPausesComeBackSpread(int calls) {
        UpstreamLimits limits = Samples.limits();
        CallScheduler scheduler = Samples.callScheduler(limits);
        listEngines(UPSTREAMS);
        scheduler.replaceUpstreams(mEngines, 0);
        mEngines.forEach(engine -> limits.recordPause(engine, Duration.ofSeconds(3), 0));
        for (int id = 1; id <= calls; id++) {
            scheduler.offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, MS), MS);
        }
        List<Decision.Finish> refusals = finishes(scheduler.advance(MS));

        assertThat(refusals).hasSize(calls);
        assertSpread(refusals, Duration.ofMillis(2_999));
    }

    /** Waiting for a pause that ends after the deadline would only delay the caller. */
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void generationsThatWaitAreRefusedAtOnceAndComeBackSpread(int waiting) {
        UpstreamLimits limits = Samples.limits();
        StreamScheduler scheduler = Samples.streamScheduler(limits);
        listEngines(UPSTREAMS);
        scheduler.replaceUpstreams(mEngines, 0);
        // Generations wait for the end of a short pause, until a longer one is asked for.
        mEngines.forEach(engine -> limits.recordPause(engine, Duration.ofSeconds(1), 0));
        for (int id = 1; id <= waiting; id++) {
            scheduler.offer(Samples.stream(id, 1, 100, 0), 0);
        }
        assertThat(scheduler.advance(0)).isEmpty();
        mEngines.forEach(engine -> limits.recordPause(engine, Duration.ofSeconds(60), MS));
        List<Decision.Finish> refusals = finishes(scheduler.advance(MS));

        assertThat(refusals).hasSize(waiting);
        assertThat(refusals).allMatch(refusal -> refusal.ending() == Ending.REFUSED);
        assertSpread(refusals, Duration.ofSeconds(60));
    }

    /** Checks that the first caller may come back early, and few in the same moment. */
    private static void assertSpread(List<Decision.Finish> refusals, Duration pause) {
        List<Duration> times = refusals.stream().map(Decision.Finish::retryAfter).sorted().toList();
        assertThat(times.getFirst()).isBetween(pause, pause.plusMillis(100));
        assertThat(times.getLast()).isLessThan(pause.plusSeconds(10));
        Map<Long, Integer> perMoment = new HashMap<>();
        times.forEach(time -> perMoment.merge(time.toMillis() / 50, 1, Integer::sum));
        // All upstreams together accept 10 in 50 ms at first.
        assertThat(Collections.max(perMoment.values()))
                .as("callers back within the same 50 ms")
                .isLessThanOrEqualTo(Math.max(2 * UPSTREAMS, refusals.size() / 10));
    }

    /** The first rejections of all upstreams are the notice; their callers need a true time too. */
    @Test
    void aCallThatAllUpstreamsRejectedLearnsTheirPause() {
        UpstreamLimits limits = Samples.limits();
        CallScheduler scheduler = Samples.callScheduler(limits);
        listEngines(4);
        scheduler.replaceUpstreams(mEngines, 0);
        scheduler.offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);
        for (int attempt = 1; attempt <= 4; attempt++) {
            Decision.Start start = starts(scheduler.advance(attempt * MS)).getFirst();
            limits.recordPause(start.upstream(), Duration.ofSeconds(5), attempt * MS);
            scheduler.recordAttemptEnd(1, attempt, AttemptEnd.REJECTED, attempt * MS);
        }
        List<Decision.Finish> refusals = finishes(scheduler.advance(5 * MS));

        // The first pause was asked for 3 ms before.
        assertThat(refusals.getFirst().retryAfter())
                .isGreaterThanOrEqualTo(Duration.ofMillis(4_997));
    }

    /** A generation that no engine accepts any more learns the time as well. */
    @Test
    void aGenerationThatTooManyEnginesRejectedLearnsTheirPause() {
        UpstreamLimits limits = Samples.limits();
        StreamScheduler scheduler = Samples.streamScheduler(limits);
        listEngines(8);
        scheduler.replaceUpstreams(mEngines, 0);
        scheduler.offer(Samples.stream(1, 1, 100, 0), 0);
        for (int attempt = 1; attempt <= 8; attempt++) {
            Decision.Start start = starts(scheduler.advance(attempt * MS)).getFirst();
            limits.recordPause(start.upstream(), Duration.ofSeconds(5), attempt * MS);
            scheduler.recordAttemptEnd(1, attempt, AttemptEnd.REJECTED, attempt * MS);
        }
        List<Decision.Finish> refusals = finishes(scheduler.advance(9 * MS));

        assertThat(refusals).hasSize(1);
        // The first pause was asked for 7 ms before.
        assertThat(refusals.getFirst().retryAfter())
                .isGreaterThanOrEqualTo(Duration.ofMillis(4_993));
    }

    /** The header has milliseconds; a caller that keeps to it must not come too early. */
    @Test
    void aCallerThatComesBackAtTheStatedMillisecondIsServed() {
        UpstreamLimits limits = Samples.limits();
        CallScheduler scheduler = Samples.callScheduler(limits);
        listEngines(1);
        scheduler.replaceUpstreams(mEngines, 0);
        limits.recordPause(mEngines.getFirst(), Duration.ofNanos(2_000_400_000L), 0);
        scheduler.offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);
        Decision.Finish refusal = finishes(scheduler.advance(0)).getFirst();
        long back = refusal.retryAfter().toMillis() * MS;
        scheduler.offer(Samples.call(2, RequestKind.SINGLE_CALL, 1, back), back);

        assertThat(starts(scheduler.advance(back))).hasSize(1);
    }

    /** What waited must not arrive at once, neither at the end of the pauses nor later. */
    @ParameterizedTest
    @CsvSource({"1, 100", "1, 1000", "95, 20", "350, 10"})
    void upstreamsAreNotFloodedWhenTheirPausesEndTogether(int instances, int calls) {
        NoticeFleet fleet = new NoticeFleet(instances, UPSTREAMS, SEED);
        long end = 3 * SECOND;
        pause(fleet, UPSTREAMS, 0, end);
        for (int i = 0; i < instances; i++) {
            fleet.offer(i, calls, 0, 2 * SECOND);
        }
        fleet.run(40 * SECOND);
        System.out.println(fleet.summary("all upstreams pause"));
        List<Integer> total = new ArrayList<>();
        for (int half = 0; half < 20; half++) {
            long from = end + half * SECOND / 2;
            total.add(
                    fleet.upstreams().stream()
                            .mapToInt(fake -> fake.arrivals(from, from + SECOND / 2))
                            .sum());
        }
        System.out.println("  arrivals in each half second after the pauses: " + total);
        System.out.printf(
                Locale.ROOT,
                "  all that waited served %.2f s after the pauses%n",
                (double) (fleet.mLastServedAt - end) / SECOND);

        assertThat(fleet.requestsInBreachOfPauses()).isZero();
        assertThat(fleet.mServed).hasSize(fleet.mOffered);
        for (FakeUpstream fake : fleet.upstreams()) {
            assertGrowsStepByStep(fake.mUpstream.id(), fake.mArrivals, end);
        }
    }

    /** Checks that no half second has more than twice the requests of those before it. */
    private static void assertGrowsStepByStep(String upstream, List<Long> times, long end) {
        int before = RECOVERY_RATE / 2;
        for (int half = 0; half < 20; half++) {
            long from = end + half * SECOND / 2;
            int arrived =
                    (int) times.stream().filter(at -> at >= from && at < from + SECOND / 2).count();
            assertThat(arrived)
                    .as("%s, half second %d after its pause", upstream, half)
                    .isLessThanOrEqualTo(2 * before + RECOVERY_RATE / 2);
            before = Math.max(before, arrived);
        }
    }

    private static void pause(NoticeFleet fleet, int upstreams, long from, long until) {
        for (FakeUpstream fake : fleet.upstreams().subList(0, upstreams)) {
            fake.mPauseFrom = from;
            fake.mPauseUntil = until;
        }
    }

    /** With many instances, each may start only a few requests during the recovery. */
    @Test
    void callsComeBackSpreadWhenManyInstancesShareTheRecovery() {
        UpstreamLimits limits = Samples.limits();
        Set<String> peers = new HashSet<>();
        for (int i = 1; i < 350; i++) {
            peers.add("peer-" + i);
        }
        limits.updatePeers(new PeerView(peers, 0));
        CallScheduler scheduler = Samples.callScheduler(limits);
        listEngines(UPSTREAMS);
        scheduler.replaceUpstreams(mEngines, 0);
        mEngines.forEach(engine -> limits.recordPause(engine, Duration.ofSeconds(3), 0));
        for (int id = 1; id <= 1_000; id++) {
            scheduler.offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, 0), 0);
        }
        List<Duration> times =
                finishes(scheduler.advance(0)).stream().map(Decision.Finish::retryAfter).toList();

        Map<Long, Integer> perMoment = new HashMap<>();
        times.forEach(time -> perMoment.merge(time.toMillis() / 50, 1, Integer::sum));
        assertThat(times).allMatch(time -> time.toMillis() >= 3_000 && time.toMillis() < 13_000);
        assertThat(Collections.max(perMoment.values())).isLessThanOrEqualTo(100);
    }

    /** Generations in progress finish; those that wait start at another engine, none is refused. */
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void noGenerationIsSentToAnEngineThatLeaves(int waiting) {
        UpstreamLimits limits = Samples.limits();
        StreamScheduler scheduler = Samples.streamScheduler(limits);
        listEngines(4);
        scheduler.replaceUpstreams(mEngines, 0);
        for (int id = 1; id <= waiting; id++) {
            scheduler.offer(Samples.stream(id, 1, 8_000, 0), 0);
        }
        List<Decision.Start> before = starts(scheduler.advance(0));
        Upstream leaving = mEngines.getFirst();
        assertThat(before).anyMatch(start -> start.upstream().equals(leaving));
        limits.recordLeaving(leaving, MS);
        List<Decision> later = new ArrayList<>(scheduler.advance(MS));
        for (Decision.Start start : before) {
            scheduler.recordProgress(start.work().id(), 1, new Progress(1, 400 * MS, 0));
            later.addAll(scheduler.advance(400 * MS));
        }
        for (Decision.Start start : before) {
            scheduler.recordAttemptEnd(start.work().id(), 1, AttemptEnd.SUCCEEDED, 600 * MS);
            later.addAll(scheduler.advance(600 * MS));
        }

        assertThat(finishes(later)).isEmpty();
        List<Decision.Start> started = starts(later);
        assertThat(started).noneMatch(start -> start.upstream().equals(leaving));
        assertThat(started).noneMatch(start -> leaving.equals(start.copyHolder()));
        assertThat(started).hasSizeGreaterThanOrEqualTo(Math.min(3, waiting - before.size()));
    }

    /** Generations wait for a pause that ends in time, and must not start all at once then. */
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void generationsThatWaitedStartStepByStep(int waiting) {
        UpstreamLimits limits = Samples.limits();
        StreamScheduler scheduler = Samples.streamScheduler(limits);
        listEngines(UPSTREAMS);
        scheduler.replaceUpstreams(mEngines, 0);
        mEngines.forEach(engine -> limits.recordPause(engine, Duration.ofSeconds(2), 0));
        for (int id = 1; id <= waiting; id++) {
            scheduler.offer(Samples.stream(id, 1, 20, 0), 0);
        }
        Map<String, List<Long>> startsAt = new HashMap<>();
        Map<Long, Long> running = new LinkedHashMap<>();
        long cpu = 0;
        int served = 0;
        long now = 0;
        for (; now < 20 * SECOND && served < waiting; now += 10 * MS) {
            long time = now;
            List<Long> ended =
                    running.keySet().stream()
                            .filter(id -> time - running.get(id) >= 50 * MS)
                            .toList();
            long before = NoticeFleet.cpuNanos();
            for (long id : ended) {
                scheduler.recordProgress(id, 1, new Progress(1, now, 0));
                scheduler.recordAttemptEnd(id, 1, AttemptEnd.SUCCEEDED, now);
            }
            List<Decision> decisions = scheduler.advance(now);
            cpu += NoticeFleet.cpuNanos() - before;
            served += ended.size();
            running.keySet().removeAll(ended);
            for (Decision.Start start : starts(decisions)) {
                running.put(start.work().id(), now);
                startsAt.computeIfAbsent(start.upstream().id(), id -> new ArrayList<>()).add(now);
            }
            assertThat(finishes(decisions)).isEmpty();
        }
        System.out.printf(
                Locale.ROOT,
                "%d generations wait for a pause: served %d in %.2f s, decisions %.0f ms%n",
                waiting,
                served,
                now / 1e9,
                cpu / 1e6);

        assertThat(served).isEqualTo(waiting);
        assertThat(cpu).as("the control thread keeps up").isLessThan(now);
        startsAt.forEach(
                (engine, times) -> {
                    assertThat(times).allMatch(at -> at >= 2 * SECOND);
                    assertGrowsStepByStep(engine, times, 2 * SECOND);
                });
    }

    /** A copy that an engine has to receive is work as well. */
    @Test
    void aPausingEngineGetsNoCopies() {
        UpstreamLimits limits = Samples.limits();
        StreamScheduler scheduler = Samples.streamScheduler(limits);
        listEngines(4);
        scheduler.replaceUpstreams(mEngines, 0);
        mEngines.subList(1, 4)
                .forEach(engine -> limits.recordPause(engine, Duration.ofSeconds(5), 0));
        scheduler.offer(Samples.stream(1, 1, 100, 0), 0);

        assertThat(starts(scheduler.advance(0)).getFirst().copyHolder()).isNull();
    }

    /** An engine that fetches a prompt from one that ends meanwhile blocks. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void noPromptIsFetchedFromAnEngineThatLeavesOrPauses(boolean leaves) {
        UpstreamLimits limits = Samples.limits();
        StreamScheduler scheduler = Samples.streamScheduler(limits);
        listEngines(2);
        scheduler.replaceUpstreams(mEngines, 0);
        scheduler.offer(Samples.stream(1, 1, 8_000, 0), 0);
        Upstream holder = starts(scheduler.advance(0)).getFirst().upstream();
        scheduler.recordProgress(1, 1, new Progress(1, SECOND, 0));
        scheduler.recordAttemptEnd(1, 1, AttemptEnd.SUCCEEDED, SECOND);
        if (leaves) {
            limits.recordLeaving(holder, SECOND);
        } else {
            limits.recordPause(holder, Duration.ofSeconds(5), SECOND);
        }
        scheduler.offer(Samples.stream(1, 1, 8_000, SECOND), SECOND);
        Decision.Start second = starts(scheduler.advance(SECOND)).getFirst();

        assertThat(second.upstream()).isNotEqualTo(holder);
        assertThat(second.fetchFrom()).isNull();
    }

    /** Reports are repeated and delayed, and must not affect the successor of the process. */
    @ParameterizedTest
    @ValueSource(ints = {95, 350})
    void lateAndRepeatedReportsDoNotAffectOtherProcesses(int instances) {
        NoticeFleet fleet = new NoticeFleet(instances, UPSTREAMS, SEED);
        Upstream first = fleet.upstreams().getFirst().mUpstream;
        Upstream second = Samples.restarted(first, 2);
        Upstream third = Samples.restarted(first, 3);
        Upstream sameAddress =
                new Upstream("other", 1, "service", first.address(), first.zone(), 6, false);
        for (Instance instance : fleet.mInstances) {
            UpstreamLimits limits = instance.mLimits;
            limits.mergeLeaving(List.of(second.process(), second.process()), 0);
            limits.mergeLeaving(List.of(first.process()), MS);
            limits.mergeLeaving(List.of(second.process()), 2 * MS);
            assertThat(limits.isPermitted(first, 3 * MS)).isFalse();
            assertThat(limits.isPermitted(second, 3 * MS)).isFalse();
            assertThat(limits.isPermitted(third, 3 * MS)).isTrue();
            assertThat(limits.isPermitted(sameAddress, 3 * MS)).isTrue();
            assertThat(limits.recentlyLeaving(3 * MS)).as("reports are not passed on").isEmpty();
        }
    }

    /** A peer's false reports must not hide what an upstream states itself. */
    @Test
    void anAnnouncementIsRespectedAfterManyFalseReports() {
        UpstreamLimits limits = Samples.limits();
        List<String> many = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            many.add("process-" + i);
        }
        limits.mergeLeaving(many, 0);
        Upstream leaving = upstream("leaving", "a");

        assertThat(limits.recordLeaving(leaving, MS)).isTrue();
        assertThat(limits.isPermitted(leaving, MS)).isFalse();
        assertThat(limits.recentlyLeaving(MS)).containsExactly(leaving.process());
        assertThat(limits.closedProcesses(MS)).hasSizeLessThan(5_000);
    }

    /** A false report costs one upstream for a bounded time and does not spread. */
    @Test
    void aFalseReportEndsByItself() {
        UpstreamLimits limits = Samples.limits();
        Upstream engine = upstream("engine", "a");
        limits.mergeLeaving(List.of(engine.process()), 0);
        long bound = UpstreamPauses.MAX_PAUSE.toNanos();
        limits.expire(bound);
        assertThat(limits.isPermitted(engine, bound)).isFalse();
        limits.expire(bound + MS);

        assertThat(limits.isPermitted(engine, bound + MS)).isTrue();
    }
}
