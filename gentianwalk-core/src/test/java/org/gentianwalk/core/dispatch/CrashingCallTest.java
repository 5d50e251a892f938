package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a call that crashes each upstream that runs it and comes again at any instance,
 * and against refusing sound calls because of it. Instances are schedulers in virtual time that
 * exchange their reports; upstreams of one service crash, refuse connections and are listed again.
 */
class CrashingCallTest {
    private static final Fingerprint CRASHING = new Fingerprint(0xbad, 1);
    private static final Fingerprint SOUND = new Fingerprint(0x600d, 1);
    private static final long STEP = 5 * MS;
    private static final long DURATION = 21 * MS;
    private static final long RESTART = 2 * SECOND;

    /** Time until an upstream that is started under another identifier listens again. */
    private static final long RENAMED_RESTART = SECOND;

    /** Delay with which changes of the list reach the instances. */
    private static final long LIST_DELAY = 800 * MS;

    /** Time after its last heartbeat at which the entry of an upstream is removed. */
    private static final long ENTRY_LIFETIME = 3_600 * MS;

    /** Crashes after which a repeated call may reach upstreams at most three times. */
    private static final int CRASHES_TO_DETECT = 3;

    private static final long SETTLING_TIME = 4 * SECOND;
    private static final int MAX_LATE_ATTEMPTS = 3;

    private final List<CallScheduler> mInstances = new ArrayList<>();
    private final Map<String, Upstream> mUpstreams = new TreeMap<>();
    private final Map<String, Long> mRestarts = new TreeMap<>();
    private final Map<String, Long> mRemovals = new TreeMap<>();
    private final Map<String, Long> mListings = new TreeMap<>();

    /** The upstream process that listens at each address. */
    private final Map<String, Upstream> mListening = new TreeMap<>();

    private boolean mRenamed;
    private final Map<Long, Attempt> mRunning = new TreeMap<>();
    private final List<Long> mCrashes = new ArrayList<>();
    private final List<Long> mCrashingStarts = new ArrayList<>();
    private final Map<Long, Decision.Finish> mFinishes = new HashMap<>();
    private long mNextId;
    private int mNextUpstream = 100;

    private record Attempt(int instance, Decision.Start start, long endsAt) {}

