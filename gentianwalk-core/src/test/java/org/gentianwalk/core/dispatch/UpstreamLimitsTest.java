package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an upstream that gets more requests than the limit that it states. */
class UpstreamLimitsTest {
    /** An upstream may get one and a half times its limit and five requests in any four seconds. */
    private static final long WINDOW = 4 * SECOND;

    private static final double TOLERANCE = 1.5;
    private static final int SLACK = 5;

    /** Delay until other instances receive a statement. */
    private static final long REPORT_DELAY = 60 * MS;

    private final Upstream mUpstream = upstream("limited", "a");
    private final List<UpstreamLimits> mInstances = new ArrayList<>();

    private void createInstances(int count) {
        Set<String> names = new HashSet<>();
        for (int i = 1; i < count; i++) {
            names.add("peer-" + i);
        }
        for (int i = 0; i < count; i++) {
            UpstreamLimits limits = new UpstreamLimits(new Random(i));
            limits.updatePeers(new PeerView(names, i));
            mInstances.add(limits);
        }
    }

    /** All instances always have a request to send, as in the worst burst. */
    @ParameterizedTest
    @CsvSource({
        "1, 0.4",
        "9, 0.2",
        "9, 3.4",
        "9, 12",
        "47, 0.9",
        "47, 5",
        "95, 3.4",
        "95, 60",
        "350, 1",
        "350, 250"
    })
    void theRequestsOfAllInstancesStayWithinTheLimit(int instances, double limit) {
        createInstances(instances);
        List<Long> sent = sendAsMuchAsPermitted(limit, 20 * SECOND);

        double allowed = TOLERANCE * limit * WINDOW / SECOND + SLACK;
        for (long from : sent) {
            long count = sent.stream().filter(at -> at >= from && at < from + WINDOW).count();
            assertThat((double) count).isLessThanOrEqualTo(allowed);
        }
    }

    /** A limit is capacity as well: the upstream must not be idle while callers are refused. */
    @ParameterizedTest
    @CsvSource({"1, 2", "9, 3.4", "9, 12", "47, 5", "95, 60", "350, 250"})
    void mostOfTheLimitIsUsed(int instances, double limit) {
        createInstances(instances);
        List<Long> sent = sendAsMuchAsPermitted(limit, 40 * SECOND);

        assertThat((double) sent.size()).isGreaterThan(0.8 * limit * 40);
    }

    private List<Long> sendAsMuchAsPermitted(double limit, long duration) {
        mInstances.getFirst().recordStatement(mUpstream, limit, 0);
        List<Long> sent = new ArrayList<>();
        for (long now = REPORT_DELAY; now < duration; now += 10 * MS) {
            for (UpstreamLimits instance : mInstances) {
                instance.merge(mInstances.getFirst().recentStatements(now), now);
                if (instance.isPermitted(mUpstream, now)) {
                    instance.recordSent(mUpstream, now);
                    sent.add(now);
                }
            }
            mInstances.getFirst().recordStatement(mUpstream, limit, now);
        }
        return sent;
    }

    /** A lifted limit that stayed in force anywhere would refuse requests without need. */
    @Test
    void theLatestStatementHoldsAtAllInstances() {
        createInstances(9);
        UpstreamLimits first = mInstances.get(0);
        UpstreamLimits second = mInstances.get(1);
        first.recordStatement(mUpstream, 0.5, SECOND);
        second.merge(first.recentStatements(SECOND), SECOND);
        assertThat(second.isLimited(mUpstream)).isTrue();
        second.recordStatement(mUpstream, null, 2 * SECOND);
        first.merge(second.recentStatements(2 * SECOND + MS), 2 * SECOND + MS);
        second.merge(first.recentStatements(2 * SECOND + 2 * MS), 2 * SECOND + 2 * MS);

        assertThat(first.isLimited(mUpstream)).isFalse();
        assertThat(second.isLimited(mUpstream)).isFalse();
    }

    /** Nobody can observe the end of a limit while nobody sends requests. */
    @Test
    void aLimitThatIsNotStatedAgainIsRelaxedStepByStep() {
        createInstances(1);
        UpstreamLimits limits = mInstances.getFirst();
        limits.recordStatement(mUpstream, 1.0, 0);
        List<Long> perPeriod = new ArrayList<>();
        for (int period = 0; period < 6; period++) {
            long count = 0;
            for (long at = 0; at < 4 * SECOND; at += 10 * MS) {
                long now = period * 4 * SECOND + at;
                if (limits.isPermitted(mUpstream, now)) {
                    limits.recordSent(mUpstream, now);
                    count++;
                }
            }
            perPeriod.add(count);
        }

        assertThat(perPeriod.subList(0, 2)).allSatisfy(n -> assertThat(n).isBetween(3L, 5L));
        assertThat(perPeriod.get(3)).isBetween(6L, 40L);
        assertThat(perPeriod.get(5)).isGreaterThan(perPeriod.get(3));
    }