    private void createFleet(int instances, int upstreams, long seed) {
        for (int i = 0; i < upstreams; i++) {
            Upstream upstream = upstream("desk-" + i, List.of("a", "b").get(i % 2));
            mUpstreams.put(upstream.id(), upstream);
            mListening.put(upstream.address(), upstream);
        }
        for (int i = 0; i < instances; i++) {
            CallScheduler instance =
                    new CallScheduler(
                            "service",
                            Samples.LOCATIONS,
                            Samples.retries(),
                            Samples.limits(),
                            new Random(seed + i));
            instance.replaceUpstreams(mUpstreams.values(), 0);
            mInstances.add(instance);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aCallThatComesAgainSoonReachesNoUpstream(long seed) {
        createFleet(9, 3, seed);
        Random random = new Random(seed);
        for (long now = 0; now < 60 * SECOND; now += STEP) {
            if (now % (5 * SECOND) == 2 * SECOND) {
                offer(random, RequestKind.IDEMPOTENT_CALL, CRASHING, now);
            }
            if (random.nextInt(4) == 0) {
                offer(random, RequestKind.SINGLE_CALL, SOUND, now);
            }
            advance(now);
        }

        assertThat(mCrashes).hasSizeGreaterThanOrEqualTo(CRASHES_TO_DETECT);
        assertThat(lateStarts()).isLessThanOrEqualTo(MAX_LATE_ATTEMPTS);
        assertThat(mFinishes.values())
                .as("sound calls with the same content")
                .filteredOn(finish -> SOUND.equals(finish.work().content()))
                .noneMatch(finish -> finish.reason().contains("lost under calls"));
    }

    /** Repetitions by callers follow each other more closely than the evidence settles. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aCallThatIsRetriedByItsCallersSoonReachesNoUpstream(long seed) {
        createFleet(9, 6, seed);
        Random random = new Random(seed);
        for (long now = 0; now < 40 * SECOND; now += STEP) {
            if (random.nextInt(100) == 0) {
                offer(random, RequestKind.IDEMPOTENT_CALL, CRASHING, now);
            }
            advance(now);
        }

        assertThat(mCrashes).hasSizeGreaterThanOrEqualTo(CRASHES_TO_DETECT);
        assertThat(lateStarts()).isLessThanOrEqualTo(MAX_LATE_ATTEMPTS);
    }

    /**
     * The list shows the end of an upstream seconds later. Without a report of it, each instance
     * would lose upstreams of its own before it refuses the call.
     */
    @Test
    void aLossThatIsConfirmedLateIsReportedToOtherInstances() {
        createFleet(1, 3, 1);
        CallScheduler instance = mInstances.getFirst();
        long id = offer(0, RequestKind.SINGLE_CALL, CRASHING, 0);
        Upstream lost = Samples.starts(instance.advance(0)).getFirst().upstream();
        instance.recordAttemptEnd(id, 1, AttemptEnd.RESET, MS);
        long listed = ENTRY_LIFETIME + LIST_DELAY;
        mUpstreams.remove(lost.id());
        instance.replaceUpstreams(mUpstreams.values(), listed);
        instance.advance(listed);

        assertThat(instance.load(listed).suspects())
                .extracting(SuspectEntry::fingerprint)
                .contains(CRASHING);
        assertThat(instance.takeSettledLosses())
                .containsExactly(
                        new SettledLoss(
                                lost.process(),
                                "request-" + id,
                                SettledLoss.Sign.ENDED,
                                Duration.ofNanos(listed - MS),
                                true));
    }

    /**
     * The entry of a crashed upstream outlasts its restart under another identifier at the same
     * address. Without other calls, only the new entry shows that the upstream was lost.
     */
    @ParameterizedTest
    @CsvSource({
        "3, 200, 5",
        "3, 200, 7",
        "3, 400, 3",
        "6, 25, 1",
        "6, 25, 5",
        "6, 25, 7",
        "6, 100, 7",
        "6, 400, 5"
    })
    void aCallWhoseUpstreamsReturnUnderOtherIdentifiersSoonReachesNoUpstream(
            int upstreams, int meanSteps, long seed) {
        mRenamed = true;
        createFleet(9, upstreams, seed);
        Random random = new Random(seed);
        for (long now = 0; now < 40 * SECOND; now += STEP) {
            if (random.nextInt(meanSteps) == 0) {
                offer(random, RequestKind.IDEMPOTENT_CALL, CRASHING, now);
            }
            advance(now);
        }

        assertThat(mCrashes).hasSizeGreaterThanOrEqualTo(CRASHES_TO_DETECT);
        assertThat(lateStarts()).isLessThanOrEqualTo(MAX_LATE_ATTEMPTS);
    }

    /** The process was starting when a connection was refused, and listens by now. */
    @Test
    void aRefusedConnectionDoesNotConfirmALaterLoss() {
        createFleet(1, 1, 1);
        CallScheduler instance = mInstances.getFirst();
        long refused = offer(0, RequestKind.SINGLE_CALL, SOUND, 0);
        instance.advance(0);
        instance.recordAttemptEnd(refused, 1, AttemptEnd.NOT_LISTENING, MS);
        instance.advance(MS);
        instance.remove(refused, MS);
        long lost = offer(0, RequestKind.SINGLE_CALL, CRASHING, 30 * SECOND);
        instance.advance(30 * SECOND);
        instance.recordAttemptEnd(lost, 1, AttemptEnd.RESET, 30 * SECOND + MS);
        instance.advance(30 * SECOND + 2 * MS);

        assertThat(instance.takeSettledLosses()).isEmpty();
    }

    /** Another writer left an entry with the address of a process that answers. */
    @Test
    void anEntryThatAnAnswerHasRefutedDoesNotConfirmALaterLoss() {
        createFleet(1, 1, 1);
        CallScheduler instance = mInstances.getFirst();
        Upstream sound = mUpstreams.values().iterator().next();
        Upstream odd = renamed(sound, 5);
        mUpstreams.put(odd.id(), odd);
        instance.replaceUpstreams(mUpstreams.values(), 0);
        sendTo(sound, AttemptEnd.SUCCEEDED, SECOND);
        instance.replaceUpstreams(mUpstreams.values(), 2 * SECOND);
        sendTo(sound, AttemptEnd.RESET, 3 * SECOND);

        assertThat(instance.takeSettledLosses()).isEmpty();
    }

    /** Sends calls until one is placed at an upstream, and ends that one. */
    private void sendTo(Upstream upstream, AttemptEnd end, long now) {
        CallScheduler instance = mInstances.getFirst();
        for (int i = 0; i < 100; i++) {
            long id = offer(0, RequestKind.SINGLE_CALL, CRASHING, now);
            Upstream chosen = Samples.starts(instance.advance(now)).getFirst().upstream();
            if (chosen.equals(upstream)) {
                instance.recordAttemptEnd(id, 1, end, now + MS);
                instance.advance(now + 2 * MS);
                return;
            }
            instance.remove(id, now);
        }
        throw new AssertionError("no call was placed at " + upstream.id());
    }

    /** The list was away, and shows the end of the process as the time to confirm it ends. */
    @Test
    void aLossIsConfirmedByASignThatComesAtTheEndOfItsTime() {
        createFleet(1, 2, 1);
        CallScheduler instance = mInstances.getFirst();
        long id = offer(0, RequestKind.SINGLE_CALL, CRASHING, 0);
        Upstream lost = Samples.starts(instance.advance(0)).getFirst().upstream();
        instance.recordAttemptEnd(id, 1, AttemptEnd.RESET, MS);
        long late = 10 * SECOND + 2 * MS;
        mUpstreams.remove(lost.id());
        instance.replaceUpstreams(mUpstreams.values(), late);
        instance.advance(late);

        assertThat(instance.takeSettledLosses())
                .extracting(SettledLoss::sign)
                .containsExactly(SettledLoss.Sign.ENDED);
    }

    /** A route may allow many attempts, and each one costs an upstream and the calls there. */
    @Test
    void oneCallCrashesAtMostTwoUpstreams() {
        createFleet(1, 6, 1);
        Random random = new Random(1);
        offer(random, RequestKind.IDEMPOTENT_CALL, CRASHING, 0);
        for (long now = 0; now < SECOND; now += STEP) {
            advance(now);
        }

        assertThat(mCrashes).hasSize(2);
        assertThat(mFinishes.get(1L).ending()).isEqualTo(Ending.UNKNOWN);
    }

    /** Waiting until the deadline would only delay the caller. */
    @Test
    void aConvictedCallIsRefusedAtOnceAsNotExecuted() {
        createFleet(3, 6, 2);
        Random random = new Random(2);
        long now = 0;
        for (; now < 30 * SECOND; now += STEP) {
            if (now % SECOND == 0) {
                offer(random, RequestKind.IDEMPOTENT_CALL, CRASHING, now);
            }
            advance(now);
        }
        for (int instance = 0; instance < mInstances.size(); instance++) {
            long id = offer(instance, RequestKind.SINGLE_CALL, CRASHING, now);
            List<Decision.Finish> finishes =
                    Samples.finishes(mInstances.get(instance).advance(now));

            assertThat(finishes).extracting(finish -> finish.work().id()).containsExactly(id);
            assertThat(finishes.getLast().ending()).isEqualTo(Ending.REFUSED);
            assertThat(finishes.getLast().retryAfter()).isPositive();
        }
    }

    /** A planned restart closes connections, too; calls with such losses are sound. */
    @Test
    void aCallThatHasSucceededSinceIsNotRefused() {
        createFleet(1, 3, 1);
        CallScheduler instance = mInstances.getFirst();
        for (int round = 1; round <= 6; round++) {
            long now = round * 5 * SECOND;
            long lost = offer(0, RequestKind.SINGLE_CALL, SOUND, now);
            instance.advance(now);
            instance.recordAttemptEnd(lost, 1, AttemptEnd.CRASHED, now + MS);
            long answered = offer(0, RequestKind.SINGLE_CALL, SOUND, now + SECOND);
            List<Decision> decisions = instance.advance(now + SECOND);
            instance.recordAttemptEnd(answered, 1, AttemptEnd.SUCCEEDED, now + SECOND + DURATION);

            assertThat(Samples.starts(decisions)).as("round " + round).hasSize(1);
        }
    }

    /** Upstreams that end later than at the begin of a stream do not end because of it. */
    @Test
    void aStreamThatHasBegunGoesOnAfterSeveralLosses() {
        createFleet(1, 6, 1);
        CallScheduler instance = mInstances.getFirst();
        for (int round = 0; round < 3; round++) {
            long now = round * SECOND;
            long id = offer(0, RequestKind.RESUMABLE_STREAM, SOUND, now);
            for (int attempt = 1; attempt <= 4; attempt++) {
                now += 20 * MS;
                List<Decision> decisions = instance.advance(now);

                assertThat(Samples.starts(decisions)).as("attempt " + attempt).hasSize(1);
                instance.recordProgress(id, attempt, new Progress(1, now + MS, 0));
                instance.recordAttemptEnd(id, attempt, AttemptEnd.CRASHED, now + 2 * MS);
            }
            instance.advance(now + 3 * MS);
            instance.remove(id, now + 3 * MS);
            restartAll(now + 3 * MS);
        }
    }

    /** The list shows all upstreams as started again. */
    private void restartAll(long now) {
        mUpstreams.replaceAll((id, upstream) -> Samples.restarted(upstream, now));
        mInstances.forEach(instance -> instance.replaceUpstreams(mUpstreams.values(), now));
    }

    private long lateStarts() {
        long settled = mCrashes.get(CRASHES_TO_DETECT - 1) + SETTLING_TIME;
        return mCrashingStarts.stream().filter(at -> at > settled).count();
    }

    private void offer(Random random, RequestKind kind, Fingerprint content, long now) {
        offer(random.nextInt(mInstances.size()), kind, content, now);
    }

    private long offer(int instance, RequestKind kind, Fingerprint content, long now) {
        long id = ++mNextId;
        mInstances
                .get(instance)
                .offer(
                        new Work(
                                id,
                                "request-" + id,
                                "service",
                                "team",
                                kind,
                                2,
                                null,
                                now,
                                now + 150 * MS,
                                now + 1200 * MS,
                                0,
                                5,
                                0,
                                content),
                        now);
        return id;
    }

    private void advance(long now) {
        restartUpstreams(now);
        for (Attempt attempt : List.copyOf(mRunning.values())) {
            if (mRunning.containsValue(attempt) && now >= attempt.endsAt()) {
                end(attempt, now);
            }
        }
        for (int i = 0; i < mInstances.size(); i++) {
            executeDecisions(i, now);
        }
        for (CallScheduler from : mInstances) {
            if (from.hasLoad(now)) {
                InstanceLoad load = from.load(now);
                for (CallScheduler to : mInstances) {
                    if (to != from) {
                        to.recordPeerLoad("peer", load, now);
                    }
                }
            }
        }
    }

    private void end(Attempt attempt, long now) {
        long id = attempt.start().work().id();
        if (CRASHING.equals(attempt.start().work().content())) {
            crash(attempt.start().upstream(), now);
            return;
        }
        mRunning.remove(id);
        mInstances
                .get(attempt.instance())
                .recordAttemptEnd(id, attempt.start().attempt(), AttemptEnd.SUCCEEDED, now);
    }

    private void crash(Upstream crashed, long now) {
        String upstream = crashed.id();
        mCrashes.add(now);
        mListening.remove(crashed.address());
        mRestarts.put(upstream, now + (mRenamed ? RENAMED_RESTART : RESTART));
        if (mRenamed) {
            mRemovals.put(upstream, now + ENTRY_LIFETIME + LIST_DELAY);
        }
        for (Attempt attempt : List.copyOf(mRunning.values())) {
            if (attempt.start().upstream().id().equals(upstream)) {
                long id = attempt.start().work().id();
                mRunning.remove(id);
                mInstances
                        .get(attempt.instance())
                        .recordAttemptEnd(id, attempt.start().attempt(), AttemptEnd.RESET, now);
            }
        }
    }

    private void restartUpstreams(long now) {
        for (String id : takeDue(mRestarts, now)) {
            Upstream old = mUpstreams.get(id);
            Upstream started = mRenamed ? renamed(old, now) : Samples.restarted(old, now);
            mListening.put(old.address(), started);
            mListings.put(old.address(), now + (mRenamed ? LIST_DELAY : 0));
        }
        boolean changed = false;
        for (String address : takeDue(mListings, now)) {
            Upstream listening = mListening.get(address);
            if (listening != null) {
                mUpstreams.put(listening.id(), listening);
                changed = true;
            }
        }
        for (String id : takeDue(mRemovals, now)) {
            mUpstreams.remove(id);
            changed = true;
        }
        if (changed) {
            mInstances.forEach(instance -> instance.replaceUpstreams(mUpstreams.values(), now));
        }
    }

    private static List<String> takeDue(Map<String, Long> times, long now) {
        List<String> due = new ArrayList<>();
        times.forEach(
                (key, at) -> {
                    if (now >= at) {
                        due.add(key);
                    }
                });
        due.forEach(times::remove);
        return due;
    }

    private Upstream renamed(Upstream old, long now) {
        return new Upstream(
                "desk-" + ++mNextUpstream,
                now,
                old.service(),
                old.address(),
                old.zone(),
                old.slots(),
                false);
    }

    private void executeDecisions(int index, long now) {
        CallScheduler instance = mInstances.get(index);
        boolean refused = true;
        while (refused) {
            refused = false;
            for (Decision decision : instance.advance(now)) {
                switch (decision) {
                    case Decision.Start start -> refused |= start(index, start, now);
                    case Decision.Cancel cancel ->
                            throw new AssertionError("no attempt runs beside another: " + cancel);
                    case Decision.Finish finish -> mFinishes.put(finish.work().id(), finish);
                }
            }
            for (LivenessAware.LivenessCheck check : instance.takeLivenessChecks()) {
                check(instance, check.engine(), now);
            }
        }
    }

    private void check(CallScheduler instance, Upstream upstream, long now) {
        Upstream listening = mListening.get(upstream.address());
        if (listening != null && listening.isSameProcess(upstream)) {
            instance.recordLivenessCheck(upstream, true, now);
        } else {
            instance.recordProcessEnd(upstream, now);
        }
    }

    /** Sends an attempt, and returns whether its upstream is down. */
    private boolean start(int index, Decision.Start start, long now) {
        Upstream listening = mListening.get(start.upstream().address());
        if (listening == null || !listening.isSameProcess(start.upstream())) {
            mInstances
                    .get(index)
                    .recordAttemptEnd(
                            start.work().id(),
                            start.attempt(),
                            listening == null ? AttemptEnd.NOT_LISTENING : AttemptEnd.MISDIRECTED,
                            now);
            return true;
        }
        boolean crashes = CRASHING.equals(start.work().content());
        if (crashes) {
            mCrashingStarts.add(now);
        }
        long endsAt = now + (crashes ? STEP : DURATION);
        mRunning.put(start.work().id(), new Attempt(index, start, endsAt));
        return false;
    }
}