    /** A restarted process has not stated the limit of its predecessor. */
    @Test
    void aNewProcessHasNoLimit() {
        createInstances(1);
        mInstances.getFirst().recordStatement(mUpstream, 0.1, 0);
        Upstream restarted = Samples.restarted(mUpstream, 2);

        assertThat(mInstances.getFirst().isPermitted(restarted, MS)).isTrue();
    }

    @Test
    void callsGoToUpstreamsWithoutALimitOrAreRefusedAtOnce() {
        UpstreamLimits limits = Samples.limits();
        Upstream other = upstream("other", "b");
        CallScheduler scheduler = Samples.callScheduler(limits);
        scheduler.replaceUpstreams(List.of(mUpstream, other), 0);
        limits.recordStatement(mUpstream, 0.25, 0);
        for (int id = 1; id <= 20; id++) {
            scheduler.offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, MS), MS);
        }
        List<Decision.Start> starts = starts(scheduler.advance(MS));
        assertThat(starts).hasSize(20);
        assertThat(starts.stream().filter(start -> start.upstream().equals(mUpstream)).count())
                .isLessThanOrEqualTo(1);

        limits.recordStatement(other, 0.0, 2 * MS);
        scheduler.offer(Samples.call(30, RequestKind.SINGLE_CALL, 1, 3 * MS), 3 * MS);
        scheduler.offer(Samples.call(31, RequestKind.SINGLE_CALL, 1, 3 * MS), 3 * MS);
        Decision.Finish refusal = finishes(scheduler.advance(3 * MS)).getLast();
        assertThat(refusal.ending()).isEqualTo(Ending.REFUSED);
        assertThat(refusal.retryAfter()).isPositive();
    }

    /** A generation that waits keeps its place, and a copy is not kept where it can't be used. */
    @Test
    void generationsAvoidEnginesAtTheirLimits() {
        UpstreamLimits limits = Samples.limits();
        Upstream other = upstream("other", "b");
        StreamScheduler scheduler = Samples.streamScheduler(limits);
        scheduler.replaceUpstreams(List.of(mUpstream, other), 0);
        limits.recordStatement(mUpstream, 0.0, 0);
        for (int id = 1; id <= 3; id++) {
            scheduler.offer(Samples.stream(id, 1, 100, MS), MS);
        }

        assertThat(starts(scheduler.advance(MS)))
                .isNotEmpty()
                .allSatisfy(start -> assertThat(start.upstream()).isEqualTo(other));
    }

    /** The list of upstreams may be outdated, or may never show that a process leaves. */
    @Test
    void aLeavingProcessGetsNoRequestsUntilALaterOneIsListed() {
        createInstances(1);
        UpstreamLimits limits = mInstances.getFirst();
        assertThat(limits.recordLeaving(mUpstream, 0)).isTrue();
        assertThat(limits.recordLeaving(mUpstream, SECOND)).as("already known").isFalse();
        limits.expire(60 * SECOND);

        assertThat(limits.isPermitted(mUpstream, 60 * SECOND)).isFalse();
        assertThat(limits.waitNanos(mUpstream, 60 * SECOND)).isEmpty();
        Upstream restarted = Samples.restarted(mUpstream, 2);
        assertThat(limits.isPermitted(restarted, 60 * SECOND)).isTrue();
    }

    /** Requests of an instance that was not told would be cut off when the process ends. */
    @ParameterizedTest
    @ValueSource(ints = {2, 95})
    void anAnnouncedEndIsInForceAtAllInstances(int instances) {
        createInstances(instances);
        UpstreamLimits first = mInstances.getFirst();
        long changes = first.changes();
        first.recordLeaving(mUpstream, 0);
        assertThat(first.changes()).as("reported at once").isGreaterThan(changes);
        List<String> report = first.recentlyLeaving(MS);
        List<UpstreamLimits> others = mInstances.subList(1, instances);
        others.forEach(limits -> limits.mergeLeaving(report, 2 * MS));

        assertThat(others).noneMatch(limits -> limits.isPermitted(mUpstream, 3 * MS));
        assertThat(others)
                .as("only the instance that was told reports it")
                .allMatch(limits -> limits.recentlyLeaving(3 * MS).isEmpty());
        assertThat(first.recentlyLeaving(3 * SECOND)).isEmpty();
        Upstream restarted = Samples.restarted(mUpstream, 2);
        assertThat(others).allMatch(limits -> limits.isPermitted(restarted, SECOND));
    }

    /** A report that is wrong, or repeated for ever, must not take an upstream away for ever. */
    @Test
    void aReportedEndIsBoundedInTimeAndNumber() {
        createInstances(1);
        UpstreamLimits limits = mInstances.getFirst();
        long bound = UpstreamPauses.MAX_PAUSE.toNanos();
        for (long now = 0; now <= bound; now += 30 * SECOND) {
            limits.mergeLeaving(List.of(mUpstream.process()), now);
        }
        limits.expire(bound + SECOND);
        assertThat(limits.isPermitted(mUpstream, bound + SECOND)).isTrue();

        List<String> many = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            many.add("process-" + i);
        }
        limits.mergeLeaving(many, bound + SECOND);
        assertThat(limits.closedProcesses(bound + SECOND)).hasSizeLessThan(5_000);
    }

    /** An upstream that leaves while many requests arrive gets none of them. */
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void callsGoToOtherUpstreamsWhenOneLeaves(int calls) {
        createInstances(1);
        UpstreamLimits limits = mInstances.getFirst();
        CallScheduler scheduler = Samples.callScheduler(limits);
        Upstream other = upstream("other", "b");
        scheduler.replaceUpstreams(List.of(mUpstream, other), 0);
        limits.recordLeaving(mUpstream, 0);
        for (int id = 1; id <= calls; id++) {
            scheduler.offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, 0), 0);
        }

        assertThat(starts(scheduler.advance(0)))
                .hasSize(calls)
                .allMatch(start -> start.upstream().equals(other));
    }

    @Test
    void anUpstreamGetsNoRequestsDuringThePauseThatItAskedFor() {
        createInstances(1);
        UpstreamLimits limits = mInstances.getFirst();
        limits.recordPause(mUpstream, Duration.ofSeconds(2), 0);
        limits.recordPause(mUpstream, Duration.ofMillis(100), 500 * MS);
        limits.expire(1_900 * MS);

        assertThat(limits.isPermitted(mUpstream, 1_999 * MS)).isFalse();
        assertThat(limits.isPermitted(mUpstream, 2_050 * MS)).isTrue();
    }

    /** A wrong statement must not take an upstream away for ever. */
    @Test
    void aHugePauseIsBoundedAndNoPauseChangesNothing() {
        createInstances(1);
        UpstreamLimits limits = mInstances.getFirst();
        limits.recordPause(mUpstream, Duration.ofSeconds(-3), 0);
        assertThat(limits.isPermitted(mUpstream, 0)).isTrue();

        limits.recordPause(mUpstream, Duration.ofDays(365_000), 0);
        long bound = UpstreamPauses.MAX_PAUSE.toNanos();
        assertThat(limits.isPermitted(mUpstream, bound - MS)).isFalse();
        assertThat(limits.isPermitted(mUpstream, bound + SECOND)).isTrue();
    }

    /** Requests that waited for the end of the pause must not arrive all at once. */
    @ParameterizedTest
    @ValueSource(ints = {1, 9, 95})
    void requestsStartOneByOneAfterAPauseThatEndsAtAllInstancesTogether(int instances) {
        createInstances(instances);
        mInstances.forEach(limits -> limits.recordPause(mUpstream, Duration.ofSeconds(1), 0));
        int early = 0;
        int firstSecond = 0;
        for (long now = 0; now < 2 * SECOND; now += MS) {
            for (UpstreamLimits limits : mInstances) {
                if (limits.isPermitted(mUpstream, now)) {
                    limits.recordSent(mUpstream, now);
                    early += now < SECOND ? 1 : 0;
                    firstSecond += now >= SECOND ? 1 : 0;
                }
            }
        }

        assertThat(early).isZero();
        // One request in 50 ms of all instances, or of each within 2 s when there are more.
        assertThat(firstSecond).isBetween(1, Math.max(21, instances / 2 + instances / 4));
    }

    /** The caller learns when it is worth to come back, instead of waiting for its deadline. */
    @Test
    void callsAreRefusedUntilTheShortestPauseEndsWhenAllUpstreamsPause() {
        createInstances(1);
        UpstreamLimits limits = mInstances.getFirst();
        CallScheduler scheduler = Samples.callScheduler(limits);
        Upstream other = upstream("other", "b");
        scheduler.replaceUpstreams(List.of(mUpstream, other), 0);
        limits.recordPause(mUpstream, Duration.ofSeconds(5), 0);
        limits.recordPause(other, Duration.ofSeconds(2), 0);
        scheduler.offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);
        Decision.Finish finish = finishes(scheduler.advance(0)).getFirst();

        assertThat(finish.ending()).isEqualTo(Ending.REFUSED);
        assertThat(finish.retryAfter()).isBetween(Duration.ofSeconds(2), Duration.ofMillis(2_100));
    }
}
